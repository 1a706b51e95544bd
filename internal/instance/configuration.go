package instance

import (
	"context"
	"sync"
	"time"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/connection/operator"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/logstream"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/process/record"
	"poplarvalve/internal/version/config"
	"poplarvalve/internal/version/rules"
)

const (
	// proposalTimeout bounds how long Propose waits for the verdict on a rules
	// change.
	proposalTimeout = 10 * time.Second
	// snapshotCheckPeriod is the time between checks whether a snapshot is due.
	snapshotCheckPeriod = 1 * time.Second
)

// ConfigAgentOptions holds the settings and dependencies of a ConfigAgent. All
// fields are required except OnVersion.
type ConfigAgentOptions struct {
	Clock           clock.Clock
	Log             logstream.Log
	AppendRateLimit *logstream.AppendRateLimit
	Retention       time.Duration
	Jitter          func() float64
	// Writer returns the incarnation in whose name snapshots are appended, and
	// its rank among the members. ok is false while the incarnation is not a
	// member.
	Writer func() (self ident.Incarnation, rank int, ok bool)
	// NewID returns a unique identifier for a snapshot record.
	NewID func() ident.RecordID
	// OnVersion is called whenever a different rules version comes into force.
	OnVersion func(content config.Content)
}

// ConfigAgent reads the configuration stream, publishes the rules in force and
// proposes changes to them. The version in force only ever increases. A
// ConfigAgent is safe for concurrent use.
type ConfigAgent struct {
	options  ConfigAgentOptions
	applier  config.Applier
	state    *publish.Value[config.State]
	rules    *publish.Value[rules.Set]
	appender *logstream.Appender
	follower *logstream.Follower

	// mu protects lastSnapshot; it is never held during I/O.
	mu sync.Mutex
	// lastSnapshot is when the newest snapshot was read or appended.
	lastSnapshot time.Time
}

// NewConfigAgent returns an agent that is idle until Run is called.
func NewConfigAgent(options ConfigAgentOptions) *ConfigAgent {
	a := &ConfigAgent{
		options: options,
		applier: config.Applier{Decode: decodeConfigSnapshot},
		state:   publish.New[config.State](nil),
		rules:   publish.New[rules.Set](nil),
	}
	a.appender = logstream.NewAppender(options.Log, options.Clock, ident.ConfigStream, options.AppendRateLimit,
		logstream.AppenderOptions{Jitter: options.Jitter})
	a.follower = logstream.NewFollower(options.Log, options.Clock, ident.ConfigStream, logstream.FollowerOptions{
		Decode:  codec.DecodeRecord,
		Apply:   a.applyRecord,
		Restore: a.prepareRestore,
		Jitter:  options.Jitter,
	})
	return a
}

func decodeConfigSnapshot(state []byte) (config.Snapshot, error) {
	var snapshot config.Snapshot
	err := codec.DecodeState(state, &snapshot)
	return snapshot, err
}

// Rules returns the published value that holds the rules in force. It is nil
// until a first version is known.
func (a *ConfigAgent) Rules() *publish.Value[rules.Set] { return a.rules }

// Configuration returns the state of the configuration stream, or nil if
// nothing was read yet. It implements operator.Reader.
func (a *ConfigAgent) Configuration() *config.State { return a.state.Load() }

// Follower returns the follower of the configuration stream.
func (a *ConfigAgent) Follower() *logstream.Follower { return a.follower }

// Version returns the rules version in force, or zero if there is none.
func (a *ConfigAgent) Version() ident.Offset {
	if state := a.state.Load(); state != nil {
		return state.Version
	}
	return 0
}

// Run reads the stream, appends queued records and appends snapshots when they
// are due, until ctx ends.
func (a *ConfigAgent) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { a.appender.Run(ctx) })
	group.Go(func() { a.follower.Run(ctx) })
	ticker := a.options.Clock.NewTicker(snapshotCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.appendSnapshotIfDue()
		}
	}
}

// applyRecord applies one record of the stream to the state.
func (a *ConfigAgent) applyRecord(offset ident.Offset, envelope record.Envelope) {
	a.updateState(func(current *config.State) *config.State {
		if current == nil {
			current = config.NewState(offset)
		}
		return a.applier.Apply(current, offset, envelope)
	})
	if _, isSnapshot := envelope.Record.(record.Snapshot); isSnapshot {
		a.noteSnapshot(a.options.Clock.Now())
	}
}

