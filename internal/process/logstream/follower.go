package logstream

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
)

const (
	// maxRecentIDs is the number of identifiers of applied records that are
	// kept for callers of WaitFor that come after their record was applied.
	maxRecentIDs = 4096
	// maxRecoveryRecords is the maximum number of records that are kept while
	// the follower looks for a snapshot. The oldest ones are dropped first.
	maxRecoveryRecords = 100_000
	// defaultReadLimit is the maximum number of entries of one read.
	defaultReadLimit = 512
	// defaultPollWait is the time for which a read waits for a new entry.
	defaultPollWait = 1 * time.Second
	// defaultReadTimeout is the timeout of one read, in addition to the poll
	// wait.
	defaultReadTimeout = 2 * time.Second
	// defaultMaxReadBackoff is the longest pause between failed reads.
	defaultMaxReadBackoff = 1 * time.Second
	// defaultSnapshotTimeout must cover the longest append backoff, a read
	// backoff, and the time that live members need to notice that a snapshot is
	// due.
	defaultSnapshotTimeout = 15 * time.Second
)

// FollowerOptions determines how a Follower reads the entries and what it does
// with them. Durations and counts that are zero get a default value.
type FollowerOptions struct {
	// Decode decodes an entry. If it fails, the entry is skipped and counted.
	Decode func(entry []byte) (record.Envelope, error)
	// Apply applies a record to the caller's state. Run calls it once for each
	// record, in the order of the stream.
	Apply func(offset ident.Offset, envelope record.Envelope)
	// Restore replaces the caller's state by that of a snapshot. Run calls it
	// if the records before the snapshot are lost. If it fails, the follower
	// looks for another snapshot.
	Restore func(offset ident.Offset, snapshot record.Snapshot) error
	// ReadLimit is the maximum number of entries of one read.
	ReadLimit int
	// PollWait is the time for which a read waits for a new entry.
	PollWait time.Duration
	// CallTimeout is the timeout of one read, in addition to PollWait.
	CallTimeout time.Duration
	// MinBackoff and MaxBackoff limit the pause after a failed read. The pause
	// doubles with each failure.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// SnapshotTimeout is the time for which a follower that lost records waits
	// for a snapshot at the end of the stream. Time during which the log does
	// not answer is not counted. After that the follower assumes that the state
	// before the oldest record was empty. Live members append a snapshot when
	// they return from an outage; SnapshotTimeout must be long enough for
	// that.
	SnapshotTimeout time.Duration
	// Jitter returns a number in [0, 1), by which the pauses are varied. The
	// default returns random numbers.
	Jitter func() float64
}

func (o *FollowerOptions) setDefaults() {
	setDefault(&o.ReadLimit, defaultReadLimit)
	setDefault(&o.PollWait, defaultPollWait)
	setDefault(&o.CallTimeout, defaultReadTimeout)
	setDefault(&o.MinBackoff, defaultMinBackoff)
	setDefault(&o.MaxBackoff, defaultMaxReadBackoff)
	setDefault(&o.SnapshotTimeout, defaultSnapshotTimeout)
	if o.Jitter == nil {
		o.Jitter = rand.Float64
	}
}

// Progress describes how far a follower has read its stream.
type Progress struct {
	// Folded is the newest offset whose record was applied or whose entry was
	// skipped.
	Folded ident.Offset
	// Behind is the number of entries that are not yet applied, as of the last
	// read.
	Behind uint64
	// LastRead is the time of the last successful read. It is zero before the
	// first.
	LastRead time.Time
	// Recovering is true while records are lost and no snapshot was found yet.
	Recovering bool
	// Skipped holds the numbers of entries that could not be decoded, by
	// reason.
	Skipped map[string]uint64
	// FailedReads is the number of failed reads.
	FailedReads uint64
}

