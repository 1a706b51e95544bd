package home

import (
	"context"
	"sync"
	"time"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/logstream"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/process/record"
	"poplarvalve/internal/version/jobs"
)

const (
	// logSilence is the age of the newest read from which the log counts as
	// unreachable. A read of an idle stream takes up to one second.
	logSilence = 3 * time.Second
	// maxQueueBytes bounds the records of a shard that wait for the log. It
	// holds a snapshot of 1,800 jobs with bodies of 16 KiB.
	maxQueueBytes = 32 << 20
	// snapshotPartBytes leaves room in a record for the largest entry.
	snapshotPartBytes = 256 << 10
	// snapshotRetry is the time after which a snapshot that was not read back is
	// appended again.
	snapshotRetry = 30 * time.Second
	// claimRetry is the time after which a Home record that was void is followed
	// by another one.
	claimRetry = 1 * time.Second
	// roundPeriod is the longest time between two rounds of a shard.
	roundPeriod = 1 * time.Second
	// roundPause is the shortest. A round at 1,800 jobs and 1,100 workers takes
	// 1.3 ms, so four in a second take 0.5% of a core.
	roundPause = 250 * time.Millisecond
)

// written is what became of a record that was read back.
type written struct {
	offset  ident.Offset
	verdict jobs.Verdict
}

// followed is a running attempt of a job.
type followed struct {
	owner ident.Incarnation
	// watched is whether the owner began the attempt and reports its end.
	watched bool
	// due is when to ask the owner.
	due time.Time
}

// shard follows one shard and acts for it while this incarnation is its home.
type shard struct {
	home     *Home
	id       ident.Shard
	table    *publish.Cell[jobs.Table]
	appender *logstream.Appender
	follower *logstream.Follower
	ctx      context.Context
	stop     context.CancelFunc
	group    sync.WaitGroup

	// collector belongs to the follower.
	collector jobs.Collector
	// claimed is when a Home record was last added. It belongs to run.
	claimed time.Time
	// snapshotAdded is when a snapshot was last added. It belongs to run.
	snapshotAdded time.Time

	// mu is never held during a call to the log, a worker or a peer.
	mu      sync.Mutex
	waiters map[ident.RecordID]chan written
	// claiming is whether a Home record is on its way.
	claiming bool
	// placing holds the jobs whose next attempt is being placed or begun, with
	// its worker once that is chosen.
	placing map[ident.JobID]ident.WorkerID
	// canceling counts the cancellations under way, by job.
	canceling map[ident.JobID]int
	// ending holds the attempts whose end is being recorded.
	ending map[ident.TaskID]bool
	// followed holds what is known of the owners of running attempts.
	followed map[ident.JobID]followed
	// followedEpoch is the epoch of these owners.
	followedEpoch ident.Epoch
	// waits says why jobs wait, as of the newest round.
	waits map[ident.JobID]*fault.Failure
	// snapshot is the time of the newest whole snapshot in the stream.
	snapshot time.Time
}

func newShard(h *Home, id ident.Shard) *shard {
	s := &shard{
		home:      h,
		id:        id,
		table:     publish.New[jobs.Table](nil),
		waiters:   map[ident.RecordID]chan written{},
		placing:   map[ident.JobID]ident.WorkerID{},
		canceling: map[ident.JobID]int{},
		ending:    map[ident.TaskID]bool{},
		followed:  map[ident.JobID]followed{},
	}
	s.ctx, s.stop = context.WithCancel(h.base)
	stream := ident.ShardStream(id)
	config := h.config
	s.appender = logstream.NewAppender(config.Log, config.Clock, stream, config.Budget,
		logstream.AppenderOptions{MaxQueueBytes: maxQueueBytes, Jitter: config.Jitter})
	s.follower = logstream.NewFollower(config.Log, config.Clock, stream, logstream.FollowerOptions{
		Decode:  codec.DecodeRecord,
		Fold:    s.fold,
		Restore: s.restore,
		Jitter:  config.Jitter,
	})
	return s
}

// run follows the shard until it is stopped.
func (s *shard) run() {
	defer s.group.Wait()
	s.group.Go(func() { s.appender.Run(s.ctx) })
	s.group.Go(func() { s.follower.Run(s.ctx) })
	for s.ctx.Err() == nil {
		changed := s.table.Changed()
		s.step(s.home.now())
		if !s.waitFor(changed) || !s.home.sleep(s.ctx, roundPause) {
			return
		}
	}
}

