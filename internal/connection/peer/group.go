package peer

import "sync"

// goroutineGroup counts goroutines and starts no more of them once it is
// closed.
type goroutineGroup struct {
	// mu protects closed. It is never held while waiting for a goroutine.
	mu     sync.Mutex
	closed bool
	// running also counts one for the open group itself, so that it can reach
	// zero only after close.
	running sync.WaitGroup
}

func newGoroutineGroup() *goroutineGroup {
	g := &goroutineGroup{}
	g.running.Add(1)
	return g
}

// start runs function in a goroutine of its own. It returns false, without
// running it, after close.
func (g *goroutineGroup) start(function func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.running.Go(function)
	return true
}

// close prevents further goroutines from starting and waits for the running
// ones. It may be called several times.
func (g *goroutineGroup) close() {
	g.mu.Lock()
	firstClose := !g.closed
	g.closed = true
	g.mu.Unlock()
	if firstClose {
		g.running.Done()
	}
	g.running.Wait()
}
