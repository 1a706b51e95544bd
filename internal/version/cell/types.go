// Package cell decides for one cell: a part of the jobs and the workers of a
// deployment that one instance leads during one term.
//
// A Cell is a state machine without I/O. Its owner feeds it with events and
// the time, and carries out the effects that Take returns. It guarantees:
//
//   - a task has one run at a time, unless its step is speculative;
//   - a task that has ended well is not started again;
//   - the reserved size of what a worker may hold never exceeds its capacity;
//   - a job is shown as accepted, completed or canceled only once that is
//     stored.
//
// The first two hold across terms because the next leader first holds every
// worker under its higher fencing token, or waits until the leases of a silent
// worker are over. A Cell must be used by one goroutine; Lookup may be called
// by any.
package cell

import (
	"slices"
	"time"

	"poplarvalve/internal/process/jobspec"
)

// WorkerID is the name under which a worker is registered.
type WorkerID string

// TaskID names one task of a job.
type TaskID struct {
	Job        jobspec.ID
	Occurrence int
	Step       int
	Index      int
}

// StepID names one step of one occurrence of a job.
type StepID struct {
	Job        jobspec.ID
	Occurrence int
	Step       int
}

// State is what callers see of a job.
type State uint32

const (
	// Hidden is a job that is not stored yet.
	Hidden State = iota
	Queued
	Running
	Completed
	Failed
	Canceled
)

// Over says that the state doesn't change any more.
func (s State) Over() bool { return s >= Completed }

func (s State) String() string {
	return [...]string{"hidden", "queued", "running", "completed", "failed", "canceled"}[s]
}

// Size is what a task takes or a worker has.
type Size struct {
	// CPU is in thousandths of a core.
	CPU      int
	MemoryMB int
	GPU      int
}

func (s Size) plus(o Size) Size {
	return Size{s.CPU + o.CPU, s.MemoryMB + o.MemoryMB, s.GPU + o.GPU}
}

func (s Size) minus(o Size) Size {
	return Size{s.CPU - o.CPU, s.MemoryMB - o.MemoryMB, s.GPU - o.GPU}
}

// fits says whether s has room for o.
func (s Size) fits(o Size) bool {
	return s.CPU >= o.CPU && s.MemoryMB >= o.MemoryMB && s.GPU >= o.GPU
}

// WorkerInfo is what the registry says of a worker.
type WorkerInfo struct {
	ID       WorkerID `cbor:"1,keyasint"`
	Address  string   `cbor:"2,keyasint"`
	Pool     string   `cbor:"3,keyasint"`
	Zone     string   `cbor:"4,keyasint"`
	Labels   []string `cbor:"5,keyasint,omitempty"`
	Rack     string   `cbor:"6,keyasint,omitempty"`
	Capacity Size     `cbor:"7,keyasint"`
	Draining bool     `cbor:"8,keyasint,omitempty"`
	// Born is the Unix millisecond at which this life of the worker began; 0
	// if unknown.
	Born int64 `cbor:"9,keyasint,omitempty"`
}

// Same says whether two entries of the registry mean the same.
func (w WorkerInfo) Same(o WorkerInfo) bool {
	return w.ID == o.ID && w.Address == o.Address && w.Pool == o.Pool && w.Zone == o.Zone && w.Rack == o.Rack &&
		w.Capacity == o.Capacity && w.Draining == o.Draining && w.Born == o.Born && slices.Equal(w.Labels, o.Labels)
}

// Row is one run that a worker reports as running.
type Row struct {
	Task TaskID
	Run  int64
	// Saved is the newest checkpoint.
	Saved string
	// Percent is the progress, or 100 for a serving task that is at work.
	Percent int
	// Gauge is the tail of the response time in milliseconds for a serving
	// task, else the thousandths of a core in use.
	Gauge int
}

// How says how a run ended.
type How string

const (
	EndDone    How = "done"
	EndFailed  How = "failed"
	EndStopped How = "stopped"
	EndLapsed  How = "lapsed"
	EndBroken  How = "broken"
	EndAlone   How = "alone"
)