// prepareRestore prepares the state of a reader that missed records. It does
// not apply the snapshot: the follower passes the snapshot to applyRecord
// later, after the records that follow snapshot.At.
func (a *ConfigAgent) prepareRestore(_ ident.Offset, snapshot record.Snapshot) error {
	if _, err := decodeConfigSnapshot(snapshot.State); err != nil {
		return err
	}
	a.updateState(func(current *config.State) *config.State {
		return config.Resume(current, snapshot.At+1)
	})
	return nil
}

// Adopt puts a rules version received from a peer in force if it is later than
// the current one.
func (a *ConfigAgent) Adopt(offer codec.ConfigOffer) {
	a.updateState(func(current *config.State) *config.State {
		if current == nil {
			current = config.NewState(ident.Offset(1))
		}
		return config.Adopt(current, offer.Version, offer.Rules, offer.Author)
	})
}

// updateState replaces the state, and publishes the rules if their version
// changed.
func (a *ConfigAgent) updateState(derive func(*config.State) *config.State) {
	oldVersion := a.Version()
	a.state.Update(derive)
	a.rules.Update(func(*rules.Set) *rules.Set {
		if state := a.state.Load(); state != nil {
			return state.Rules
		}
		return nil
	})
	newState := a.state.Load()
	if newState != nil && newState.Version != oldVersion && a.options.OnVersion != nil {
		a.options.OnVersion(newState.Content)
	}
}

// CurrentRules returns the rules version in force, in the form in which it is
// sent to a peer. It is empty if nothing was read yet.
func (a *ConfigAgent) CurrentRules() codec.ConfigOffer {
	state := a.state.Load()
	if state == nil {
		return codec.ConfigOffer{}
	}
	return codec.ConfigOffer{Version: state.Version, Author: state.Author, Rules: state.Text}
}

// Propose appends a rules change and returns the verdict on it. A proposal
// whose verdict is already known is not appended again. If the record is not
// read back within proposalTimeout, or no snapshot was read yet that the change
// can be checked against, the error is LogUnavailable. Propose implements
// operator.Proposer.
func (a *ConfigAgent) Propose(ctx context.Context, proposal operator.Proposal) (config.VerdictEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	if entry, known := a.findVerdict(proposal.ID); known {
		return entry, nil
	}
	change := record.RulesChange{Base: proposal.Base, Rules: proposal.Rules, Author: proposal.Author}
	entry, err := codec.EncodeRecord(record.Envelope{ID: proposal.ID, Record: change})
	if err != nil {
		return config.VerdictEntry{}, err
	}
	if err := a.appender.Add(entry); err != nil {
		return config.VerdictEntry{}, err
	}
	if _, err := a.follower.WaitFor(ctx, proposal.ID); err != nil {
		return config.VerdictEntry{}, fault.Wrap(fault.LogUnavailable, err, "the rules change was not read back from the configuration stream, so its verdict is unknown")
	}
	verdict, known := a.findVerdict(proposal.ID)
	if !known {
		return config.VerdictEntry{}, fault.New(fault.LogUnavailable, "the verdict on the rules change is unknown until a snapshot of the configuration stream has been read")
	}
	return verdict, nil
}

func (a *ConfigAgent) findVerdict(id ident.RecordID) (config.VerdictEntry, bool) {
	state := a.state.Load()
	if state == nil {
		return config.VerdictEntry{}, false
	}
	return state.Find(id)
}

func (a *ConfigAgent) noteSnapshot(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastSnapshot = at
}

// appendSnapshotIfDue appends the state when a quarter of the retention has
// passed since the last snapshot. Each member adds a delay that grows with its
// rank, so that usually only one of them appends a snapshot. Even with that
// delay, a snapshot is due before half of the retention has passed.
func (a *ConfigAgent) appendSnapshotIfDue() {
	state := a.state.Load()
	self, rank, isMember := a.options.Writer()
	if state == nil || !isMember {
		return
	}
	now := a.options.Clock.Now()
	a.mu.Lock()
	age := now.Sub(a.lastSnapshot)
	a.mu.Unlock()
	due := a.options.Retention/4 + time.Duration(rank)*snapshotStagger
	if age < min(due, a.options.Retention/2-heartbeatPeriod) {
		return
	}
	if a.appendSnapshotAs(self, state) == nil {
		a.noteSnapshot(now)
	}
}

func (a *ConfigAgent) appendSnapshotAs(self ident.Incarnation, state *config.State) error {
	content, known := state.Snapshot()
	if !known {
		return nil
	}
	encoded, err := codec.EncodeState(content)
	if err != nil {
		return err
	}
	snapshotRecord := record.Snapshot{At: state.AppliedOffset, State: encoded}
	entry, err := codec.EncodeRecord(record.Envelope{ID: a.options.NewID(), Writer: self, Record: snapshotRecord})
	if err != nil {
		return err
	}
	return a.appender.Add(entry)
}
