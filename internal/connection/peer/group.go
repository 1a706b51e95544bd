package peer

import "sync"

// group counts goroutines and lets none begin once it is closed.
type group struct {
	// mu protects closed and is never held while a goroutine is waited for.
	mu     sync.Mutex
	closed bool
	// running counts one for the open group itself, so that it reaches zero only
	// after close.
	running sync.WaitGroup
}

func newGroup() *group {
	g := &group{}
	g.running.Add(1)
	return g
}

// start runs task in a goroutine of its own, and reports false after close.
func (g *group) start(task func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.running.Go(task)
	return true
}

// close lets no more goroutine begin and waits for those that run.
func (g *group) close() {
	g.mu.Lock()
	first := !g.closed
	g.closed = true
	g.mu.Unlock()
	if first {
		g.running.Done()
	}
	g.running.Wait()
}
