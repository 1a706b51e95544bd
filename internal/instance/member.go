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
	// heartbeatPeriod is the time between heartbeats of a member.
	heartbeatPeriod = 1 * time.Second
	// maxPendingHeartbeats allows one heartbeat in the append in flight and one
	// in the next append, so that old heartbeats do not pile up while the log
	// is unreachable.
	maxPendingHeartbeats = 2
	// logUnreachableAfter bounds the age of the newest confirmed heartbeat,
	// counted from its sending. Beyond it the log counts as unreachable, which
	// leaves half a lease for requesting lease grants from the other members.
	logUnreachableAfter = 2 * time.Second
	// snapshotStagger is the delay that each rank adds to the time at which a
	// member appends a snapshot, so that usually only one member appends one.
	snapshotStagger = 2 * time.Second
)

// MemberAgentOptions identifies an instance and holds the settings and
// dependencies of its membership agent. All fields are required except Jitter,
// ConfigVersion and the callbacks.
type MemberAgentOptions struct {
	Name            ident.InstanceName
	PeerAddress     string
	Zone            ident.ZoneName
	Region          ident.RegionName
	RegionCutPolicy RegionCutPolicy
	// Retention is how long the log keeps a record.
	Retention       time.Duration
	Clock           clock.Clock
	Log             logstream.Log
	AppendRateLimit *logstream.AppendRateLimit
	// StartFence holds the member lease, under which the instance starts work.
	// ContinuationFence holds the continuation lease, under which tasks that
	// already run are kept running.
	StartFence        *fence.Fence
	ContinuationFence *fence.Fence
	LeaseGrants       LeaseGrantRequester
	// Nonce returns the random number that identifies a new incarnation.
	Nonce func() uint64
	// Jitter returns a number in [0, 1) that spreads retries.
	Jitter func() float64
	// ConfigVersion returns the rules version in force, which is sent along
	// with lease grants.
	ConfigVersion func() ident.Offset
	// OnIncarnation is called when the agent has created a new incarnation. It
	// must neither block nor call the agent.
	OnIncarnation func(self ident.Incarnation)
	// OnMember is called when an incarnation becomes a member, before the end
	// of earlier incarnations is announced. It must neither block nor call the
	// agent.
	OnMember func(self ident.Incarnation)
	// OnEpoch is called with each new set of members, before the set is
	// published or acknowledged. It must neither block nor call the agent.
	OnEpoch func(next *membership.State)
	// OnLeaseGrant is called with each lease grant received from a peer.
	OnLeaseGrant func(from membership.Member, grant LeaseGrant)
}

// MemberAgent makes one instance a member and renews its leases. While its
// start fence is open, no other agent is ready to act as owner of what this
// instance owns. A MemberAgent is safe for concurrent use.
type MemberAgent struct {
	options  MemberAgentOptions
	members  *publish.Value[membership.State]
	appender *logstream.Appender
	follower *logstream.Follower
	// wake triggers a tick before the next one is due.
	wake chan struct{}

	// mu is never held during a call to the log or a peer. It protects the
	// fields below.
	mu              sync.Mutex
	self            ident.Incarnation
	ownIncarnations map[ident.Incarnation]bool
	// expiredIncarnations holds the earlier incarnations whose end is not
	// announced yet, the oldest first. The last one may still keep its running
	// tasks alive.
	expiredIncarnations []ident.Incarnation
	recordsCreated      uint64
	leaseObtained       bool
	isMember            bool
	leaving             bool
	grantsRequested     bool
	pendingHeartbeats   map[ident.RecordID]time.Time
	tracker             memberTracker
	// lastConfirmedHeartbeat is when the newest confirmed heartbeat was sent.
	lastConfirmedHeartbeat time.Time
	// logReachableAgain is when the first heartbeat after a period without a
	// reachable log was read.
	logReachableAgain time.Time
	lastSnapshot      time.Time
}

// NewMemberAgent returns an agent that is idle until Run is called.
func NewMemberAgent(options MemberAgentOptions) *MemberAgent {
	a := &MemberAgent{
		options:         options,
		members:         publish.New(&membership.State{}),
		wake:            make(chan struct{}, 1),
		ownIncarnations: map[ident.Incarnation]bool{},
		tracker:         newMemberTracker(),
	}
	a.appender = logstream.NewAppender(options.Log, options.Clock, ident.MembersStream, options.AppendRateLimit,
		logstream.AppenderOptions{Jitter: options.Jitter})
	a.follower = logstream.NewFollower(options.Log, options.Clock, ident.MembersStream, logstream.FollowerOptions{
		Decode:  codec.DecodeRecord,
		Apply:   a.applyRecord,
		Restore: a.restoreSnapshot,
		Jitter:  options.Jitter,
	})
	a.startIncarnation()
	return a
}

