// Package cell schedules the jobs of one cell: the part of a deployment's jobs
// and workers that one instance leads during one term.
//
// A Cell is a state machine without I/O. Its owner passes it events and the
// current time, and carries out the effects that Take returns. A Cell
// guarantees that:
//
//   - a task has at most one run at a time, unless its step is speculative;
//   - a task that has ended successfully is not started again;
//   - the total reserved size of the runs that a worker may have never exceeds
//     the worker's capacity;
//   - a job is shown as accepted, completed or canceled only after that state
//     has been stored.
//
// The first two guarantees hold across terms: before the next leader starts
// tasks of earlier terms, it either renews the lease of every worker under its
// own, higher fencing token, or waits until the leases of unresponsive workers
// have expired. A Cell must be used by one goroutine at a time, except that any
// goroutine may call Lookup.
package cell

import (
	"slices"
	"time"

	"poplarvalve/internal/process/jobspec"
)

// WorkerID is the name under which a worker is registered.
type WorkerID string

// TaskID identifies one task of a job.
type TaskID struct {
	Job        jobspec.ID
	Occurrence int
	Step       int
	Index      int
}

// StepID identifies one step of one occurrence of a job.
type StepID struct {
	Job        jobspec.ID
	Occurrence int
	Step       int
}

// State is the state of a job as callers see it.
type State uint32

const (
	// Hidden is the state of a job that has not been stored yet.
	Hidden State = iota
	Queued
	Running
	Completed
	Failed
	Canceled
)

// Over reports whether the state is final.
func (s State) Over() bool { return s >= Completed }

func (s State) String() string {
	return [...]string{"hidden", "queued", "running", "completed", "failed", "canceled"}[s]
}

// Size is an amount of resources that a task reserves or a worker offers.
type Size struct {
	// CPU is in thousandths of a core.
	CPU      int
	MemoryMB int
	GPU      int
}

func (s Size) plus(other Size) Size {
	return Size{s.CPU + other.CPU, s.MemoryMB + other.MemoryMB, s.GPU + other.GPU}
}

func (s Size) minus(other Size) Size {
	return Size{s.CPU - other.CPU, s.MemoryMB - other.MemoryMB, s.GPU - other.GPU}
}

// canHold reports whether other fits into s.
func (s Size) canHold(other Size) bool {
	return s.CPU >= other.CPU && s.MemoryMB >= other.MemoryMB && s.GPU >= other.GPU
}

// WorkerInfo is the registry's entry for a worker.
type WorkerInfo struct {
	ID       WorkerID `cbor:"1,keyasint"`
	Address  string   `cbor:"2,keyasint"`
	Pool     string   `cbor:"3,keyasint"`
	Zone     string   `cbor:"4,keyasint"`
	Labels   []string `cbor:"5,keyasint,omitempty"`
	Rack     string   `cbor:"6,keyasint,omitempty"`
	Capacity Size     `cbor:"7,keyasint"`
	Draining bool     `cbor:"8,keyasint,omitempty"`
	// Born is the Unix time in milliseconds at which this incarnation of the
	// worker started, or 0 if it is unknown.
	Born int64 `cbor:"9,keyasint,omitempty"`
}

// Same reports whether two registry entries are equal in every field.
func (w WorkerInfo) Same(other WorkerInfo) bool {
	return w.ID == other.ID && w.Address == other.Address && w.Pool == other.Pool && w.Zone == other.Zone && w.Rack == other.Rack &&
		w.Capacity == other.Capacity && w.Draining == other.Draining && w.Born == other.Born && slices.Equal(w.Labels, other.Labels)
}

// Row is one run that a worker reports as running.
type Row struct {
	Task TaskID
	Run  int64
	// Saved is the newest checkpoint of the run.
	Saved string
	// Percent is the progress of the run. A service task that is serving
	// requests reports 100.
	Percent int
	// Gauge is the tail response time in milliseconds for a service task, and
	// the CPU in use in thousandths of a core for any other task.
	Gauge int
}

// How is the way in which a run ended.
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
	// Number increases with each end that one incarnation of a worker reports.
	Number int64
	Task   TaskID
	Run    int64
	How    How
	Saved  string
}

// Report is a worker's answer to a lease renewal.
type Report struct {
	Worker WorkerID
	// Born identifies the incarnation of the worker that answered.
	Born int64
	// Sent is the time at which the lease renewal was sent. Running and Ended
	// describe the worker at a later time.
	Sent time.Time
	// Token is the fencing token of the lease renewal. Orders with a lower
	// token that had not reached the worker before this renewal can no longer
	// take effect.
	Token int64
	// LeaseUntil is the time by which the leases of all runs on the worker have
	// expired, unless one of them is extended.
	LeaseUntil time.Time
	Running    []Row
	Ended      []End
}

// StartOutcome is the result of sending a start order.
type StartOutcome uint8

const (
	// StartAccepted means that the worker has accepted the run.
	StartAccepted StartOutcome = iota
	// StartRefused means that the run was not started and never will be.
	StartRefused
	// StartUnknown means that the run may have started or may still start.
	StartUnknown
)

// Refusal is the reason why a worker refused a start.
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
	// RefusedUnsent is the reason for an order that was never sent.
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
	// LeaseUntil has the same meaning as in Report.
	LeaseUntil time.Time
}

// StartOrder tells a worker to start a task.
type StartOrder struct {
	Worker     WorkerID
	Task       TaskID
	Run        int64
	Spec       string
	Checkpoint string
	// Ticket is the ticket of the advice service, or empty if the queue uses
	// none.
	Ticket string
}

