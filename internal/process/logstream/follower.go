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
	// recentIDs bounds the record identifiers kept for waiters that come after
	// their record was folded.
	recentIDs = 4096
	// maxRecovery bounds the records kept while the follower looks for a
	// snapshot. Older ones are dropped.
	maxRecovery = 100_000
	// readLimit bounds the entries of one read.
	readLimit = 512
	// pollWait is how long a read waits for a new entry.
	pollWait = 1 * time.Second
	// readTimeout bounds one read beyond pollWait.
	readTimeout = 2 * time.Second
	// maxReadBackoff is the longest pause between reads.
	maxReadBackoff = 1 * time.Second
	// snapshotPatience covers the longest append backoff, a read backoff and the
	// time the live members take to see that a snapshot is due.
	snapshotPatience = 15 * time.Second
)

// FollowerOptions say what a Follower does with the entries; zero durations
// and counts take the default.
type FollowerOptions struct {
	// Decode returns the record of an entry. An entry with an error is skipped.
	Decode func(entry []byte) (record.Envelope, error)
	// Fold receives each record once, in order. The follower calls it from Run.
	Fold func(offset ident.Offset, envelope record.Envelope)
	// Restore replaces the folded state by a snapshot's, when the records before
	// it are lost. After an error the follower looks for another snapshot.
	Restore func(offset ident.Offset, snapshot record.Snapshot) error
	// ReadLimit bounds the entries of one read.
	ReadLimit int
	// PollWait is how long a read waits for a new entry.
	PollWait time.Duration
	// CallTimeout bounds one read beyond PollWait.
	CallTimeout time.Duration
	// MinBackoff and MaxBackoff bound the pause after a failed read.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// SnapshotPatience is how long a follower that lost records waits for a
	// snapshot, counted while the log answers, before it takes the state before
	// the oldest record as empty. Live members append one on their return from
	// an outage, which must fit into this time.
	SnapshotPatience time.Duration
	// Jitter returns a number in [0, 1).
	Jitter func() float64
}

func (o *FollowerOptions) setDefaults() {
	setDefault(&o.ReadLimit, readLimit)
	setDefault(&o.PollWait, pollWait)
	setDefault(&o.CallTimeout, readTimeout)
	setDefault(&o.MinBackoff, minBackoff)
	setDefault(&o.MaxBackoff, maxReadBackoff)
	setDefault(&o.SnapshotPatience, snapshotPatience)
	if o.Jitter == nil {
		o.Jitter = rand.Float64
	}
}

// Progress says how far a follower is.
type Progress struct {
	// Folded is the newest folded offset, including skipped entries.
	Folded ident.Offset
	// Behind is the number of entries that the last read left unfolded.
	Behind uint64
	// LastRead is the time of the last successful read; zero before the first.
	LastRead time.Time
	// Recovering says that records were lost and no snapshot was found yet.
	Recovering bool
	// Skipped counts the entries that couldn't be decoded, by reason.
	Skipped map[string]uint64
	// FailedReads counts the reads that failed.
	FailedReads uint64
}

// Follower folds the records of one stream in order and without gaps, except
// where a snapshot replaces records that the log no longer holds.
type Follower struct {
	log     Log
	clock   clock.Clock
	stream  ident.StreamName
	options FollowerOptions

	// The fields below belong to Run.
	next      ident.Offset
	recovery  []located
	lost      bool
	lostSince time.Time

	mu       sync.Mutex
	progress Progress
	changed  chan struct{}
	seen     map[ident.RecordID]ident.Offset
	order    []ident.RecordID
}

// located is a record with its place in the stream.
type located struct {
	offset   ident.Offset
	envelope record.Envelope
}

// NewFollower returns a follower that reads nothing until Run.
func NewFollower(log Log, clock clock.Clock, stream ident.StreamName, options FollowerOptions) *Follower {
	options.setDefaults()
	return &Follower{
		log:      log,
		clock:    clock,
		stream:   stream,
		options:  options,
		next:     1,
		changed:  make(chan struct{}),
		seen:     map[ident.RecordID]ident.Offset{},
		progress: Progress{Skipped: map[string]uint64{}},
	}
}

// Progress returns how far the follower is.
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

