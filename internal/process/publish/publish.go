// Package publish provides a read-copy-update cell. Its owner publishes
// immutable versions of a value, which the request path reads without a lock.
package publish

import (
	"sync"
	"sync/atomic"
)

// Value holds the current version of a value. Load never blocks and never
// returns a partly changed value. A version must not be modified after it was
// published. Create a Value with New.
type Value[T any] struct {
	current atomic.Pointer[T]

	// mu serializes writers and protects changed.
	mu      sync.Mutex
	changed chan struct{}
}

// New returns a cell whose current version is initial, which may be nil.
func New[T any](initial *T) *Value[T] {
	cell := &Value[T]{changed: make(chan struct{})}
	cell.current.Store(initial)
	return cell
}

// Load returns the current version. It is nil if the cell was created with nil
// and nothing was published since.
func (c *Value[T]) Load() *T {
	return c.current.Load()
}

// Publish replaces the current version and closes the channel that Changed
// returned.
func (c *Value[T]) Publish(next *T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replace(next)
}

// Update replaces the current version with the one that derive returns for it.
// Updates run one at a time. derive must not modify its argument. If it returns
// its argument, the version stays unchanged.
func (c *Value[T]) Update(derive func(current *T) *T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.current.Load()
	next := derive(current)
	if next == current {
		return
	}
	c.replace(next)
}

func (c *Value[T]) replace(next *T) {
	c.current.Store(next)
	close(c.changed)
	c.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the current version is
// replaced. To miss no version, call Changed before Load.
func (c *Value[T]) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