// StopOrder tells a worker to stop a run.
type StopOrder struct {
	Worker WorkerID
	Task   TaskID
	Run    int64
}

// PaceOrder tells a worker to throttle a run to a percentage of its full speed.
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
	// Failed is set if the service did not answer; Tickets and ValidUntil are
	// empty then.
	Failed bool
	// Tickets holds a ticket for each worker that may run the step.
	Tickets map[WorkerID]string
	// Sent is the time at which the call was sent. ValidUntil is the earliest
	// time at which its tickets expire.
	Sent       time.Time
	ValidUntil time.Time
}

// Acknowledgement allows a worker to discard its ends up to and including
// Number.
type Acknowledgement struct {
	Worker WorkerID
	Born   int64
	Number int64
}

// Write holds the changes that have to be stored. Writes are stored in the
// order of their numbers. The contents of a Write are never modified after it
// was returned by Take.
type Write struct {
	Number uint64
	// Urgent is set if a caller waits for the write.
	Urgent   bool
	Jobs     []JobRecord
	Progress []ProgressRecord
	Workers  []WorkerInfo
	Gone     []WorkerID
	Dropped  []jobspec.ID
	// Learned replaces the stored estimates about images; nil leaves them
	// unchanged.
	Learned *LearnedRecord
}

// LearnedRecord holds the estimates about images that are passed on to the next
// leader.
type LearnedRecord struct {
	Pairs    []PairRecord       `cbor:"1,keyasint"`
	Unloaded map[string]float64 `cbor:"2,keyasint"`
	Ratios   map[string]float64 `cbor:"3,keyasint"`
}

// PairRecord is the pressure, per core, of a best-effort image (Filling) on a
// service image (Serving).
type PairRecord struct {
	_           struct{} `cbor:",toarray"`
	Serving     string
	Filling     string
	Coefficient float64
}

// Effects is what the owner of a Cell has to carry out.
type Effects struct {
	Starts []StartOrder
	Stops  []StopOrder
	Paces  []PaceOrder
	Acks   []Acknowledgement
	Advice []AdviceOrder
	Write  *Write
	// Settle lists the workers whose lease must be renewed with a higher
	// fencing token, so that orders in doubt are resolved.
	Settle []WorkerID
	// Done lists the requests that may be answered now.
	Done []uint64
	// Notes are the decisions to be logged.
	Notes []Note
}

// Note is a log entry about one decision.
type Note struct {
	Event   string
	Task    TaskID
	Run     int64
	Worker  WorkerID
	Outcome string
	// Age is the age of the input that led to the decision, or 0 if there is
	// none.
	Age time.Duration
}

// Terms holds the queue settings of the manifest that apply to a job. They are
// stored with the job, so that it can continue after its queue is removed.
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

// AdviceTerms describes the response time of the advice service.
type AdviceTerms struct {
	_               struct{} `cbor:",toarray"`
	DecisionMillis  int64
	PerWorkerMillis int64
}

// CallTime returns the time that the service takes to answer a call about the
// given number of workers.
func (a AdviceTerms) CallTime(workers int) time.Duration {
	return time.Duration(a.DecisionMillis+a.PerWorkerMillis*int64(workers)) * time.Millisecond
}

// JobRecord is the stored form of an accepted job. It is written once.
type JobRecord struct {
	ID    jobspec.ID  `cbor:"1,keyasint"`
	Job   jobspec.Job `cbor:"2,keyasint"`
	Terms Terms       `cbor:"3,keyasint"`
	// AcceptedMillis is the Unix time in milliseconds, by the clock of the
	// instance that accepted the job.
	AcceptedMillis int64 `cbor:"4,keyasint"`
}

// ProgressRecord is the stored progress of a job. A newer record replaces the
// earlier one.
type ProgressRecord struct {
	ID    jobspec.ID `cbor:"1,keyasint"`
	State State      `cbor:"2,keyasint"`
	// Began is set once a task of the job has been started.
	Began bool `cbor:"3,keyasint,omitempty"`
	// NextOccurrence is the lowest occurrence that is not complete.
	NextOccurrence int          `cbor:"4,keyasint,omitempty"`
	Tasks          []TaskRecord `cbor:"5,keyasint,omitempty"`
	EndedMillis    int64        `cbor:"6,keyasint,omitempty"`
}

// TaskRecord is what the next leader must know about a task. It is written only
// for tasks that are done, have failed runs or have a checkpoint.
type TaskRecord struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Done       bool
	// FailedRuns lists the runs that count as failures. It is stored because a
	// worker reports an end again to the next leader unless it was told that
	// the end is stored.
	FailedRuns []int64
	LastRun    int64
	Checkpoint string
}

// Config holds the parameters of a Cell.
type Config struct {
	// Epoch is the number of the term. Runs that this term starts for jobs from
	// earlier terms get numbers above Epoch times runsPerTerm.
	Epoch int64
	// RecoveryWait is the longest time that tasks from earlier terms wait for
	// workers that do not answer.
	RecoveryWait time.Duration
	// Lease is the longest time for which a worker may keep running what an
	// earlier leader started.
	Lease time.Duration
	// KeepEnded is the time for which an ended job is kept.
	KeepEnded time.Duration
	// RemoteFactor is the factor by which a task takes longer when it runs
	// outside its data rack.
	RemoteFactor float64
}
