package instance

import (
	"context"
	"fmt"
	"sync"
	"time"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fence"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/logstream"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/process/record"
	"poplarvalve/internal/version/membership"
)

const (
	// heartbeatPeriod is the time between heartbeats.
	heartbeatPeriod = 1 * time.Second
	// maxPendingHeartbeats is one in flight and one in the next append, so no
	// old heartbeats pile up while the log is unreachable.
	maxPendingHeartbeats = 2
	// logSilence is the age of the newest confirmed heartbeat from which the log
	// counts as unreachable. It leaves half a lease for promises.
	logSilence = 2 * time.Second
	// snapshotStagger separates the times at which members append a snapshot, so
	// that usually one of them does.
	snapshotStagger = 2 * time.Second
)

// MemberConfig says who an instance is and what its membership agent uses. All
// fields but Jitter, ConfigVersion and the callbacks are required.
type MemberConfig struct {
	Name        ident.InstanceName
	PeerAddress string
	Zone        ident.ZoneName
	Region      ident.RegionName
	RegionCut   RegionCut
	// Retention is how long the log keeps a record.
	Retention time.Duration
	Clock     clock.Clock
	Log       logstream.Log
	Budget    *logstream.Budget
	// Fence is the lease for starting work, Keep the one for what runs.
	Fence    *fence.Fence
	Keep     *fence.Fence
	Promiser Promiser
	// Nonce draws the random number of a new incarnation.
	Nonce func() uint64
	// Jitter returns a number in [0, 1) for backoff.
	Jitter func() float64
	// ConfigVersion returns the version in force, which is added to promises.
	ConfigVersion func() ident.Offset
	// OnIncarnation is called when the agent has taken a new incarnation. It must
	// neither block nor call the agent.
	OnIncarnation func(self ident.Incarnation)
	// OnMember is called when an incarnation becomes a member, before the end of
	// the earlier ones is announced. It must neither block nor call the agent.
	OnMember func(self ident.Incarnation)
	// OnEpoch is called with each new set of members before it can be seen or
	// acknowledged. It must neither block nor call the agent.
	OnEpoch func(next *membership.State)
	// OnPromise is called with each promise of a peer.
	OnPromise func(from membership.Member, promise Promise)
}

// MemberAgent keeps one instance a member. While its fence is open, no other
// agent is ready to act as owner of what this instance owns. It is safe for use
// by many goroutines.
type MemberAgent struct {
	config   MemberConfig
	cell     *publish.Cell[membership.State]
	appender *logstream.Appender
	follower *logstream.Follower
	wake     chan struct{}

	// mu is never held during a call to the log or a peer.
	mu   sync.Mutex
	self ident.Incarnation
	mine map[ident.Incarnation]bool
	// lapsed holds the incarnations whose end is not announced yet; the last of
	// them may still keep what runs.
	lapsed   []ident.Incarnation
	records  uint64
	opened   bool
	member   bool
	leaving  bool
	asking   bool
	pending  map[ident.RecordID]time.Time
	tracking tracking
	// confirmed is when the newest confirmed heartbeat was sent.
	confirmed time.Time
	// resumed is when the first heartbeat after a silence of the log was read.
	resumed  time.Time
	snapshot time.Time
}

// NewMemberAgent returns an agent that does nothing until Run.
func NewMemberAgent(config MemberConfig) *MemberAgent {
	a := &MemberAgent{
		config:   config,
		cell:     publish.New(&membership.State{}),
		wake:     make(chan struct{}, 1),
		mine:     map[ident.Incarnation]bool{},
		tracking: newTracking(),
	}
	a.appender = logstream.NewAppender(config.Log, config.Clock, ident.MembersStream, config.Budget,
		logstream.AppenderOptions{Jitter: config.Jitter})
	a.follower = logstream.NewFollower(config.Log, config.Clock, ident.MembersStream, logstream.FollowerOptions{
		Decode:  codec.DecodeRecord,
		Fold:    a.fold,
		Restore: a.restore,
		Jitter:  config.Jitter,
	})
	a.takeIncarnation()
	return a
}

