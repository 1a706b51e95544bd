// Package dump collects the state of a process into one document for
// operators.
package dump

import (
	"encoding/json"
	"maps"
	"sync"

	"poplarvalve/internal/process/fault"
)

// Registry holds named functions that return state. A state function must be
// safe to call at any time, return quickly, and leave secrets out.
type Registry struct {
	mu     sync.Mutex
	states map[string]func() any
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{states: map[string]func() any{}}
}

// Register adds a state under a name. It fails if the name is taken.
func (r *Registry) Register(name string, state func() any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.states[name]; taken {
		return fault.New(fault.Internal, "the state %q is registered twice", name)
	}
	r.states[name] = state
	return nil
}

// JSON returns one object with a field for each state. A state that can't be
// encoded appears as its error, so that it doesn't hide the others.
func (r *Registry) JSON() ([]byte, error) {
	r.mu.Lock()
	states := maps.Clone(r.states)
	r.mu.Unlock()
	document := make(map[string]json.RawMessage, len(states))
	for name, state := range states {
		document[name] = encode(state())
	}
	return json.MarshalIndent(document, "", "  ")
}

func encode(state any) json.RawMessage {
	encoded, err := json.Marshal(state)
	if err == nil {
		return encoded
	}
	message, _ := json.Marshal(map[string]string{"error": err.Error()})
	return message
}
