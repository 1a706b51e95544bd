// Package publish provides a Value that is replaced by read-copy-update: its
// owner publishes immutable versions, which the request path reads without a
// lock.
package publish

import (
	"sync"
	"sync/atomic"
)

// Value holds the current version of the data that its owner publishes. Load
// never blocks and never returns a partly changed version. A version must not
// be modified after it was published. Create a Value with New.
type Value[T any] struct {
	current atomic.Pointer[T]

	// mu serializes writers and protects changed.
	mu      sync.Mutex
	changed chan struct{}
}

// New returns a Value whose current version is initial, which may be nil.
func New[T any](initial *T) *Value[T] {
	value := &Value[T]{changed: make(chan struct{})}
	value.current.Store(initial)
	return value
}

// Load returns the current version. It is nil if the Value was created with nil
// and nothing was published since.
func (v *Value[T]) Load() *T {
	return v.current.Load()
}

// Publish replaces the current version and closes the channel that Changed
// returned.
func (v *Value[T]) Publish(next *T) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.replace(next)
}

// Update replaces the current version with the one that derive returns for it.
// Updates run one at a time. derive must not modify its argument. If it returns
// its argument, the version stays unchanged.
func (v *Value[T]) Update(derive func(current *T) *T) {
	v.mu.Lock()
	defer v.mu.Unlock()
	current := v.current.Load()
	next := derive(current)
	if next == current {
		return
	}
	v.replace(next)
}

func (v *Value[T]) replace(next *T) {
	v.current.Store(next)
	close(v.changed)
	v.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the current version is
// replaced. To miss no version, call Changed before Load.
func (v *Value[T]) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}
