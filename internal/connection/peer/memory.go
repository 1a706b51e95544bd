package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"poplarvalve/internal/process/fault"
)

// Faults are the probabilities, from 0 to 1, of faults that happen to one
// message.
type Faults struct {
	Drop      float64
	Duplicate float64
	// Reorder swaps a message with the one queued before it.
	Reorder float64
	// CloseConnection ends the connection and loses the message.
	CloseConnection float64
	// MaxDelay is the upper bound of the random delay of a message.
	MaxDelay time.Duration
}

// MessageAction says what happens to an intercepted message.
type MessageAction uint8

const (
	// Deliver leaves the message to the random faults.
	Deliver MessageAction = iota
	// Drop loses the message.
	Drop
	// CloseConnection ends the connection and loses the message.
	CloseConnection
)

// MemoryNetwork is a network inside the process, for tests, whose faults are
// reproducible from a seed. It implements Dialer.
type MemoryNetwork struct {
	mu          sync.Mutex
	seed        uint64
	pipeCount   uint64
	faults      Faults
	interceptor func(data []byte) MessageAction
	listeners   map[string]func(Conn)
}

// NewMemoryNetwork returns a network without faults, whose random numbers follow
// seed.
func NewMemoryNetwork(seed uint64) *MemoryNetwork {
	return &MemoryNetwork{seed: seed, listeners: map[string]func(Conn){}}
}

// SetFaults replaces the fault probabilities for messages sent from now on.
func (m *MemoryNetwork) SetFaults(faults Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = faults
}

// Intercept sets a function that decides on each message before the random
// faults apply.
func (m *MemoryNetwork) Intercept(decide func(data []byte) MessageAction) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.interceptor = decide
}

// Listen passes the connections made to address to accept. A nil accept makes
// Dial to that address fail.
func (m *MemoryNetwork) Listen(address string, accept func(Conn)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listeners[address] = accept
}

// Dial implements Dialer. It fails with PeerUnreachable if nobody listens at
// address.
func (m *MemoryNetwork) Dial(_ context.Context, address string) (Conn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	accept := m.listeners[address]
	if accept == nil {
		return nil, fault.New(fault.PeerUnreachable, "no listener at address %s", address)
	}
	closed := make(chan struct{})
	var once sync.Once
	closeBoth := func() { once.Do(func() { close(closed) }) }
	toListener, toDialer := m.newPipe(), m.newPipe()
	go accept(&memoryConn{network: m, incoming: toListener, outgoing: toDialer, closed: closed, closeBoth: closeBoth})
	return &memoryConn{network: m, incoming: toDialer, outgoing: toListener, closed: closed, closeBoth: closeBoth}, nil
}

func (m *MemoryNetwork) newPipe() *memoryPipe {
	m.pipeCount++
	return &memoryPipe{random: rand.New(rand.NewPCG(m.seed, m.pipeCount)), wake: make(chan struct{}, 1)}
}

func (m *MemoryNetwork) faultSettings() (Faults, func([]byte) MessageAction) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults, m.interceptor
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
	network            *MemoryNetwork
	incoming, outgoing *memoryPipe
	closed             chan struct{}
	closeBoth          func()
}

// Send implements Conn. It returns no error if the message is dropped or the
// connection is closed by a fault.
func (c *memoryConn) Send(ctx context.Context, data []byte) error {
	select {
	case <-c.closed:
		return fault.New(fault.PeerLost, "the in-memory connection is closed")
	case <-ctx.Done():
		return ctx.Err()
	default:
	}
	faults, decide := c.network.faultSettings()
	action := Deliver
	if decide != nil {
		action = decide(data)
	}
	if action == Deliver {
		action = c.outgoing.drawAction(faults)
	}
	switch action {
	case CloseConnection:
		c.closeBoth()
	case Deliver:
		c.outgoing.push(data, faults)
	}
	return nil
}

func (p *memoryPipe) drawAction(faults Faults) MessageAction {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.random.Float64() < faults.CloseConnection:
		return CloseConnection
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

// pop returns the first message if its delivery time has come, and otherwise
// how long to wait for it.
func (p *memoryPipe) pop() (data []byte, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 {
		return nil, receiveTimeout
	}
	if remaining := time.Until(p.queue[0].due); remaining > 0 {
		return nil, remaining
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
			return nil, fault.New(fault.PeerLost, "the in-memory connection is closed")
		default:
		}
		data, wait := c.incoming.pop()
		if data != nil {
			return data, nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-c.closed:
		case <-c.incoming.wake:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, ctx.Err()
		}
		timer.Stop()
	}
}

// Close implements Conn. It closes both ends.
func (c *memoryConn) Close() {
	c.closeBoth()
}
