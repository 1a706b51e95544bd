// Package platformstub emulates the platform's log and instance list in memory,
// for use in process or over HTTP. Tests can inject faults such as outages,
// delays and lost replies.
package platformstub

import (
	"context"
	"sync"
	"time"

	"poplarvalve/internal/connection/platform"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/logstream"
)

// Faults holds the faults that the platform injects into calls to its log.
type Faults struct {
	// Outage makes every append and read fail.
	Outage bool `json:"outage"`
	// Delay is added to each append and read.
	Delay time.Duration `json:"delay_ns"`
	// LoseReplies is the number of coming appends that take effect but report an
	// error. Each of them decrements it.
	LoseReplies int `json:"lose_replies"`
	// RetainEntries is the number of newest entries that each stream keeps; 0
	// keeps all.
	RetainEntries int `json:"retain"`
	// DisconnectedClients names the clients whose appends and reads fail.
	DisconnectedClients map[string]bool `json:"cut"`
}

// Platform is an emulated platform: the streams of its log, its instance list
// and the faults in force. It is safe for concurrent use.
type Platform struct {
	mu        sync.Mutex
	faults    Faults
	streams   map[ident.StreamName]*stream
	instances []platform.ListedInstance
}

// stream is one log stream. Its entries start at the offset oldest; older ones
// have been dropped.
type stream struct {
	oldest  ident.Offset
	entries [][]byte
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// New returns a platform with empty streams and the given instance list.
func New(instances []platform.ListedInstance) *Platform {
	return &Platform{streams: map[ident.StreamName]*stream{}, instances: instances}
}

// ChangeFaults calls change to edit the faults in force, and applies a new
// RetainEntries to all streams at once. The change function must not call the
// platform.
func (p *Platform) ChangeFaults(change func(faults *Faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults)
	for _, s := range p.streams {
		s.trim(p.faults.RetainEntries)
	}
}

// SetInstances replaces the instance list.
func (p *Platform) SetInstances(instances []platform.ListedInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = instances
}

// SetDisconnected makes all calls of the named client to the log fail if
// disconnected is true, and lets them through again otherwise. Other clients keep
// their state.
func (p *Platform) SetDisconnected(client string, disconnected bool) {
	p.ChangeFaults(func(faults *Faults) {
		next := map[string]bool{client: disconnected}
		for name, wasDisconnected := range faults.DisconnectedClients {
			if name != client {
				next[name] = wasDisconnected
			}
		}
		faults.DisconnectedClients = next
	})
}

// Client returns the log for the named client; the name is the one that
// Faults.DisconnectedClients uses.
func (p *Platform) Client(name string) logstream.Log {
	return &client{platform: p, name: name}
}

type client struct {
	platform *Platform
	name     string
}

// Append implements logstream.Log.
func (c *client) Append(ctx context.Context, name ident.StreamName, entries [][]byte) (ident.Offset, error) {
	if err := c.platform.applyFaults(ctx, c.name); err != nil {
		return 0, err
	}
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	s := c.platform.findOrCreate(name)
	first := s.oldest + ident.Offset(len(s.entries))
	for _, entry := range entries {
		s.entries = append(s.entries, append([]byte(nil), entry...))
	}
	s.trim(c.platform.faults.RetainEntries)
	close(s.appended)
	s.appended = make(chan struct{})
	if c.platform.faults.LoseReplies > 0 {
		c.platform.faults.LoseReplies--
		return 0, fault.New(fault.LogUnavailable, "the append took effect but its reply was dropped by the platform stub")
	}
	return first, nil
}

// Read implements logstream.Log.
func (c *client) Read(ctx context.Context, name ident.StreamName, from ident.Offset, limit int, wait time.Duration) (logstream.Batch, error) {
	if err := c.platform.applyFaults(ctx, c.name); err != nil {
		return logstream.Batch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, appended := c.platform.readBatch(name, from, limit)
		if len(batch.Entries) > 0 {
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return logstream.Batch{}, fault.Wrap(fault.LogUnavailable, ctx.Err(), "context ended while waiting for log entries")
		case <-timer.C:
			return batch, c.platform.checkReachable(c.name)
		case <-appended:
		}
		if err := c.platform.checkReachable(c.name); err != nil {
			return logstream.Batch{}, err
		}
	}
}

// applyFaults waits for the configured delay and then fails if the named client
// can't reach the log.
func (p *Platform) applyFaults(ctx context.Context, name string) error {
	p.mu.Lock()
	delay := p.faults.Delay
	p.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return fault.Wrap(fault.LogUnavailable, ctx.Err(), "context ended during the delay of a call to the log")
		case <-timer.C:
		}
	}
	return p.checkReachable(name)
}

// checkReachable returns an error during an outage, and for a client that is
// disconnected from the log.
func (p *Platform) checkReachable(name string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Outage || p.faults.DisconnectedClients[name] {
		return fault.New(fault.LogUnavailable, "outage").WithOutcome(fault.NotRun)
	}
	return nil
}

// readBatch returns at most limit entries from the offset from on, or from the
// oldest entry if that is newer, and a channel that the next append closes.
func (p *Platform) readBatch(name ident.StreamName, from ident.Offset, limit int) (logstream.Batch, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.findOrCreate(name)
	next := s.oldest + ident.Offset(len(s.entries))
	first := min(max(from, s.oldest), next)
	entries := s.entries[first-s.oldest:]
	entries = append([][]byte(nil), entries[:min(len(entries), limit)]...)
	return logstream.Batch{Oldest: s.oldest, Next: next, First: first, Entries: entries}, s.appended
}

// findOrCreate returns the stream of that name, which it creates empty if there
// is none. The caller must hold p.mu.
func (p *Platform) findOrCreate(name ident.StreamName) *stream {
	s, found := p.streams[name]
	if !found {
		s = &stream{oldest: 1, appended: make(chan struct{})}
		p.streams[name] = s
	}
	return s
}

// trim drops the oldest entries until at most retain are left; retain 0 keeps
// all.
func (s *stream) trim(retain int) {
	excess := len(s.entries) - retain
	if retain <= 0 || excess <= 0 {
		return
	}
	s.entries = append([][]byte(nil), s.entries[excess:]...)
	s.oldest += ident.Offset(excess)
}