// waitFor returns when the next round is due, or false at the end.
func (s *shard) waitFor(changed <-chan struct{}) bool {
	timer := s.home.config.Clock.NewTimer(roundPeriod)
	defer timer.Stop()
	select {
	case <-s.ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// step does what is due. It returns without waiting.
func (s *shard) step(now time.Time) {
	if !s.caughtUp() || !s.home.config.Open(now) {
		return
	}
	table := s.current()
	if table.Home != s.home.config.Self {
		s.claim(table, now)
		return
	}
	s.appendSnapshot(table, now)
	s.round(now)
}

// current returns the newest table, which is empty before the first record.
func (s *shard) current() *jobs.Table {
	if table := s.table.Load(); table != nil {
		return table
	}
	return jobs.Empty()
}

// caughtUp reports whether the whole stream was read.
func (s *shard) caughtUp() bool {
	progress := s.follower.Progress()
	return !progress.LastRead.IsZero() && !progress.Recovering && progress.Behind == 0
}

// logReachable reports whether the log has answered lately.
func (s *shard) logReachable(now time.Time) bool {
	return now.Sub(s.follower.Progress().LastRead) <= logSilence
}

// claim appends the Home record of this incarnation, unless one is on its way
// or a later view of the members named another home.
func (s *shard) claim(table *jobs.Table, now time.Time) {
	epoch := s.home.config.Ownership.Load().Epoch
	if epoch < table.Epoch || now.Sub(s.claimed) < claimRetry {
		return
	}
	s.mu.Lock()
	busy := s.claiming
	s.claiming = true
	s.mu.Unlock()
	if busy {
		return
	}
	s.claimed = now
	s.group.Go(func() {
		_, _ = s.append(s.ctx, record.Home{After: table.HomeAt, Epoch: epoch})
		s.mu.Lock()
		s.claiming = false
		s.mu.Unlock()
	})
}

// append adds a record and waits until it was read back. An error of outcome
// NotRun guarantees that the record is not and will not be in the log; after
// any other error it may be.
func (s *shard) append(ctx context.Context, body record.Record) (written, error) {
	id := s.home.recordID(s.id)
	entry, err := s.encode(id, body)
	if err != nil {
		return written{}, err
	}
	waiter := make(chan written, 1)
	s.mu.Lock()
	s.waiters[id] = waiter
	s.mu.Unlock()
	defer s.forget(id)
	if err := s.appender.Add(entry); err != nil {
		return written{}, err
	}
	select {
	case result := <-waiter:
		return result, nil
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return written{}, fault.New(fault.LogUnavailable, "the record of shard %d was not read back", s.id)
}

func (s *shard) encode(id ident.RecordID, body record.Record) ([]byte, error) {
	return codec.EncodeRecord(record.Envelope{
		ID:     id,
		Writer: s.home.config.Self,
		At:     s.home.now().UnixMilli(),
		Record: body,
	})
}

func (s *shard) forget(id ident.RecordID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, id)
}

// fold takes one record of the stream. The follower calls it.
func (s *shard) fold(offset ident.Offset, envelope record.Envelope) {
	next, verdict := jobs.Apply(s.table.Load(), offset, envelope)
	s.table.Publish(next)
	s.home.grants.folded(s.id, next, envelope.Record)
	if snapshot, isSnapshot := envelope.Record.(record.Snapshot); isSnapshot && verdict != jobs.Void {
		s.noteSnapshot(envelope.At, snapshot)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if waiter, waits := s.waiters[envelope.ID]; waits {
		delete(s.waiters, envelope.ID)
		waiter <- written{offset, verdict}
	}
}

// restore takes one part of a snapshot. The follower calls it.
func (s *shard) restore(_ ident.Offset, snapshot record.Snapshot) error {
	var part jobs.Part
	if err := codec.DecodeState(snapshot.State, &part); err != nil {
		return err
	}
	if part.Offset != snapshot.At {
		return fault.New(fault.Malformed, "snapshot of another offset")
	}
	table, err := s.collector.Add(part)
	if err != nil {
		return err
	}
	s.table.Publish(table)
	return nil
}

// noteSnapshot remembers the time of a snapshot with its last part.
func (s *shard) noteSnapshot(at int64, snapshot record.Snapshot) {
	var part jobs.Part
	if codec.DecodeState(snapshot.State, &part) != nil || part.Index+1 < part.Count {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = time.UnixMilli(at)
}

// appendSnapshot appends the table when a quarter of the retention has passed
// since the newest snapshot.
func (s *shard) appendSnapshot(table *jobs.Table, now time.Time) {
	s.mu.Lock()
	age := now.Sub(s.snapshot)
	s.mu.Unlock()
	if s.home.config.Retention <= 0 || age < s.home.config.Retention/4 || !s.logReachable(now) {
		return
	}
	if now.Sub(s.snapshotAdded) < snapshotRetry {
		return
	}
	s.snapshotAdded = now
	parts, known := table.Snapshot(snapshotPartBytes)
	if !known {
		return
	}
	for _, part := range parts {
		state, err := codec.EncodeState(part)
		if err != nil {
			return
		}
		entry, err := s.encode(s.home.recordID(s.id), record.Snapshot{At: table.Offset, State: state})
		if err != nil || s.appender.Add(entry) != nil {
			return
		}
	}
}