// Follower applies the records of one stream in order and without gaps, except
// where a snapshot replaces records that the log no longer holds. Other
// goroutines may call its methods while one goroutine is in Run.
type Follower struct {
	log     Log
	clock   clock.Clock
	stream  ident.StreamName
	options FollowerOptions

	// The fields from here to mu are used only by Run.

	// next is the offset from which the next read starts.
	next ident.Offset
	// recoveryRecords are the records that were read while recovering.
	recoveryRecords []locatedRecord
	// recovering is true while records are lost and no snapshot was found yet.
	recovering bool
	// snapshotWaitStart is the time since which the follower has waited for a
	// snapshot at the end of the stream without a failed read, or zero.
	snapshotWaitStart time.Time

	// mu protects the fields below.
	mu       sync.Mutex
	progress Progress
	// changed is closed and replaced after each batch, to wake waiters.
	changed chan struct{}
	// offsets holds the offset of each of the most recently applied records,
	// and recentIDs their identifiers, oldest first.
	offsets   map[ident.RecordID]ident.Offset
	recentIDs []ident.RecordID
}

// locatedRecord is a record with its offset in the stream.
type locatedRecord struct {
	offset   ident.Offset
	envelope record.Envelope
}

// NewFollower returns a follower that reads nothing until Run is called.
func NewFollower(log Log, clock clock.Clock, stream ident.StreamName, options FollowerOptions) *Follower {
	options.setDefaults()
	return &Follower{
		log:      log,
		clock:    clock,
		stream:   stream,
		options:  options,
		next:     1,
		changed:  make(chan struct{}),
		offsets:  map[ident.RecordID]ident.Offset{},
		progress: Progress{Skipped: map[string]uint64{}},
	}
}

// Progress returns how far the follower has read its stream.
func (f *Follower) Progress() Progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	progress := f.progress
	progress.Skipped = make(map[string]uint64, len(f.progress.Skipped))
	for reason, count := range f.progress.Skipped {
		progress.Skipped[reason] = count
	}
	return progress
}

// WaitFor waits until the record with the identifier id has been applied, and
// returns the first offset at which it was. It also finds a record that was
// applied before the call, if it is one of the last maxRecentIDs (4096)
// records. If ctx ends first, it returns the error of ctx.
func (f *Follower) WaitFor(ctx context.Context, id ident.RecordID) (ident.Offset, error) {
	var offset ident.Offset
	err := f.wait(ctx, func() bool {
		found, ok := f.offsets[id]
		offset = found
		return ok
	})
	return offset, err
}

// WaitApplied waits until the records up to and including offset have been
// applied. If ctx ends first, it returns the error of ctx.
func (f *Follower) WaitApplied(ctx context.Context, offset ident.Offset) error {
	return f.wait(ctx, func() bool { return f.progress.Folded >= offset })
}

// wait waits until done, which is called with the mutex held, returns true.
func (f *Follower) wait(ctx context.Context, done func() bool) error {
	for {
		f.mu.Lock()
		finished := done()
		changed := f.changed
		f.mu.Unlock()
		if finished {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Run reads the stream and applies its records until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := f.options.MinBackoff
	for ctx.Err() == nil {
		batch, err := f.read(ctx)
		if err == nil {
			backoff = f.options.MinBackoff
			f.handleBatch(batch)
			continue
		}
		f.mu.Lock()
		f.progress.FailedReads++
		f.mu.Unlock()
		// Time during which the log does not answer does not count towards
		// SnapshotTimeout.
		f.snapshotWaitStart = time.Time{}
		pause := time.Duration(float64(backoff) * (0.5 + f.options.Jitter()/2))
		if !sleep(ctx, f.clock, pause) {
			return
		}
		backoff = min(2*backoff, f.options.MaxBackoff)
	}
}

func (f *Follower) read(ctx context.Context) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, f.options.PollWait+f.options.CallTimeout)
	defer cancel()
	return f.log.Read(ctx, f.stream, f.next, f.options.ReadLimit, f.options.PollWait)
}

