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
	// proposalTimeout bounds the wait for the verdict on a change of the rules.
	proposalTimeout = 10 * time.Second
	// snapshotCheck is the time between looks at whether a snapshot is due.
	snapshotCheck = 1 * time.Second
)

// ConfigOptions are what a configuration agent uses. All fields are required
// but the callbacks.
type ConfigOptions struct {
	Clock     clock.Clock
	Log       logstream.Log
	Budget    *logstream.Budget
	Retention time.Duration
	Jitter    func() float64
	// Writer returns the incarnation that signs snapshots, and its rank among
	// the members; ok is false while it is not a member.
	Writer func() (self ident.Incarnation, rank int, ok bool)
	// NewID returns a unique identifier for a snapshot record.
	NewID func() ident.RecordID
	// OnVersion is called when another version came into force.
	OnVersion func(content config.Content)
}

// ConfigAgent follows the configuration stream and publishes the rules in
// force, which only move to a later version. It is safe for use by many
// goroutines.
type ConfigAgent struct {
	options  ConfigOptions
	fold     config.Fold
	state    *publish.Cell[config.State]
	rules    *publish.Cell[rules.Set]
	appender *logstream.Appender
	follower *logstream.Follower

	// mu protects snapshot; it is never held during I/O.
	mu sync.Mutex
	// snapshot is when the newest snapshot was read or appended.
	snapshot time.Time
}

// NewConfigAgent returns an agent that does nothing until Run.
func NewConfigAgent(options ConfigOptions) *ConfigAgent {
	a := &ConfigAgent{
		options: options,
		fold:    config.Fold{Decode: decodeConfig},
		state:   publish.New[config.State](nil),
		rules:   publish.New[rules.Set](nil),
	}
	a.appender = logstream.NewAppender(options.Log, options.Clock, ident.ConfigStream, options.Budget,
		logstream.AppenderOptions{Jitter: options.Jitter})
	a.follower = logstream.NewFollower(options.Log, options.Clock, ident.ConfigStream, logstream.FollowerOptions{
		Decode:  codec.DecodeRecord,
		Fold:    a.take,
		Restore: a.restore,
		Jitter:  options.Jitter,
	})
	return a
}

func decodeConfig(state []byte) (config.Snapshot, error) {
	var snapshot config.Snapshot
	err := codec.DecodeState(state, &snapshot)
	return snapshot, err
}

// Rules returns the cell of the rules in force; its value is nil before the
// first version.
func (a *ConfigAgent) Rules() *publish.Cell[rules.Set] { return a.rules }

// Configuration implements operator.Reader.
func (a *ConfigAgent) Configuration() *config.State { return a.state.Load() }

// Follower returns the follower of the configuration stream.
func (a *ConfigAgent) Follower() *logstream.Follower { return a.follower }

// Version returns the version in force, or zero.
func (a *ConfigAgent) Version() ident.Offset {
	if state := a.state.Load(); state != nil {
		return state.Version
	}
	return 0
}

// Run follows the stream and appends until ctx ends.
func (a *ConfigAgent) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { a.appender.Run(ctx) })
	group.Go(func() { a.follower.Run(ctx) })
	ticker := a.options.Clock.NewTicker(snapshotCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.appendSnapshot()
		}
	}
}

// take folds one record.
func (a *ConfigAgent) take(offset ident.Offset, envelope record.Envelope) {
	a.update(func(current *config.State) *config.State {
		if current == nil {
			current = config.Start(offset)
		}
		return a.fold.Apply(current, offset, envelope)
	})
	if _, isSnapshot := envelope.Record.(record.Snapshot); isSnapshot {
		a.noteSnapshot(a.options.Clock.Now())
	}
}

