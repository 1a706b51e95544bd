// Package publish provides the read-copy-update cell by which an owner hands
// immutable versions to the request path.
package publish

import (
	"sync"
	"sync/atomic"
)

// Cell holds the current version of a value. Readers never block and never
// see a value that is partly changed. A version must not be modified after it
// has been published.
type Cell[T any] struct {
	current atomic.Pointer[T]

	// mu serialises writers and protects changed.
	mu      sync.Mutex
	changed chan struct{}
}

// New returns a cell that holds initial.
func New[T any](initial *T) *Cell[T] {
	cell := &Cell[T]{changed: make(chan struct{})}
	cell.current.Store(initial)
	return cell
}

// Load returns the current version. It may be nil if none was published.
func (c *Cell[T]) Load() *T {
	return c.current.Load()
}

// Publish replaces the version and wakes those that wait on Changed.
func (c *Cell[T]) Publish(next *T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replace(next)
}

// Update replaces the version by what derive makes of the current one. Updates
// run one after another. derive must not modify its argument; it returns its
// argument to leave the version as it is.
func (c *Cell[T]) Update(derive func(current *T) *T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.current.Load()
	next := derive(current)
	if next == current {
		return
	}
	c.replace(next)
}

func (c *Cell[T]) replace(next *T) {
	c.current.Store(next)
	close(c.changed)
	c.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next replacement. To miss no
// version, take the channel before loading.
func (c *Cell[T]) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