// Members returns the cell of the newest folded members.
func (a *MemberAgent) Members() *publish.Cell[membership.State] { return a.cell }

// Follower returns the follower of the membership stream.
func (a *MemberAgent) Follower() *logstream.Follower { return a.follower }

// Self returns the current incarnation, which need not be a member yet.
func (a *MemberAgent) Self() ident.Incarnation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.self
}

// Run joins and stays a member until ctx ends. The fence is closed at the end.
func (a *MemberAgent) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	defer a.config.Keep.Close()
	defer a.config.Fence.Close()
	group.Go(func() { a.appender.Run(ctx) })
	group.Go(func() { a.follower.Run(ctx) })
	ticker := a.config.Clock.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	a.mu.Lock()
	a.join()
	a.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.tick(ctx, &group)
		case <-a.wake:
			a.tick(ctx, &group)
		}
	}
}

// Leave ends the membership for good: it closes the fence and returns when the
// members have been read back without this instance. The caller must have
// stopped all work before. The error is that of ctx, or Overloaded.
func (a *MemberAgent) Leave(ctx context.Context) error {
	a.mu.Lock()
	a.leaving = true
	a.config.Fence.Close()
	a.config.Keep.Close()
	id, err := a.add(record.Leave{})
	a.mu.Unlock()
	if err != nil {
		return err
	}
	_, err = a.follower.WaitFor(ctx, id)
	return err
}

// The methods below are called under the mutex unless they say otherwise.

// takeIncarnation starts a new incarnation that isn't a member yet.
func (a *MemberAgent) takeIncarnation() {
	a.config.Fence.Close()
	a.self = ident.Incarnation{Instance: a.config.Name, Nonce: a.config.Nonce()}
	a.mine[a.self] = true
	a.opened = false
	a.member = false
	a.confirmed = time.Time{}
	a.snapshot = time.Time{}
	a.pending = map[ident.RecordID]time.Time{}
	if a.config.OnIncarnation != nil {
		a.config.OnIncarnation(a.self)
	}
}

// rejoin replaces an incarnation that lapsed or was removed. The old one may
// keep what runs until the next one is a member.
func (a *MemberAgent) rejoin() {
	a.config.Fence.Close()
	if a.leaving {
		return
	}
	a.lapsed = append(a.lapsed, a.self)
	a.takeIncarnation()
	a.join()
}

func (a *MemberAgent) join() {
	_, _ = a.add(record.Join{
		PeerAddress: a.config.PeerAddress,
		Zone:        a.config.Zone,
		Region:      a.config.Region,
	})
}

// add queues a record of the current incarnation.
func (a *MemberAgent) add(body record.Record) (ident.RecordID, error) {
	return a.addAs(a.self, body)
}

func (a *MemberAgent) addAs(writer ident.Incarnation, body record.Record) (ident.RecordID, error) {
	a.records++
	id := ident.RecordID(fmt.Sprintf("%s/%d", writer, a.records))
	entry, err := codec.EncodeRecord(record.Envelope{ID: id, Writer: writer, Record: body})
	if err != nil {
		return "", err
	}
	return id, a.appender.Add(entry)
}

// checkLapse replaces the incarnation if its lease has ended.
func (a *MemberAgent) checkLapse(now time.Time) {
	if a.opened && !a.config.Fence.Open(now) {
		a.rejoin()
	}
}

// logReachable reports whether a recent heartbeat was read back.
func (a *MemberAgent) logReachable(now time.Time) bool {
	return a.member && now.Sub(a.confirmed) <= logSilence
}

// tick does what is due each second. It takes the mutex itself.
func (a *MemberAgent) tick(ctx context.Context, group *sync.WaitGroup) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Clock.Now()
	a.checkLapse(now)
	if a.leaving {
		return
	}
	if !a.member {
		a.keepRunning(ctx, group, now)
		return
	}
	a.heartbeat(now)
	if a.logReachable(now) {
		a.suspectSilent(now)
		a.appendSnapshot(now)
		return
	}
	if a.opened && !a.asking {
		a.ask(ctx, group, a.promiseRequest(now))
	}
}