// End is the end of one run.
type End struct {
	// Number rises with each end of one life of a worker.
	Number int64
	Task   TaskID
	Run    int64
	How    How
	Saved  string
}

// Report is a worker's answer to a hold.
type Report struct {
	Worker WorkerID
	// Born is the life of the worker that answered.
	Born int64
	// Sent is when the hold left; the lists are newer.
	Sent time.Time
	// Token is the fencing token of the hold. Orders with a lower one that had
	// not arrived by then never will.
	Token int64
	// LeaseUntil is when everything on the worker has lapsed at the latest if
	// it gets no further deadline.
	LeaseUntil time.Time
	Running    []Row
	Ended      []End
}

// StartOutcome says what became of a start order.
type StartOutcome uint8

const (
	// StartAccepted means that the run is there.
	StartAccepted StartOutcome = iota
	// StartRefused means that the run was not and never will be started.
	StartRefused
	// StartUnknown means that the run may be or become there.
	StartUnknown
)

// Refusal says why a worker refused a start.
type Refusal string

const (
	RefusedFence   Refusal = "fence"
	RefusedOldRun  Refusal = "old_run"
	RefusedLate    Refusal = "late"
	RefusedRoom    Refusal = "room"
	RefusedTicket  Refusal = "ticket"
	RefusedHealth  Refusal = "unhealthy"
	RefusedReborn  Refusal = "other_incarnation"
	RefusedInvalid Refusal = "invalid"
	// RefusedUnsent is that of an order that was not sent.
	RefusedUnsent Refusal = "unsent"
)

// StartResult is the outcome of one start order.
type StartResult struct {
	Worker  WorkerID
	Task    TaskID
	Run     int64
	Outcome StartOutcome
	Refusal Refusal
	// Token is the fencing token that the order carried.
	Token int64
	// LeaseUntil is as in Report.
	LeaseUntil time.Time
}

// StartOrder tells a worker to start a task.
type StartOrder struct {
	Worker     WorkerID
	Task       TaskID
	Run        int64
	Spec       string
	Checkpoint string
	// Ticket is what the advice service gave, if the queue has one.
	Ticket string
}

// StopOrder tells a worker to stop a run.
type StopOrder struct {
	Worker WorkerID
	Task   TaskID
	Run    int64
}

// PaceOrder tells a worker to let a run work at a share of its speed.
type PaceOrder struct {
	Worker  WorkerID
	Task    TaskID
	Run     int64
	Percent int
}

// AdviceOrder asks the advice service which workers may run a step.
type AdviceOrder struct {
	Step    StepID
	Workers []WorkerID
	Terms   AdviceTerms
}

// AdviceResult is the outcome of an AdviceOrder.
type AdviceResult struct {
	Step  StepID
	Asked []WorkerID
	// Failed says that there was no answer; the other fields but Sent are empty.
	Failed bool
	// Tickets holds the workers that may run the step.
	Tickets map[WorkerID]string
	// Sent is when the call left, ValidUntil when its tickets are over at the
	// earliest.
	Sent       time.Time
	ValidUntil time.Time
}

// Acknowledgement lets a worker forget its ends up to Number.
type Acknowledgement struct {
	Worker WorkerID
	Born   int64
	Number int64
}

// Write is what has to be stored, in order. Its parts are never modified
// afterwards.
type Write struct {
	Number uint64
	// Urgent says that a caller waits for the write.
	Urgent   bool
	Jobs     []JobRecord
	Progress []ProgressRecord
	Workers  []WorkerInfo
	Gone     []WorkerID
	Dropped  []jobspec.ID
	// Learned replaces what was learned about images; nil changes nothing.
	Learned *LearnedRecord
}

// LearnedRecord holds what was learned about images, for the next leader.
type LearnedRecord struct {
	Pairs    []PairRecord       `cbor:"1,keyasint"`
	Unloaded map[string]float64 `cbor:"2,keyasint"`
	Ratios   map[string]float64 `cbor:"3,keyasint"`
}

