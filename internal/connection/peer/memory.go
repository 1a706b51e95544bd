package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"poplarvalve/internal/process/fault"
)

// Faults are the chances, from 0 to 1, of what happens to one message.
type Faults struct {
	Drop      float64
	Duplicate float64
	// Reorder delivers a message before the one sent before it.
	Reorder float64
	// Cut ends the connection and loses the message.
	Cut float64
	// MaxDelay bounds the random delay of a message.
	MaxDelay time.Duration
}

// Verdict says what happens to an intercepted message.
type Verdict uint8

const (
	// Deliver leaves the message to the chances.
	Deliver Verdict = iota
	// Drop loses the message.
	Drop
	// Cut ends the connection and loses the message.
	Cut
)

// Memory is a network inside the process whose faults follow a seed. It
// implements Dialer.
type Memory struct {
	mu        sync.Mutex
	seed      uint64
	pipes     uint64
	faults    Faults
	intercept func(data []byte) Verdict
	accept    map[string]func(Conn)
}

// NewMemory returns a network without faults.
func NewMemory(seed uint64) *Memory {
	return &Memory{seed: seed, accept: map[string]func(Conn){}}
}

// SetFaults changes the chances for messages sent from now on.
func (m *Memory) SetFaults(faults Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = faults
}

// Intercept lets judge decide on each message before the chances do.
func (m *Memory) Intercept(judge func(data []byte) Verdict) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.intercept = judge
}

// Listen hands the connections to address to accept. A nil accept refuses them.
func (m *Memory) Listen(address string, accept func(Conn)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accept[address] = accept
}

// Dial implements Dialer.
func (m *Memory) Dial(_ context.Context, address string) (Conn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	accept := m.accept[address]
	if accept == nil {
		return nil, fault.New(fault.PeerUnreachable, "nobody listens at %s", address)
	}
	closed := make(chan struct{})
	var once sync.Once
	end := func() { once.Do(func() { close(closed) }) }
	there, back := m.pipe(), m.pipe()
	go accept(&memoryConn{network: m, in: there, out: back, closed: closed, end: end})
	return &memoryConn{network: m, in: back, out: there, closed: closed, end: end}, nil
}

func (m *Memory) pipe() *memoryPipe {
	m.pipes++
	return &memoryPipe{random: rand.New(rand.NewPCG(m.seed, m.pipes)), wake: make(chan struct{}, 1)}
}

func (m *Memory) settings() (Faults, func([]byte) Verdict) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults, m.intercept
}

// memoryPipe is one direction of a connection.
type memoryPipe struct {
	mu     sync.Mutex
	random *rand.Rand
	queue  []delivery
	wake   chan struct{}
}

type delivery struct {
	due  time.Time
	data []byte
}

// memoryConn is one end of a connection.
type memoryConn struct {
	network *Memory
	in, out *memoryPipe
	closed  chan struct{}
	end     func()
}

// Send implements Conn.
func (c *memoryConn) Send(ctx context.Context, data []byte) error {
	select {
	case <-c.closed:
		return fault.New(fault.PeerLost, "the connection is closed")
	case <-ctx.Done():
		return ctx.Err()
	default:
	}
	faults, judge := c.network.settings()
	verdict := Deliver
	if judge != nil {
		verdict = judge(data)
	}
	if verdict == Deliver {
		verdict = c.out.chance(faults)
	}
	switch verdict {
	case Cut:
		c.end()
	case Deliver:
		c.out.push(data, faults)
	}
	return nil
}

func (p *memoryPipe) chance(faults Faults) Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.random.Float64() < faults.Cut:
		return Cut
	case p.random.Float64() < faults.Drop:
		return Drop
	default:
		return Deliver
	}
}

func (p *memoryPipe) push(data []byte, faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := time.Now()
	if faults.MaxDelay > 0 {
		due = due.Add(time.Duration(p.random.Int64N(int64(faults.MaxDelay))))
	}
	if last := len(p.queue) - 1; last >= 0 && due.Before(p.queue[last].due) {
		due = p.queue[last].due
	}
	p.queue = append(p.queue, delivery{due: due, data: data})
	if p.random.Float64() < faults.Duplicate {
		p.queue = append(p.queue, delivery{due: due, data: data})
	}
	if last := len(p.queue) - 1; last > 0 && p.random.Float64() < faults.Reorder {
		p.queue[last].data, p.queue[last-1].data = p.queue[last-1].data, p.queue[last].data
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// pop returns the first message if it is due, or how long to wait for it.
func (p *memoryPipe) pop() (data []byte, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 {
		return nil, silenceLimit
	}
	if left := time.Until(p.queue[0].due); left > 0 {
		return nil, left
	}
	data = p.queue[0].data
	p.queue = p.queue[1:]
	return data, 0
}

// Receive implements Conn.
func (c *memoryConn) Receive(ctx context.Context) ([]byte, error) {
	for {
		select {
		case <-c.closed:
			return nil, fault.New(fault.PeerLost, "the connection is closed")
		default:
		}
		data, wait := c.in.pop()
		if data != nil {
			return data, nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-c.closed:
		case <-c.in.wake:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, ctx.Err()
		}
		timer.Stop()
	}
}

// Close implements Conn.
func (c *memoryConn) Close() {
	c.end()
}
