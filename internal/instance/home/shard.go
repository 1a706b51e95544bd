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
	// maxLogReadAge is the age of the last successful read at which the log
	// counts as unreachable. A read of an idle stream takes up to one second.
	maxLogReadAge = 3 * time.Second
	// maxAppendQueueBytes bounds the records of a shard that are waiting to be
	// appended to the log. It is large enough for a snapshot of 1,800 jobs with
	// bodies of 16 KiB.
	maxAppendQueueBytes = 32 << 20
	// snapshotPartBytes is the target size of one part of a snapshot. A part
	// may exceed it by one entry, so it leaves space in a record for the
	// largest entry.
	snapshotPartBytes = 256 << 10
	// snapshotRetry is the time after which a snapshot that was not read back
	// is appended again.
	snapshotRetry = 30 * time.Second
	// claimRetry is the time after which a rejected HomeClaim record is
	// followed by another one.
	claimRetry = 1 * time.Second
	// maxRoundInterval is the longest time between two scheduling rounds of a
	// shard.
	maxRoundInterval = 1 * time.Second
	// minRoundInterval is the shortest time between two scheduling rounds of a
	// shard. A round with 1,800 jobs and 1,100 workers takes 1.3 ms, so four
	// rounds per second use 0.5% of a processor core.
	minRoundInterval = 250 * time.Millisecond
)

// appendResult is the offset at which an appended record was read back, and its
// effect on the job table.
type appendResult struct {
	offset ident.Offset
	effect jobs.ApplyResult
}

// polledAttempt says when to poll the owner of a running attempt.
type polledAttempt struct {
	owner ident.Incarnation
	// reportsEnd reports whether the owner started the attempt and therefore
	// reports its end.
	reportsEnd bool
	// nextPoll is when to poll the owner next.
	nextPoll time.Time
}

// shard reads the stream of one shard into a job table. While this incarnation
// is the home of the shard, it also schedules the jobs of the shard.
type shard struct {
	home       *Home
	id         ident.Shard
	table      *publish.Value[jobs.Table]
	appender   *logstream.Appender
	follower   *logstream.Follower
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// collector is used only by the goroutine of the follower.
	collector jobs.Collector
	// lastClaim is when a HomeClaim record was last appended. It is used only
	// by run.
	lastClaim time.Time
	// lastSnapshotAdded is when a snapshot was last queued for the log. It is
	// used only by run.
	lastSnapshotAdded time.Time

	// mu guards the fields below. It is never held during a call to the log, a
	// worker or a peer.
	mu      sync.Mutex
	waiters map[ident.RecordID]chan appendResult
	// claimPending reports whether a HomeClaim record was appended but not read
	// back yet.
	claimPending bool
	// placing holds the jobs whose next attempt is being placed or started,
	// with the chosen worker. The worker is empty until it is known.
	placing map[ident.JobID]ident.WorkerID
	// canceling counts the cancellations in progress, by job.
	canceling map[ident.JobID]int
	// recordingEnd holds the attempts whose end is being recorded.
	recordingEnd map[ident.TaskID]bool
	// polled holds the polling state of running attempts, by job.
	polled map[ident.JobID]polledAttempt
	// polledEpoch is the epoch of the ownership table with which the owners in
	// polled were last compared.
	polledEpoch ident.Epoch
	// waitReasons says why each waiting job was not placed in the last round.
	waitReasons map[ident.JobID]*fault.Failure
	// newestSnapshot is the time of the newest complete snapshot in the stream.
	newestSnapshot time.Time
}

func newShard(h *Home, id ident.Shard) *shard {
	s := &shard{
		home:         h,
		id:           id,
		table:        publish.New[jobs.Table](nil),
		waiters:      map[ident.RecordID]chan appendResult{},
		placing:      map[ident.JobID]ident.WorkerID{},
		canceling:    map[ident.JobID]int{},
		recordingEnd: map[ident.TaskID]bool{},
		polled:       map[ident.JobID]polledAttempt{},
	}
	s.ctx, s.cancel = context.WithCancel(h.baseCtx)
	stream := ident.ShardStream(id)
	config := h.config
	s.appender = logstream.NewAppender(config.Log, config.Clock, stream, config.AppendRateLimit,
		logstream.AppenderOptions{MaxQueueBytes: maxAppendQueueBytes, Jitter: config.Jitter})
	s.follower = logstream.NewFollower(config.Log, config.Clock, stream, logstream.FollowerOptions{
		Decode:  codec.DecodeRecord,
		Apply:   s.applyRecord,
		Restore: s.restorePart,
		Jitter:  config.Jitter,
	})
	return s
}

// run follows the shard until it is stopped.
func (s *shard) run() {
	defer s.goroutines.Wait()
	s.goroutines.Go(func() { s.appender.Run(s.ctx) })
	s.goroutines.Go(func() { s.follower.Run(s.ctx) })
	for s.ctx.Err() == nil {
		changed := s.table.Changed()
		s.runCycle(s.home.now())
		if !s.waitForRound(changed) || !s.home.sleep(s.ctx, minRoundInterval) {
			return
		}
	}
}

