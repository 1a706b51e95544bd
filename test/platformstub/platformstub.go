// Package platformstub stands in for the platform's log and instance list.
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

// Control sets the faults of the platform.
type Control struct {
	// Outage makes all calls fail.
	Outage bool `json:"outage"`
	// Delay is added to each call.
	Delay time.Duration `json:"delay_ns"`
	// LoseReplies is the number of appends that take effect and report an error.
	LoseReplies int `json:"lose_replies"`
	// Retain is the number of entries a stream keeps; zero keeps all.
	Retain int `json:"retain"`
	// Cut names the clients whose calls fail.
	Cut map[string]bool `json:"cut"`
}

// Platform is safe for use by many goroutines.
type Platform struct {
	mu        sync.Mutex
	control   Control
	streams   map[ident.StreamName]*stream
	instances []platform.ListedInstance
}

// stream holds the entries from oldest on.
type stream struct {
	oldest  ident.Offset
	entries [][]byte
	grown   chan struct{}
}

// New returns a platform with empty streams and the given instance list.
func New(instances []platform.ListedInstance) *Platform {
	return &Platform{streams: map[ident.StreamName]*stream{}, instances: instances}
}

// Set changes the faults.
func (p *Platform) Set(change func(control *Control)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.control)
	for _, s := range p.streams {
		s.trim(p.control.Retain)
	}
}

// SetInstances replaces the instance list.
func (p *Platform) SetInstances(instances []platform.ListedInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = instances
}

// Cut cuts a client off the log, or connects it again.
func (p *Platform) Cut(client string, cut bool) {
	p.Set(func(control *Control) {
		next := map[string]bool{client: cut}
		for name, other := range control.Cut {
			if name != client {
				next[name] = other
			}
		}
		control.Cut = next
	})
}

// Client returns the log as one client sees it.
func (p *Platform) Client(name string) logstream.Log {
	return &client{platform: p, name: name}
}

type client struct {
	platform *Platform
	name     string
}

// Append implements logstream.Log.
func (c *client) Append(ctx context.Context, name ident.StreamName, entries [][]byte) (ident.Offset, error) {
	if err := c.platform.enter(ctx, c.name); err != nil {
		return 0, err
	}
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	s := c.platform.stream(name)
	first := s.oldest + ident.Offset(len(s.entries))
	for _, entry := range entries {
		s.entries = append(s.entries, append([]byte(nil), entry...))
	}
	s.trim(c.platform.control.Retain)
	close(s.grown)
	s.grown = make(chan struct{})
	if c.platform.control.LoseReplies > 0 {
		c.platform.control.LoseReplies--
		return 0, fault.New(fault.LogUnavailable, "reply lost")
	}
	return first, nil
}

// Read implements logstream.Log.
func (c *client) Read(ctx context.Context, name ident.StreamName, from ident.Offset, limit int, wait time.Duration) (logstream.Batch, error) {
	if err := c.platform.enter(ctx, c.name); err != nil {
		return logstream.Batch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, grown := c.platform.batch(name, from, limit)
		if len(batch.Entries) > 0 {
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return logstream.Batch{}, fault.Wrap(fault.LogUnavailable, ctx.Err(), "read ended")
		case <-timer.C:
			return batch, c.platform.available(c.name)
		case <-grown:
		}
		if err := c.platform.available(c.name); err != nil {
			return logstream.Batch{}, err
		}
	}
}

// enter waits for the configured delay and fails if the log is unreachable.
func (p *Platform) enter(ctx context.Context, name string) error {
	p.mu.Lock()
	delay := p.control.Delay
	p.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return fault.Wrap(fault.LogUnavailable, ctx.Err(), "call ended")
		case <-timer.C:
		}
	}
	return p.available(name)
}

func (p *Platform) available(name string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.control.Outage || p.control.Cut[name] {
		return fault.New(fault.LogUnavailable, "outage").WithOutcome(fault.NotRun)
	}
	return nil
}

func (p *Platform) batch(name ident.StreamName, from ident.Offset, limit int) (logstream.Batch, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	next := s.oldest + ident.Offset(len(s.entries))
	first := min(max(from, s.oldest), next)
	entries := s.entries[first-s.oldest:]
	entries = append([][]byte(nil), entries[:min(len(entries), limit)]...)
	return logstream.Batch{Oldest: s.oldest, Next: next, First: first, Entries: entries}, s.grown
}

// stream returns a stream, which starts empty. The caller holds the mutex.
func (p *Platform) stream(name ident.StreamName) *stream {
	s, found := p.streams[name]
	if !found {
		s = &stream{oldest: 1, grown: make(chan struct{})}
		p.streams[name] = s
	}
	return s
}

// trim drops the oldest entries beyond retain.
func (s *stream) trim(retain int) {
	excess := len(s.entries) - retain
	if retain <= 0 || excess <= 0 {
		return
	}
	s.entries = append([][]byte(nil), s.entries[excess:]...)
	s.oldest += ident.Offset(excess)
}
