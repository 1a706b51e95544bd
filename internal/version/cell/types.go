// Package cell schedules the jobs of one cell: the part of a deployment's jobs
// and workers that one instance leads during one term.
//
// A Cell is a state machine without I/O. Its owner passes it events and the
// current time, and carries out the effects that TakeEffects returns. A Cell
// guarantees that:
//
//   - a task has at most one run at a time, unless its step is speculative;
//   - a task that has ended successfully is not started again;
//   - the total reserved size of the runs that a worker may have never exceeds
//     the worker's capacity;
//   - a job is shown as accepted, completed, failed or canceled only after that
//     state has been stored;
//   - a task that crashes the workers that start it is given up with its job.
//
// The first two guarantees hold across terms: before the next leader starts
// tasks of earlier terms, it either renews the lease of every worker under its
// own, higher fencing token, or waits until the leases of unresponsive workers
// have expired. It does not wait for workers that are stored as idle, nor with
// tasks that can run on no unresponsive worker. A Cell must be used by one
// goroutine at a time, except that any goroutine may call Lookup.
package cell

import (
	"slices"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/statebudget"
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

// IsFinal reports whether the job has ended, so that its state no longer
// changes.
func (s State) IsFinal() bool { return s >= Completed }

func (s State) String() string {
	names := [...]string{"hidden", "queued", "running", "completed", "failed", "canceled"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
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
	// Incarnation identifies the incarnation of the worker: it is the Unix time
	// in milliseconds at which the incarnation started, or 0 if that is unknown.
	Incarnation int64 `cbor:"9,keyasint,omitempty"`
	// Idle is not part of the registry's entry. It is stored while nothing runs on the
	// worker, and until it is cleared in the log, nothing is started there.
	Idle bool `cbor:"10,keyasint,omitempty"`
	// Notice says when the worker leaves. It is not stored, since the next leader reads the
	// registry, and is ignored by Equal.
	Notice DrainNotice `cbor:"-"`
	// ColdUntil is until when the worker stays slower than usual after its start, or zero. It
	// is not stored, and is ignored by Equal.
	ColdUntil time.Time `cbor:"-"`
}

const (
	// MaxWorkerIDBytes, MaxWorkerAddressBytes and MaxWorkerTextBytes limit the name, the
	// address and all texts of a registry entry. The first two are also stored with
	// each run that may crash the worker.
	MaxWorkerIDBytes      = 255
	MaxWorkerAddressBytes = 64
	MaxWorkerTextBytes    = 64 << 10
)

// Check returns a failure of kind TooLarge if the entry is too large to be stored.
func (w WorkerInfo) Check() error {
	if len(w.ID) > MaxWorkerIDBytes || len(w.Address) > MaxWorkerAddressBytes {
		return fault.New(fault.TooLarge, "the name has %d bytes and the address %d; the limits are %d and %d bytes",
			len(w.ID), len(w.Address), MaxWorkerIDBytes, MaxWorkerAddressBytes)
	}
	text := len(w.ID) + len(w.Address) + len(w.Pool) + len(w.Zone) + len(w.Rack)
	for _, label := range w.Labels {
		text += 1 + len(label)
	}
	if text > MaxWorkerTextBytes {
		return fault.New(fault.TooLarge, "the texts of the entry have %d bytes; the limit is %d bytes", text, MaxWorkerTextBytes)
	}
	return nil
}

// Equal reports whether two registry entries are equal in every field that is stored.
func (w WorkerInfo) Equal(other WorkerInfo) bool {
	return w.ID == other.ID && w.Address == other.Address && w.Pool == other.Pool && w.Zone == other.Zone && w.Rack == other.Rack &&
		w.Capacity == other.Capacity && w.Draining == other.Draining && w.Incarnation == other.Incarnation &&
		w.Idle == other.Idle && slices.Equal(w.Labels, other.Labels)
}

// RunReport is one run that a worker reports as running.
type RunReport struct {
	Task TaskID
	Run  int64
	// Checkpoint is the newest checkpoint of the run.
	Checkpoint string
	// Percent is the progress of the run. A service task that is serving
	// requests reports 100.
	Percent int
	// Measurement is the tail latency in milliseconds for a service task, and
	// the CPU in use in thousandths of a core for any other task.
	Measurement int
}

// EndReason is the reason for which a run ended, as its worker reports it.
type EndReason string

const (
	EndSucceeded EndReason = "done"
	EndFailed    EndReason = "failed"
	EndStopped   EndReason = "stopped"
	// EndLeaseExpired means that the lease of the run expired.
	EndLeaseExpired EndReason = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndReason = "broken"
	// EndGangTimeout means that the member waited for the others longer than the
	// worker's gang timeout.
	EndGangTimeout EndReason = "alone"
)

// RunEnd is the end of one run.
type RunEnd struct {
	// Number increases with each end that one incarnation of a worker reports.
	Number     int64
	Task       TaskID
	Run        int64
	Reason     EndReason
	Checkpoint string
}

// Report is a worker's answer to a lease renewal.
type Report struct {
	Worker WorkerID
	// Incarnation identifies the incarnation of the worker that answered.
	Incarnation int64
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
	// EarlierClockUntil is zero or takes the place of LeaseUntil if it is later: orders that
	// named the end of their lease on the clock of an earlier incarnation may have been carried
	// out by this one, which grants the longest lease for them.
	EarlierClockUntil time.Time
	// StrayUntil is the same for such orders that may still be carried out. It is zero if none
	// can any more, and replaces that of earlier reports.
	StrayUntil time.Time
	// Running lists all runs on the worker.
	Running []RunReport
	// Ended lists the ends that the worker keeps, those with the lowest numbers first.
	// Complete is set if none is missing. Otherwise a run that is in neither list may
	// have ended in any way.
	Ended    []RunEnd
	Complete bool
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
	RefusedFenced           Refusal = "fence"
	RefusedOldRun           Refusal = "old_run"
	RefusedExpired          Refusal = "late"
	RefusedNoCapacity       Refusal = "room"
	RefusedTicket           Refusal = "ticket"
	RefusedUnhealthy        Refusal = "unhealthy"
	RefusedOtherIncarnation Refusal = "other_incarnation"
	RefusedInvalid          Refusal = "invalid"
	// RefusedNotSent is the reason for an order that was never sent.
	RefusedNotSent Refusal = "unsent"
)

// StartResult is the outcome of one start order.
type StartResult struct {
	Worker  WorkerID
	Task    TaskID
	Run     int64
	Outcome StartOutcome
	Refusal Refusal
	// ClosedAfter is the time after which the worker's end closed the connection
	// without an answer, or 0 if it did not.
	ClosedAfter time.Duration
	// Token is the fencing token that the order carried.
	Token int64
	// LeaseUntil and StrayUntil have the same meaning as in Report. StrayUntil is set if the
	// answer shows that another incarnation has carried out the order than the one that it was
	// meant for.
	LeaseUntil, StrayUntil time.Time
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
	// KnownRun is the highest earlier run of the task that the leader knows of, or 0, and
	// Recovery says why a task of an earlier term waits for no worker of that term any
	// more. Both are logged and not sent.
	KnownRun int64
	Recovery string
}

// StopOrder tells a worker to stop a run.
type StopOrder struct {
	Worker WorkerID
	Task   TaskID
	Run    int64
}

// ThrottleOrder tells a worker to throttle a run to a percentage of its full
// speed.
type ThrottleOrder struct {
	Worker  WorkerID
	Task    TaskID
	Run     int64
	Percent int
}

// AdviceRequest asks the advice service which workers may run a step.
type AdviceRequest struct {
	Step    StepID
	Workers []WorkerID
	// Latency describes how long the service takes to answer the request.
	Latency AdviceLatency
}

// AdviceResult is the outcome of an AdviceRequest.
type AdviceResult struct {
	Step    StepID
	Workers []WorkerID
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

// ExtensionOrder tells the session with a worker whether it may extend the leases there.
type ExtensionOrder struct {
	Worker  WorkerID
	Allowed bool
}

// Acknowledgement allows one incarnation of a worker to discard its ends up to
// and including Number.
type Acknowledgement struct {
	Worker      WorkerID
	Incarnation int64
	Number      int64
}

// WriteBatch is one write: a number of changes that have to be stored. Writes are
// stored in the order of their numbers. The contents of a write are never modified
// after TakeEffects has returned it.
type WriteBatch struct {
	Number uint64
	// Urgent is set if a caller waits until the write is stored.
	Urgent   bool
	Jobs     []JobRecord
	Progress []ProgressRecord
	Workers  []WorkerInfo
	// RemovedWorkers and RemovedJobs name the workers and jobs whose records are
	// deleted.
	RemovedWorkers []WorkerID
	RemovedJobs    []jobspec.ID
	// RemovedParts names the parts of the progress of jobs that are deleted.
	RemovedParts []RemovedPart
	// Learned replaces the stored estimates about images; nil leaves them
	// unchanged.
	Learned *LearnedRecord
	// LeaseBounds replaces the stored bounds of leases; nil leaves them unchanged.
	LeaseBounds *LeaseBoundsRecord
	// Confinements replace the stored ones of their workers. One without tasks is deleted.
	Confinements []ConfinementRecord
}

// LearnedRecord holds the estimates about images that are passed on to the next
// leader.
type LearnedRecord struct {
	Pairs []PressureRecord `cbor:"1,keyasint"`
	// UnloadedTails holds the unloaded tail latency of each service image, in
	// milliseconds.
	UnloadedTails map[string]float64 `cbor:"2,keyasint"`
	// DurationRatios holds, for each image, the ratio of the actual to the
	// estimated duration of its tasks.
	DurationRatios map[string]float64 `cbor:"3,keyasint"`
}

// PressureRecord is the pressure that one core of a best-effort image puts on a
// service image.
type PressureRecord struct {
	_               struct{} `cbor:",toarray"`
	ServiceImage    string
	BestEffortImage string
	Coefficient     float64
}

// Effects is what the owner of a Cell has to carry out.
type Effects struct {
	Starts           []StartOrder
	Stops            []StopOrder
	Throttles        []ThrottleOrder
	Acknowledgements []Acknowledgement
	Advice           []AdviceRequest
	Write            *WriteBatch
	// Resolve lists the workers whose lease must be renewed with a higher
	// fencing token, so that orders in doubt are resolved.
	Resolve []WorkerID
	// Extensions lists, in order, the workers whose leases must not be extended any more
	// or may be extended again.
	Extensions []ExtensionOrder
	// LeasesBound is the number of silent workers whose leases were bound.
	LeasesBound int
	// HandOverReady is set once the next leader may begin, after PrepareHandOver.
	HandOverReady bool
	// AnswerableRequests lists the requests that may be answered now.
	AnswerableRequests []uint64
	// Events lists the decisions to be logged.
	Events []DecisionEvent
	// CrashedWorkers is the number of workers that were found to have crashed, and
	// JobsGivenUp the number of jobs that failed because a task crashed its workers.
	CrashedWorkers, JobsGivenUp int
	// DeparturesKnown is the number of workers of which it became known that they leave, and
	// DeparturesMissed that of workers that have left with runs on them. MovedForDeparture and
	// MovedForInterference are the numbers of runs that were stopped for a move, by its cause.
	DeparturesKnown, DeparturesMissed       int
	MovedForDeparture, MovedForInterference int
	// MovedForSpeed is the number of runs that were stopped for a move off a slow worker.
	MovedForSpeed int
	// Away lists how long long-running tasks were away that have been started again.
	Away []AwayTime
	// NearWaits lists the waits for places near data or groups that have ended.
	NearWaits []NearWait
	// Refused is the number of refused submissions by queue, or nil. CompletionRatios lists the
	// ratios of the actual to the expected time to completion of accepted jobs.
	Refused          map[string]int
	CompletionRatios []float64
}

// DecisionEvent is a log entry about one decision.
type DecisionEvent struct {
	Event   string
	Task    TaskID
	Run     int64
	Worker  WorkerID
	Outcome string
	// End is the number of an end at its worker, or 0 if the decision is about none.
	End int64
	// Age is the age of the input that led to the decision, or 0 if there is
	// none.
	Age time.Duration
}

// QueueTerms holds the queue settings of the manifest that apply to a job. They
// are stored with the job, so that it can continue after its queue is removed.
type QueueTerms struct {
	Queue           string  `cbor:"1,keyasint"`
	Pool            string  `cbor:"2,keyasint"`
	Priority        int     `cbor:"3,keyasint,omitempty"`
	Attempts        int     `cbor:"4,keyasint,omitempty"`
	Stretch         float64 `cbor:"5,keyasint,omitempty"`
	ObjectiveMillis int64   `cbor:"6,keyasint,omitempty"`
	// Advice is nil if any worker of the pool may run the tasks.
	Advice *AdviceLatency `cbor:"7,keyasint,omitempty"`
}

// MaxTermsBytes is the maximum length of the names of a queue and its pool together.
const MaxTermsBytes = 64 << 10

// Check returns a failure of kind TooLarge if the terms are too large to be stored with a
// job.
func (t QueueTerms) Check() error {
	if size := len(t.Queue) + len(t.Pool); size > MaxTermsBytes {
		return fault.New(fault.TooLarge, "the names of the queue and its pool have %d bytes; the limit is %d bytes", size, MaxTermsBytes)
	}
	return nil
}

// AdviceLatency describes how long the advice service takes to answer.
type AdviceLatency struct {
	_ struct{} `cbor:",toarray"`
	// DecisionMillis is the fixed time that each call takes. PerWorkerMillis is
	// the additional time for each worker that the call names.
	DecisionMillis  int64
	PerWorkerMillis int64
}

// ResponseTime returns the time that the service takes to answer a call about the
// given number of workers.
func (a AdviceLatency) ResponseTime(workers int) time.Duration {
	return time.Duration(a.DecisionMillis+a.PerWorkerMillis*int64(workers)) * time.Millisecond
}

// JobRecord is the stored form of an accepted job. It is written once.
type JobRecord struct {
	ID    jobspec.ID  `cbor:"1,keyasint"`
	Job   jobspec.Job `cbor:"2,keyasint"`
	Terms QueueTerms  `cbor:"3,keyasint"`
	// AcceptedMillis is the Unix time in milliseconds, by the clock of the
	// instance that accepted the job.
	AcceptedMillis int64 `cbor:"4,keyasint"`
	// Source identifies the client address that submitted the job, or is empty if it is not
	// known. It is stored so that the next leader knows what each source holds.
	Source []byte `cbor:"5,keyasint,omitempty"`
}

// jobStateBytes is what a job without tasks takes in the memory of a leader beside its
// specification: its state, its entries in the indexes, and its progress.
const jobStateBytes = 1200

// Cost returns the bytes that the job is charged in the budget of the cell.
func (r *JobRecord) Cost() int64 {
	return int64(jobStateBytes + r.Job.MemoryBytes() + len(r.Terms.Queue) + len(r.Terms.Pool) + len(r.Source))
}

// ProgressRecord is the stored progress of a job, or a part of it. A newer record replaces
// the earlier one.
type ProgressRecord struct {
	ID    jobspec.ID `cbor:"1,keyasint"`
	State State      `cbor:"2,keyasint"`
	// Started is set once a task of the job has been started.
	Started bool `cbor:"3,keyasint,omitempty"`
	// NextOccurrence is the lowest occurrence that is not complete.
	NextOccurrence int          `cbor:"4,keyasint,omitempty"`
	Tasks          []TaskRecord `cbor:"5,keyasint,omitempty"`
	EndedMillis    int64        `cbor:"6,keyasint,omitempty"`
	// Crashes is written only for tasks that are not done and under which workers
	// crashed.
	Crashes []CrashRecord `cbor:"7,keyasint,omitempty"`
	// Suspects holds the suspect runs of tasks that are not done.
	Suspects []SuspectRecord `cbor:"8,keyasint,omitempty"`
	// Part is set in a part of the progress, which holds only the tasks of one block.
	Part *PartID `cbor:"9,keyasint,omitempty"`
}

// CrashRecord is the number of workers that crashed under a task, for Confirmed of which
// the task had certainly started. Records of earlier versions also name, by Worker and
// Run, the run that is on probation.
type CrashRecord struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Crashes    int
	Confirmed  int
	Worker     WorkerID
	Run        int64
}

// SuspectRecord is a run that may crash its worker, or may have done so. Address and
// Incarnation are those of the worker when the run was ordered.
type SuspectRecord struct {
	Occurrence  int      `cbor:"1,keyasint,omitempty"`
	Step        int      `cbor:"2,keyasint,omitempty"`
	Index       int      `cbor:"3,keyasint,omitempty"`
	Run         int64    `cbor:"4,keyasint"`
	Worker      WorkerID `cbor:"5,keyasint"`
	Address     string   `cbor:"6,keyasint"`
	Incarnation int64    `cbor:"7,keyasint,omitempty"`
	// Started is set if the worker has accepted or listed the run.
	Started bool `cbor:"8,keyasint,omitempty"`
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
	// UnconfirmedRecoveryWait takes the place of RecoveryWait until EarlierTermsEnded is
	// called. It is the longest time for which an earlier leader may extend leases, and
	// the length of a lease.
	UnconfirmedRecoveryWait time.Duration
	// EarlierAuthority is the longest time for which an earlier leader may still
	// start tasks.
	EarlierAuthority time.Duration
	// MaxEarlierLease is the longest time for which a worker may keep running
	// what an earlier leader started.
	MaxEarlierLease time.Duration
	// LeaseExcess is how much longer a lease may last than its order says, if another
	// incarnation of the worker has carried out the order than the one it was meant for.
	LeaseExcess time.Duration
	// OrderDelay is how long after it was sent an order without an answer may be carried out.
	OrderDelay time.Duration
	// EndedJobRetention is the time for which an ended job is kept.
	EndedJobRetention time.Duration
	// RemoteFactor is the factor by which a task takes longer when it runs
	// outside its data rack.
	RemoteFactor float64
	// NearWait is the longest time for which a task waits for a place near its data or its
	// group, or 0 if none waits.
	NearWait time.Duration
	// LearnSpeed is set if the speeds of workers are learned and placement weighs them.
	LearnSpeed bool
	// RefuseHopeless is set if submissions are refused that can't have any value.
	RefuseHopeless bool
	// Evacuations is set if operators may evacuate availability zones. Nothing is started
	// before SetEvacuations has told which.
	Evacuations bool
	// Budget counts what the jobs take and limits the open tasks. nil stands for a budget without
	// limits.
	Budget *statebudget.Budget
	// BlockTasks is the number of tasks in a part of a job's progress. 0 stands for the
	// constant BlockTasks.
	BlockTasks int
}
