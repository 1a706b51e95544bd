// Package statebudget bounds what the leader of a cell keeps of accepted jobs by what the smallest
// instance that may lead can restore.
//
// A job is charged from when it is accepted until its record is removed. No source may use up the
// room of the others: a part is reserved for sources that hold little, and of the rest a source gets
// room only while it holds less than a multiple of what is free, so that some room stays free however
// many sources want more than their part (dynamic thresholds:
// A. Choudhury and E. Hahne, "Dynamic queue length thresholds for shared-memory packet switches",
// IEEE/ACM Transactions on Networking 6(2), 1998).
//
// All methods of a Budget may be called concurrently and use atomics only. Those that charge are
// exact; the parts of sources are counted in a table of fixed size, in which some sources share an
// entry, so that no number of sources takes more memory.
package statebudget

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits bound the state of a cell.
type Limits struct {
	// Bytes bounds the jobs, as Job.Cost counts them.
	Bytes int64
	// TaskShare is the part of the tasks that may be open at a time on a machine of sufficient
	// memory.
	TaskShare float64
	// Runs is the number of runs on all backend servers up to which ready tasks are started,
	// WorkerRuns the same on one backend server, and Starts the number of start orders that may
	// wait for their answers.
	Runs, WorkerRuns, Starts int
}

// Unlimited are limits that nothing meets but the largest number of open tasks.
var Unlimited = Limits{Bytes: math.MaxInt64 / (4 * sourceMultiple), TaskShare: 1, Runs: math.MaxInt, WorkerRuns: math.MaxInt, Starts: math.MaxInt}

const (
	// fixedMemoryMB is the memory that an instance takes beside what grows with its settings.
	fixedMemoryMB = 40
	// bytesShare is the part of the rest for jobs.
	bytesShare = 0.2
	// fullTaskMemoryMB is the rest from which all tasks may be open.
	fullTaskMemoryMB = 120
	// maxBytes bounds the jobs on large machines. The log holds 400 MB, and a successor reads
	// what is stored before it serves.
	maxBytes = 64 << 20
	// maxRuns, maxWorkerRuns and maxStarts are the limits on machines on which all tasks may be
	// open. 500 backend servers with 34 slots each run 17,000 tasks, and one of them has room for
	// the largest step if its tasks are small. A run takes up to 1 KB, and a start order 16 KB
	// until it is answered.
	maxRuns       = 32768
	maxWorkerRuns = 4096
	maxStarts     = 2048
)

// LimitsFor returns the limits of a cell whose smallest instance has a memory, in megabytes.
func LimitsFor(memoryMB int) Limits {
	rest := max(float64(memoryMB)-fixedMemoryMB, float64(memoryMB)/8)
	share := min(1, rest/fullTaskMemoryMB)
	return Limits{
		Bytes:      min(maxBytes, int64(rest*bytesShare*(1<<20))),
		TaskShare:  share,
		Runs:       max(1, int(maxRuns*share)),
		WorkerRuns: maxWorkerRuns,
		Starts:     max(1, int(maxStarts*share)),
	}
}

const (
	// sourceMultiple lets a source that is alone use 90% of what is not reserved, because callers
	// behind one load balancer have one address.
	sourceMultiple = 9
	// reservedShare is the part of the budget that only small sources may use: those that hold at
	// most a smallSources-th of it, or minSmallSource, which a few ordinary jobs take. Dynamic
	// thresholds alone leave little to a new source if hundreds want all that they can get.
	reservedShare  = 0.25
	smallSources   = 1024
	minSmallSource = 4 << 10
	// inFlightShare is the part of the budget that jobs may take on which the cell has not decided
	// or which are not stored, unless there is only one. They take memory for their encoded form
	// as well.
	inFlightShare = 0.25
	// sourceEntries is the number of entries in the table of sources.
	sourceEntries = 1 << 14
)

// Refusal says why there is no room for a job.
type Refusal uint8

const (
	// None means that there is room.
	None Refusal = iota
	// Full: the budget is used up.
	Full
	// SourceFull: the source of the job holds its part of the budget.
	SourceFull
	// InFlight: too many jobs are being stored.
	InFlight

	// RefusalCount is the number of refusals.
	RefusalCount = int(InFlight) + 1
)

// String returns the name of the refusal in logs and metrics.
func (r Refusal) String() string {
	return [RefusalCount]string{"none", "full", "source_full", "in_flight"}[r]
}

// Budget counts the jobs of a cell during one term.
type Budget struct {
	limits atomic.Pointer[Limits]
	// held is what the cell's jobs are charged, and inFlight what is reserved.
	held, inFlight atomic.Int64
	// sources holds what jobs and reservations of the sources are charged, by a hash of the
	// source.
	sources [sourceEntries]atomic.Int64
	refused [RefusalCount]atomic.Int64
	// roomAt is when a job will be removed next, in Unix nanoseconds, or 0 if that is not known.
	roomAt atomic.Int64
}