// Members returns the published value that holds the members as of the newest
// applied record.
func (a *MemberAgent) Members() *publish.Value[membership.State] { return a.members }

// Follower returns the follower of the membership stream.
func (a *MemberAgent) Follower() *logstream.Follower { return a.follower }

// Self returns the current incarnation, which need not be a member yet.
func (a *MemberAgent) Self() ident.Incarnation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.self
}

// Run joins the membership and remains a member until ctx ends. At its end it
// closes both fences.
func (a *MemberAgent) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	defer a.options.ContinuationFence.Close()
	defer a.options.StartFence.Close()
	group.Go(func() { a.appender.Run(ctx) })
	group.Go(func() { a.follower.Run(ctx) })
	ticker := a.options.Clock.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	a.mu.Lock()
	a.appendJoin()
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

// Leave ends the membership for good. It closes both fences and returns once
// the leave record has been read back. The caller must have stopped all work
// before. The error is that of ctx, or Overloaded if the record can't be
// queued.
func (a *MemberAgent) Leave(ctx context.Context) error {
	a.mu.Lock()
	a.leaving = true
	a.options.StartFence.Close()
	a.options.ContinuationFence.Close()
	id, err := a.appendRecord(record.Leave{})
	a.mu.Unlock()
	if err != nil {
		return err
	}
	_, err = a.follower.WaitFor(ctx, id)
	return err
}

// Unless their comments say otherwise, the methods below are called with the
// mutex held.

// startIncarnation creates a new incarnation that is not a member yet, and
// closes the start fence.
func (a *MemberAgent) startIncarnation() {
	a.options.StartFence.Close()
	a.self = ident.Incarnation{Instance: a.options.Name, Nonce: a.options.Nonce()}
	a.ownIncarnations[a.self] = true
	a.leaseObtained = false
	a.isMember = false
	a.lastConfirmedHeartbeat = time.Time{}
	a.lastSnapshot = time.Time{}
	a.pendingHeartbeats = map[ident.RecordID]time.Time{}
	if a.options.OnIncarnation != nil {
		a.options.OnIncarnation(a.self)
	}
}

// rejoin replaces an incarnation whose member lease has expired or that was
// removed. The old incarnation may keep its running tasks alive until the new
// one is a member.
func (a *MemberAgent) rejoin() {
	a.options.StartFence.Close()
	if a.leaving {
		return
	}
	a.expiredIncarnations = append(a.expiredIncarnations, a.self)
	a.startIncarnation()
	a.appendJoin()
}

func (a *MemberAgent) appendJoin() {
	_, _ = a.appendRecord(record.Join{
		PeerAddress: a.options.PeerAddress,
		Zone:        a.options.Zone,
		Region:      a.options.Region,
	})
}

// appendRecord queues a record written by the current incarnation.
func (a *MemberAgent) appendRecord(body record.Record) (ident.RecordID, error) {
	return a.appendRecordAs(a.self, body)
}

func (a *MemberAgent) appendRecordAs(writer ident.Incarnation, body record.Record) (ident.RecordID, error) {
	a.recordsCreated++
	id := ident.RecordID(fmt.Sprintf("%s/%d", writer, a.recordsCreated))
	entry, err := codec.EncodeRecord(record.Envelope{ID: id, Writer: writer, Record: body})
	if err != nil {
		return "", err
	}
	return id, a.appender.Add(entry)
}

// rejoinIfExpired replaces the incarnation if its member lease has expired. It
// does nothing for an incarnation that never had a lease.
func (a *MemberAgent) rejoinIfExpired(now time.Time) {
	if a.leaseObtained && !a.options.StartFence.Open(now) {
		a.rejoin()
	}
}

// logReachable reports whether a heartbeat sent within logUnreachableAfter was
// read back.
func (a *MemberAgent) logReachable(now time.Time) bool {
	return a.isMember && now.Sub(a.lastConfirmedHeartbeat) <= logUnreachableAfter
}

// tick does the periodic work: it rejoins after the member lease has expired,
// appends a heartbeat, suspects unresponsive members, appends snapshots, and
// requests lease grants while the log is unreachable. It takes the mutex itself.
func (a *MemberAgent) tick(ctx context.Context, group *sync.WaitGroup) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Clock.Now()
	a.rejoinIfExpired(now)
	if a.leaving {
		return
	}
	if !a.isMember {
		a.requestContinuationGrants(ctx, group, now)
		return
	}
	a.appendHeartbeat(now)
	if a.logReachable(now) {
		a.suspectUnresponsive(now)
		a.appendSnapshotIfDue(now)
		return
	}
	if a.leaseObtained && !a.grantsRequested {
		a.startGrantRound(ctx, group, a.newLeaseGrantRound(now))
	}
}