func (a *MemberAgent) ask(ctx context.Context, group *sync.WaitGroup, request promiseRequest) {
	a.asking = true
	group.Go(func() { a.askPromises(ctx, request) })
}

func (a *MemberAgent) heartbeat(now time.Time) {
	if len(a.pending) >= maxPendingHeartbeats {
		return
	}
	id, err := a.add(record.Heartbeat{Folded: a.cell.Load().Offset})
	if err == nil {
		a.pending[id] = now
	}
}

// suspectSilent suspects the members whose last heartbeat was read more than a
// lease and the margin ago. Time in which the log was unreachable from here
// doesn't count, since no heartbeat could be read then.
func (a *MemberAgent) suspectSilent(now time.Time) {
	for _, member := range a.cell.Load().Members {
		if member.ID == a.self {
			continue
		}
		if a.tracking.suspectDue(member.ID, a.resumed, now) {
			_, _ = a.add(record.Suspect{Member: member.ID, Last: member.LastHeartbeat})
		}
	}
}

// appendSnapshot appends the state when a quarter of the retention has passed
// since the last snapshot, and always within half of it.
func (a *MemberAgent) appendSnapshot(now time.Time) {
	state := a.cell.Load()
	rank := 0
	for rank < len(state.Members) && state.Members[rank].ID != a.self {
		rank++
	}
	due := a.config.Retention/4 + time.Duration(rank)*snapshotStagger
	due = min(due, a.config.Retention/2-heartbeatPeriod)
	if now.Sub(a.snapshot) < due {
		return
	}
	encoded, err := codec.EncodeState(state.Snapshot())
	if err != nil {
		return
	}
	if _, err := a.add(record.Snapshot{At: state.Offset, State: encoded}); err == nil {
		a.snapshot = now
	}
}

// fold takes one record of the stream. The follower calls it without the mutex.
func (a *MemberAgent) fold(offset ident.Offset, envelope record.Envelope) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Clock.Now()
	a.checkLapse(now)
	a.install(membership.Apply(a.cell.Load(), offset, envelope), now)
	switch envelope.Record.(type) {
	case record.Heartbeat:
		a.tracking.heard(envelope.Writer, now)
		a.confirm(envelope.ID, now)
	case record.Snapshot:
		a.snapshot = now
	}
}

// restore takes the state of a snapshot. The follower calls it without the mutex.
func (a *MemberAgent) restore(_ ident.Offset, snapshot record.Snapshot) error {
	var plain membership.Snapshot
	if err := codec.DecodeState(snapshot.State, &plain); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.install(membership.Restore(plain), a.config.Clock.Now())
	return nil
}

// install publishes the next members. The fence is closed before others can see
// members without this incarnation.
func (a *MemberAgent) install(next *membership.State, now time.Time) {
	_, present := next.Find(a.self)
	if a.member && !present {
		a.rejoin()
	}
	a.tracking.follow(next, a.config.Region, a.mine, now)
	if a.config.OnEpoch != nil && next.Epoch != a.cell.Load().Epoch {
		a.config.OnEpoch(next)
	}
	a.cell.Publish(next)
	if present && !a.member {
		a.member = true
		a.announceLapsed()
		select {
		case a.wake <- struct{}{}:
		default:
		}
	}
}

// confirm renews the lease when an own heartbeat was read back.
func (a *MemberAgent) confirm(id ident.RecordID, now time.Time) {
	sent, own := a.pending[id]
	if !own {
		return
	}
	delete(a.pending, id)
	if !a.member || a.leaving {
		return
	}
	if sent.Sub(a.confirmed) > logSilence {
		a.resumed = now
	}
	a.confirmed = sent
	a.renew(sent, now)
}

func (a *MemberAgent) renew(sent, now time.Time) {
	a.config.Fence.Renew(sent, membership.Lease)
	a.config.Keep.Renew(sent, membership.Lease)
	a.opened = a.opened || a.config.Fence.Open(now)
}

// LogReachable reports whether a recent heartbeat was read back.
func (a *MemberAgent) LogReachable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.logReachable(a.config.Clock.Now())
}