// New returns a budget of which nothing is used.
func New(limits Limits) *Budget {
	b := &Budget{}
	b.limits.Store(&limits)
	return b
}

// SetLimits replaces the limits. What is charged beyond new ones stays charged.
func (b *Budget) SetLimits(limits Limits) {
	if *b.limits.Load() != limits {
		b.limits.Store(&limits)
	}
}

// Limits returns the limits in force.
func (b *Budget) Limits() Limits { return *b.limits.Load() }

// Held returns what the jobs of the cell are charged.
func (b *Budget) Held() int64 { return b.held.Load() }

func (b *Budget) source(source []byte) *atomic.Int64 {
	return &b.sources[xxhash.Sum64(source)%sourceEntries]
}

// Charge adds a job that the cell holds. It is never refused: the job is accepted or stored.
func (b *Budget) Charge(source []byte, bytes int64) {
	b.held.Add(bytes)
	b.source(source).Add(bytes)
}

// Refund takes back a Charge.
func (b *Budget) Refund(source []byte, bytes int64) { b.Charge(source, -bytes) }

// Reservation is room for a job on which the cell has not decided. The zero value holds nothing.
type Reservation struct {
	budget *Budget
	source *atomic.Int64
	bytes  int64
}

// Reserve reserves room for a job, or returns why there is none. The reservation must be released
// when the job is stored or refused; the cell charges the job by itself.
func (b *Budget) Reserve(source []byte, bytes int64) (Reservation, Refusal) {
	entry := b.source(source)
	inFlight := b.inFlight.Add(bytes)
	ofSource := entry.Add(bytes)
	reservation := Reservation{b, entry, bytes}
	refusal := b.judge(inFlight, ofSource, bytes)
	if refusal == None {
		return reservation, None
	}
	reservation.Release()
	b.refused[refusal].Add(1)
	return Reservation{}, refusal
}

// judge decides on a reservation that is counted already.
func (b *Budget) judge(inFlight, ofSource, bytes int64) Refusal {
	limit := b.limits.Load().Bytes
	free := limit - b.held.Load() - inFlight
	reserved := int64(reservedShare * float64(limit))
	switch {
	case free < 0:
		return Full
	case ofSource > max(sourceMultiple*(free-reserved), reserved/smallSources, minSmallSource):
		return SourceFull
	case inFlight > bytes && float64(inFlight) > inFlightShare*float64(limit):
		return InFlight
	}
	return None
}

// Release gives the reservation back. It may be called more than once.
func (r *Reservation) Release() {
	if r.budget == nil {
		return
	}
	r.budget.inFlight.Add(-r.bytes)
	r.source.Add(-r.bytes)
	r.budget = nil
}

// SetRoomAt records when a job will be removed next, or the zero time if that is not known.
func (b *Budget) SetRoomAt(at time.Time) {
	if at.IsZero() {
		b.roomAt.Store(0)
	} else {
		b.roomAt.Store(at.UnixNano())
	}
}

const (
	// MinWait and MaxWait are the bounds of the wait of a refused caller.
	MinWait = time.Second
	MaxWait = 15 * time.Second
	// waitSpread is the time over which callers return that were told the same time of room.
	waitSpread = 3 * time.Second
)

// Wait returns the wait of the caller of a refused job. hash spreads the callers, so that they
// don't return together.
func (b *Budget) Wait(now time.Time, refusal Refusal, hash uint64) time.Duration {
	spread := time.Duration(hash % uint64(waitSpread))
	if refusal == InFlight {
		return MinWait + spread
	}
	wait := MaxWait - waitSpread
	if roomAt := b.roomAt.Load(); roomAt != 0 {
		wait = min(wait, max(MinWait, time.Unix(0, roomAt).Sub(now)))
	}
	return wait + spread
}

// State is the state of a budget for operators.
type State struct {
	LimitBytes    int64            `json:"limit_bytes"`
	HeldBytes     int64            `json:"held_bytes"`
	InFlightBytes int64            `json:"in_flight_bytes"`
	TaskShare     float64          `json:"task_share"`
	Refused       map[string]int64 `json:"refused"`
}

// State returns the state of the budget.
func (b *Budget) State() State {
	limits := b.Limits()
	refused := map[string]int64{}
	for refusal := Full; int(refusal) < RefusalCount; refusal++ {
		refused[refusal.String()] = b.refused[refusal].Load()
	}
	return State{limits.Bytes, b.held.Load(), b.inFlight.Load(), limits.TaskShare, refused}
}