// waitForRound waits until the table changes or maxRoundInterval has passed. It
// returns false if the shard was stopped.
func (s *shard) waitForRound(changed <-chan struct{}) bool {
	timer := s.home.config.Clock.NewTimer(maxRoundInterval)
	defer timer.Stop()
	select {
	case <-s.ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// runCycle makes this incarnation the home of the shard if it is not yet.
// Otherwise it appends a snapshot if one is due and runs a scheduling round. It
// does not block.
func (s *shard) runCycle(now time.Time) {
	if !s.caughtUp() || !s.home.config.LeaseValid(now) {
		return
	}
	table := s.currentTable()
	if table.Home != s.home.config.Self {
		s.claimShard(table, now)
		return
	}
	s.appendSnapshot(table, now)
	s.runRound(now)
}

// currentTable returns the newest job table. Before the first record the table
// is empty.
func (s *shard) currentTable() *jobs.Table {
	if table := s.table.Load(); table != nil {
		return table
	}
	return jobs.NewTable()
}

// caughtUp reports whether the whole stream was read.
func (s *shard) caughtUp() bool {
	progress := s.follower.Progress()
	return !progress.LastRead.IsZero() && !progress.Recovering && progress.Behind == 0
}

// logReachable reports whether a read of the log succeeded within the last
// maxLogReadAge.
func (s *shard) logReachable(now time.Time) bool {
	return now.Sub(s.follower.Progress().LastRead) <= maxLogReadAge
}

// claimShard appends the HomeClaim record of this incarnation. It does nothing
// if such a record is still pending, or if a newer membership than this
// instance knows has named another home.
func (s *shard) claimShard(table *jobs.Table, now time.Time) {
	epoch := s.home.config.Ownership.Load().Epoch
	if epoch < table.Epoch || now.Sub(s.lastClaim) < claimRetry {
		return
	}
	s.mu.Lock()
	alreadyPending := s.claimPending
	s.claimPending = true
	s.mu.Unlock()
	if alreadyPending {
		return
	}
	s.lastClaim = now
	s.goroutines.Go(func() {
		_, _ = s.append(s.ctx, record.HomeClaim{After: table.HomeAt, Epoch: epoch})
		s.mu.Lock()
		s.claimPending = false
		s.mu.Unlock()
	})
}

// append adds a record to the stream and waits until it was read back. An error
// with outcome NotRun guarantees that the record is not in the log and will not
// be. After any other error it may be.
func (s *shard) append(ctx context.Context, body record.Record) (appendResult, error) {
	id := s.home.recordID(s.id)
	entry, err := s.encodeRecord(id, body)
	if err != nil {
		return appendResult{}, err
	}
	waiter := make(chan appendResult, 1)
	s.mu.Lock()
	s.waiters[id] = waiter
	s.mu.Unlock()
	defer s.removeWaiter(id)
	if err := s.appender.Add(entry); err != nil {
		return appendResult{}, err
	}
	select {
	case result := <-waiter:
		return result, nil
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return appendResult{}, fault.New(fault.LogUnavailable, "the record appended to shard %d was not read back from the log", s.id)
}

func (s *shard) encodeRecord(id ident.RecordID, body record.Record) ([]byte, error) {
	return codec.EncodeRecord(record.Envelope{
		ID:     id,
		Writer: s.home.config.Self,
		At:     s.home.now().UnixMilli(),
		Record: body,
	})
}

func (s *shard) removeWaiter(id ident.RecordID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, id)
}

// applyRecord applies one record of the stream to the job table. It is called
// by the follower.
func (s *shard) applyRecord(offset ident.Offset, envelope record.Envelope) {
	table, effect := jobs.Apply(s.table.Load(), offset, envelope)
	s.table.Publish(table)
	s.home.grants.forgetRecorded(s.id, table, envelope.Record)
	if snapshot, isSnapshot := envelope.Record.(record.Snapshot); isSnapshot && effect != jobs.Rejected {
		s.noteSnapshotTime(envelope.At, snapshot)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if waiter, waiting := s.waiters[envelope.ID]; waiting {
		delete(s.waiters, envelope.ID)
		waiter <- appendResult{offset, effect}
	}
}

// restorePart adds one part of a snapshot and publishes the restored job table
// with the last part. Until then it returns an error of kind Malformed. It is
// called by the follower.
func (s *shard) restorePart(_ ident.Offset, snapshot record.Snapshot) error {
	var part jobs.Part
	if err := codec.DecodeState(snapshot.State, &part); err != nil {
		return err
	}
	if part.Offset != snapshot.At {
		return fault.New(fault.Malformed, "the offset in the snapshot part differs from the offset in its record")
	}
	table, err := s.collector.Add(part)
	if err != nil {
		return err
	}
	s.table.Publish(table)
	return nil
}

// noteSnapshotTime notes the time of a snapshot when its last part is read.
func (s *shard) noteSnapshotTime(at int64, snapshot record.Snapshot) {
	var part jobs.Part
	if codec.DecodeState(snapshot.State, &part) != nil || part.Index+1 < part.Count {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newestSnapshot = time.UnixMilli(at)
}

// appendSnapshot appends a snapshot of the table if the newest snapshot is
// older than a quarter of the retention.
func (s *shard) appendSnapshot(table *jobs.Table, now time.Time) {
	s.mu.Lock()
	age := now.Sub(s.newestSnapshot)
	s.mu.Unlock()
	if s.home.config.Retention <= 0 || age < s.home.config.Retention/4 || !s.logReachable(now) {
		return
	}
	if now.Sub(s.lastSnapshotAdded) < snapshotRetry {
		return
	}
	s.lastSnapshotAdded = now
	parts, complete := table.Snapshot(snapshotPartBytes)
	if !complete {
		return
	}
	for _, part := range parts {
		state, err := codec.EncodeState(part)
		if err != nil {
			return
		}
		entry, err := s.encodeRecord(s.home.recordID(s.id), record.Snapshot{At: table.Offset, State: state})
		if err != nil || s.appender.Add(entry) != nil {
			return
		}
	}
}