// handleBatch applies the records of a batch, or keeps them for the recovery if
// earlier records were lost.
func (f *Follower) handleBatch(batch Batch) {
	if f.next < batch.Oldest {
		f.recovering = true
		f.recoveryRecords = nil
		f.next = batch.Oldest
	}
	for i, entry := range batch.Entries {
		offset := batch.First + ident.Offset(i)
		if offset >= f.next {
			f.handleEntry(offset, entry)
			f.next = offset + 1
		}
	}
	if f.recovering {
		f.checkSnapshotTimeout(batch.Next)
	}
	f.publishProgress(batch)
}

func (f *Follower) handleEntry(offset ident.Offset, entry []byte) {
	envelope, err := f.options.Decode(entry)
	if err != nil {
		f.countSkipped(err)
		return
	}
	if !f.recovering {
		f.apply(locatedRecord{offset, envelope})
		return
	}
	f.recoveryRecords = append(f.recoveryRecords, locatedRecord{offset, envelope})
	if len(f.recoveryRecords) > maxRecoveryRecords {
		f.recoveryRecords = f.recoveryRecords[1:]
	}
	if snapshot, ok := envelope.Record.(record.Snapshot); ok {
		f.tryRestore(offset, snapshot)
	}
}

// tryRestore restores the state of a snapshot if all records after the position
// of the snapshot were kept. These records are then applied.
func (f *Follower) tryRestore(offset ident.Offset, snapshot record.Snapshot) {
	first := f.recoveryRecords[0].offset
	if snapshot.At+1 < first {
		return
	}
	if f.options.Restore == nil || f.options.Restore(offset, snapshot) != nil {
		return
	}
	f.endRecovery(snapshot.At)
}

// endRecovery ends the recovery and applies the kept records after an offset.
func (f *Follower) endRecovery(after ident.Offset) {
	kept := f.recoveryRecords
	f.recovering = false
	f.recoveryRecords = nil
	for _, located := range kept {
		if located.offset > after {
			f.apply(located)
		}
	}
}

// checkSnapshotTimeout gives up the search for a snapshot if the follower has
// been at the end of the stream for SnapshotTimeout. next is the offset of the
// next append.
func (f *Follower) checkSnapshotTimeout(next ident.Offset) {
	if f.next < next {
		return
	}
	now := f.clock.Now()
	if f.snapshotWaitStart.IsZero() {
		f.snapshotWaitStart = now
	}
	if now.Sub(f.snapshotWaitStart) >= f.options.SnapshotTimeout {
		f.endRecovery(0)
	}
}

func (f *Follower) apply(located locatedRecord) {
	f.options.Apply(located.offset, located.envelope)
	f.mu.Lock()
	defer f.mu.Unlock()
	id := located.envelope.ID
	if _, repeated := f.offsets[id]; repeated {
		return
	}
	f.offsets[id] = located.offset
	f.recentIDs = append(f.recentIDs, id)
	if len(f.recentIDs) > maxRecentIDs {
		delete(f.offsets, f.recentIDs[0])
		f.recentIDs = f.recentIDs[1:]
	}
}

// countSkipped counts an entry that could not be decoded.
func (f *Follower) countSkipped(err error) {
	reason := "other"
	var withReason interface{ SkipReason() string }
	if errors.As(err, &withReason) {
		reason = withReason.SkipReason()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.progress.Skipped[reason]++
}

// publishProgress updates the progress after a batch and wakes the waiters.
func (f *Follower) publishProgress(batch Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.progress.LastRead = f.clock.Now()
	f.progress.Recovering = f.recovering
	f.progress.Behind = 0
	if batch.Next > f.next {
		f.progress.Behind = uint64(batch.Next - f.next)
	}
	if !f.recovering {
		f.progress.Folded = f.next - 1
	}
	close(f.changed)
	f.changed = make(chan struct{})
}