func (a *MemberAgent) startGrantRound(ctx context.Context, group *sync.WaitGroup, round leaseGrantRound) {
	a.grantsRequested = true
	group.Go(func() { a.requestLeaseGrants(ctx, round) })
}

func (a *MemberAgent) appendHeartbeat(now time.Time) {
	if len(a.pendingHeartbeats) >= maxPendingHeartbeats {
		return
	}
	id, err := a.appendRecord(record.Heartbeat{AppliedOffset: a.members.Load().Offset})
	if err == nil {
		a.pendingHeartbeats[id] = now
	}
}

// suspectUnresponsive appends a suspicion of each member whose last heartbeat
// was read more than a lease and the clock margin ago. Time in which this
// instance could not reach the log does not count, since no heartbeat could be
// read then.
func (a *MemberAgent) suspectUnresponsive(now time.Time) {
	for _, member := range a.members.Load().Members {
		if member.ID == a.self {
			continue
		}
		if a.tracker.suspectIfDue(member.ID, a.logReachableAgain, now) {
			_, _ = a.appendRecord(record.Suspect{Member: member.ID, Last: member.LastHeartbeat})
		}
	}
}

// appendSnapshotIfDue appends the state when a quarter of the retention has
// passed since the last snapshot, plus a delay that grows with the member's
// rank, and always within half of the retention.
func (a *MemberAgent) appendSnapshotIfDue(now time.Time) {
	state := a.members.Load()
	rank := 0
	for rank < len(state.Members) && state.Members[rank].ID != a.self {
		rank++
	}
	due := a.options.Retention/4 + time.Duration(rank)*snapshotStagger
	due = min(due, a.options.Retention/2-heartbeatPeriod)
	if now.Sub(a.lastSnapshot) < due {
		return
	}
	encoded, err := codec.EncodeState(state.Snapshot())
	if err != nil {
		return
	}
	if _, err := a.appendRecord(record.Snapshot{At: state.Offset, State: encoded}); err == nil {
		a.lastSnapshot = now
	}
}

// applyRecord applies one record of the stream. The follower calls it without
// the mutex.
func (a *MemberAgent) applyRecord(offset ident.Offset, envelope record.Envelope) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Clock.Now()
	a.rejoinIfExpired(now)
	a.publishMembers(membership.Apply(a.members.Load(), offset, envelope), now)
	switch envelope.Record.(type) {
	case record.Heartbeat:
		a.tracker.noteHeartbeat(envelope.Writer, now)
		a.confirmHeartbeat(envelope.ID, now)
	case record.Snapshot:
		a.lastSnapshot = now
	}
}

// restoreSnapshot replaces the members by those of a snapshot. The follower
// calls it without the mutex.
func (a *MemberAgent) restoreSnapshot(_ ident.Offset, snapshot record.Snapshot) error {
	var members membership.Snapshot
	if err := codec.DecodeState(snapshot.State, &members); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.publishMembers(membership.Restore(members), a.options.Clock.Now())
	return nil
}

// publishMembers publishes the next version of the members. If that version
// lacks this incarnation, the start fence is closed before others can see the
// version.
func (a *MemberAgent) publishMembers(next *membership.State, now time.Time) {
	_, selfIncluded := next.Find(a.self)
	if a.isMember && !selfIncluded {
		a.rejoin()
	}
	a.tracker.update(next, a.options.Region, a.ownIncarnations, now)
	if a.options.OnEpoch != nil && next.Epoch != a.members.Load().Epoch {
		a.options.OnEpoch(next)
	}
	a.members.Publish(next)
	if selfIncluded && !a.isMember {
		a.isMember = true
		a.announceExpiredIncarnations()
		select {
		case a.wake <- struct{}{}:
		default:
		}
	}
}

// confirmHeartbeat renews the leases when a heartbeat of this incarnation has
// been read back.
func (a *MemberAgent) confirmHeartbeat(id ident.RecordID, now time.Time) {
	sent, own := a.pendingHeartbeats[id]
	if !own {
		return
	}
	delete(a.pendingHeartbeats, id)
	if !a.isMember || a.leaving {
		return
	}
	if sent.Sub(a.lastConfirmedHeartbeat) > logUnreachableAfter {
		a.logReachableAgain = now
	}
	a.lastConfirmedHeartbeat = sent
	a.renewLeases(sent, now)
}

func (a *MemberAgent) renewLeases(sent, now time.Time) {
	a.options.StartFence.Renew(sent, membership.Lease)
	a.options.ContinuationFence.Renew(sent, membership.Lease)
	a.leaseObtained = a.leaseObtained || a.options.StartFence.Open(now)
}

// LogReachable reports whether a recent heartbeat of this instance was read
// back from the log.
func (a *MemberAgent) LogReachable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.logReachable(a.options.Clock.Now())
}