// WaitFor waits until the record with an identifier has been folded and returns
// the first offset at which it was. It also finds the last recentIDs records
// that were folded before the call. The error is that of ctx.
func (f *Follower) WaitFor(ctx context.Context, id ident.RecordID) (ident.Offset, error) {
	var offset ident.Offset
	err := f.wait(ctx, func() bool {
		found, ok := f.seen[id]
		offset = found
		return ok
	})
	return offset, err
}

// WaitFolded waits until the stream has been folded up to offset. The error is
// that of ctx.
func (f *Follower) WaitFolded(ctx context.Context, offset ident.Offset) error {
	return f.wait(ctx, func() bool { return f.progress.Folded >= offset })
}

// wait returns when done, which is called under the mutex, reports true.
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

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := f.options.MinBackoff
	for ctx.Err() == nil {
		batch, err := f.read(ctx)
		if err == nil {
			backoff = f.options.MinBackoff
			f.take(batch)
			continue
		}
		f.mu.Lock()
		f.progress.FailedReads++
		f.mu.Unlock()
		// Time without the log doesn't count for the patience.
		f.lostSince = time.Time{}
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

// take folds a batch, or keeps it for recovery when records were lost.
func (f *Follower) take(batch Batch) {
	if f.next < batch.Oldest {
		f.lost = true
		f.recovery = nil
		f.next = batch.Oldest
	}
	for i, entry := range batch.Entries {
		offset := batch.First + ident.Offset(i)
		if offset >= f.next {
			f.takeEntry(offset, entry)
			f.next = offset + 1
		}
	}
	if f.lost {
		f.checkPatience(batch.Next)
	}
	f.report(batch)
}

func (f *Follower) takeEntry(offset ident.Offset, entry []byte) {
	envelope, err := f.options.Decode(entry)
	if err != nil {
		f.skip(err)
		return
	}
	if !f.lost {
		f.fold(located{offset, envelope})
		return
	}
	f.recovery = append(f.recovery, located{offset, envelope})
	if len(f.recovery) > maxRecovery {
		f.recovery = f.recovery[1:]
	}
	if snapshot, ok := envelope.Record.(record.Snapshot); ok {
		f.tryRestore(offset, snapshot)
	}
}

// tryRestore starts from a snapshot if each record after it is at hand.
func (f *Follower) tryRestore(offset ident.Offset, snapshot record.Snapshot) {
	first := f.recovery[0].offset
	if snapshot.At+1 < first {
		return
	}
	if f.options.Restore == nil || f.options.Restore(offset, snapshot) != nil {
		return
	}
	f.endRecovery(snapshot.At)
}

// endRecovery folds the kept records after an offset.
func (f *Follower) endRecovery(after ident.Offset) {
	kept := f.recovery
	f.lost = false
	f.recovery = nil
	for _, item := range kept {
		if item.offset > after {
			f.fold(item)
		}
	}
}

// checkPatience gives up the search for a snapshot at the end of the stream.
func (f *Follower) checkPatience(next ident.Offset) {
	if f.next < next {
		return
	}
	now := f.clock.Now()
	if f.lostSince.IsZero() {
		f.lostSince = now
	}
	if now.Sub(f.lostSince) >= f.options.SnapshotPatience {
		f.endRecovery(0)
	}
}

func (f *Follower) fold(item located) {
	f.options.Fold(item.offset, item.envelope)
	f.mu.Lock()
	defer f.mu.Unlock()
	id := item.envelope.ID
	if _, repeated := f.seen[id]; repeated {
		return
	}
	f.seen[id] = item.offset
	f.order = append(f.order, id)
	if len(f.order) > recentIDs {
		delete(f.seen, f.order[0])
		f.order = f.order[1:]
	}
}

// skip counts an entry that can't be decoded.
func (f *Follower) skip(err error) {
	reason := "other"
	var named interface{ SkipReason() string }
	if errors.As(err, &named) {
		reason = named.SkipReason()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.progress.Skipped[reason]++
}

// report publishes the progress and wakes the waiters.
func (f *Follower) report(batch Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.progress.LastRead = f.clock.Now()
	f.progress.Recovering = f.lost
	f.progress.Behind = 0
	if batch.Next > f.next {
		f.progress.Behind = uint64(batch.Next - f.next)
	}
	if !f.lost {
		f.progress.Folded = f.next - 1
	}
	close(f.changed)
	f.changed = make(chan struct{})
}