// PairRecord is the pressure that a core of one image puts on another.
type PairRecord struct {
	_           struct{} `cbor:",toarray"`
	Serving     string
	Filling     string
	Coefficient float64
}

// Effects is what the owner of a Cell carries out.
type Effects struct {
	Starts []StartOrder
	Stops  []StopOrder
	Paces  []PaceOrder
	Acks   []Acknowledgement
	Advice []AdviceOrder
	Write  *Write
	// Settle lists the workers that need a hold with a higher token.
	Settle []WorkerID
	// Done lists the requests that may be answered now.
	Done []uint64
	// Notes are for the log.
	Notes []Note
}

// Note is one line for the log about a decision.
type Note struct {
	Event   string
	Task    TaskID
	Run     int64
	Worker  WorkerID
	Outcome string
	// Age is the age of the input that decided, if it has one.
	Age time.Duration
}

// Terms is what the manifest says about a queue, kept with each job so that it
// goes on when the queue is removed.
type Terms struct {
	Queue           string  `cbor:"1,keyasint"`
	Pool            string  `cbor:"2,keyasint"`
	Priority        int     `cbor:"3,keyasint,omitempty"`
	Attempts        int     `cbor:"4,keyasint,omitempty"`
	Stretch         float64 `cbor:"5,keyasint,omitempty"`
	ObjectiveMillis int64   `cbor:"6,keyasint,omitempty"`
	// Advice is nil if any worker of the pool may run the tasks.
	Advice *AdviceTerms `cbor:"7,keyasint,omitempty"`
}

// AdviceTerms say how long the advice service takes for a call.
type AdviceTerms struct {
	_               struct{} `cbor:",toarray"`
	DecisionMillis  int64
	PerWorkerMillis int64
}

// CallTime returns how long a call about a number of workers takes the service.
func (a AdviceTerms) CallTime(workers int) time.Duration {
	return time.Duration(a.DecisionMillis+a.PerWorkerMillis*int64(workers)) * time.Millisecond
}

// JobRecord is an accepted job as it is stored, once.
type JobRecord struct {
	ID    jobspec.ID  `cbor:"1,keyasint"`
	Job   jobspec.Job `cbor:"2,keyasint"`
	Terms Terms       `cbor:"3,keyasint"`
	// AcceptedMillis is the Unix time of the accepting instance.
	AcceptedMillis int64 `cbor:"4,keyasint"`
}

// ProgressRecord replaces the earlier progress of a job.
type ProgressRecord struct {
	ID    jobspec.ID `cbor:"1,keyasint"`
	State State      `cbor:"2,keyasint"`
	// Began says that a task has been started.
	Began bool `cbor:"3,keyasint,omitempty"`
	// NextOccurrence is the lowest that isn't complete.
	NextOccurrence int          `cbor:"4,keyasint,omitempty"`
	Tasks          []TaskRecord `cbor:"5,keyasint,omitempty"`
	EndedMillis    int64        `cbor:"6,keyasint,omitempty"`
}

// TaskRecord holds what the next leader must know about a task that isn't
// untouched.
type TaskRecord struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Done       bool
	// FailedRuns are the runs whose failure counts. A worker lists an end
	// again to the next leader if it was not told that the end is stored.
	FailedRuns []int64
	LastRun    int64
	Checkpoint string
}

// Config holds the figures of a Cell.
type Config struct {
	// Epoch is the number of the term. Run numbers of jobs from earlier terms
	// start above it.
	Epoch int64
	// RecoveryWait is how long tasks of earlier terms wait for workers that
	// don't answer.
	RecoveryWait time.Duration
	// Lease is how long what an earlier leader left on a worker lasts at most.
	Lease time.Duration
	// KeepEnded is how long an ended job is known.
	KeepEnded time.Duration
	// RemoteFactor is how much longer a task takes off its data rack.
	RemoteFactor float64
}