// restore prepares the fold for a reader that missed records. The snapshot
// itself takes effect when the follower folds it, after the records since
// snapshot.At.
func (a *ConfigAgent) restore(_ ident.Offset, snapshot record.Snapshot) error {
	if _, err := decodeConfig(snapshot.State); err != nil {
		return err
	}
	a.update(func(current *config.State) *config.State {
		return config.Resume(current, snapshot.At+1)
	})
	return nil
}

// Adopt puts a version that a peer passed on in force if it is later.
func (a *ConfigAgent) Adopt(offer codec.ConfigOffer) {
	a.update(func(current *config.State) *config.State {
		if current == nil {
			current = config.Start(ident.Offset(1))
		}
		return config.Adopt(current, offer.Version, offer.Rules, offer.Author)
	})
}

// update replaces the state, and the rules if their version changed.
func (a *ConfigAgent) update(derive func(*config.State) *config.State) {
	before := a.Version()
	a.state.Update(derive)
	a.rules.Update(func(*rules.Set) *rules.Set {
		if state := a.state.Load(); state != nil {
			return state.Rules
		}
		return nil
	})
	after := a.state.Load()
	if after != nil && after.Version != before && a.options.OnVersion != nil {
		a.options.OnVersion(after.Content)
	}
}

// Offer returns the version in force for a peer.
func (a *ConfigAgent) Offer() codec.ConfigOffer {
	state := a.state.Load()
	if state == nil {
		return codec.ConfigOffer{}
	}
	return codec.ConfigOffer{Version: state.Version, Author: state.Author, Rules: state.Text}
}

// Propose implements operator.Proposer.
func (a *ConfigAgent) Propose(ctx context.Context, proposal operator.Proposal) (config.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	if entry, known := a.verdict(proposal.ID); known {
		return entry, nil
	}
	change := record.Change{Base: proposal.Base, Rules: proposal.Rules, Author: proposal.Author}
	entry, err := codec.EncodeRecord(record.Envelope{ID: proposal.ID, Record: change})
	if err != nil {
		return config.Entry{}, err
	}
	if err := a.appender.Add(entry); err != nil {
		return config.Entry{}, err
	}
	if _, err := a.follower.WaitFor(ctx, proposal.ID); err != nil {
		return config.Entry{}, fault.Wrap(fault.LogUnavailable, err, "the change was not read back")
	}
	verdict, known := a.verdict(proposal.ID)
	if !known {
		return config.Entry{}, fault.New(fault.LogUnavailable, "the change can't be judged before a snapshot was read")
	}
	return verdict, nil
}

func (a *ConfigAgent) verdict(id ident.RecordID) (config.Entry, bool) {
	state := a.state.Load()
	if state == nil {
		return config.Entry{}, false
	}
	return state.Find(id)
}

func (a *ConfigAgent) noteSnapshot(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.snapshot = at
}

// appendSnapshot appends the state when a quarter of the retention has passed
// since the last snapshot. Members wait in the order of their rank, so that
// usually one of them does it.
func (a *ConfigAgent) appendSnapshot() {
	state := a.state.Load()
	self, rank, member := a.options.Writer()
	if state == nil || !member {
		return
	}
	now := a.options.Clock.Now()
	a.mu.Lock()
	age := now.Sub(a.snapshot)
	a.mu.Unlock()
	due := a.options.Retention/4 + time.Duration(rank)*snapshotStagger
	if age < min(due, a.options.Retention/2-heartbeatPeriod) {
		return
	}
	if a.addSnapshot(self, state) == nil {
		a.noteSnapshot(now)
	}
}

func (a *ConfigAgent) addSnapshot(self ident.Incarnation, state *config.State) error {
	plain, known := state.Snapshot()
	if !known {
		return nil
	}
	encoded, err := codec.EncodeState(plain)
	if err != nil {
		return err
	}
	body := record.Snapshot{At: state.Folded, State: encoded}
	entry, err := codec.EncodeRecord(record.Envelope{ID: a.options.NewID(), Writer: self, Record: body})
	if err != nil {
		return err
	}
	return a.appender.Add(entry)
}
