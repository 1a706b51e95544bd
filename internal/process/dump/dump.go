// Package dump collects the state of the parts of a process in one JSON
// document for operators.
package dump

import (
	"encoding/json"
	"maps"
	"sync"

	"poplarvalve/internal/process/fault"
)

// Registry holds named functions that return the state of a part of the
// process. A state function must be safe to call at any time, return quickly,
// and not return secrets.
type Registry struct {
	mu         sync.Mutex
	stateFuncs map[string]func() any
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{stateFuncs: map[string]func() any{}}
}

// Register adds a state function under a name. It fails with kind Internal if
// the name is already registered.
func (r *Registry) Register(name string, state func() any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.stateFuncs[name]; taken {
		return fault.New(fault.Internal, "the state %q is registered twice: use another name", name)
	}
	r.stateFuncs[name] = state
	return nil
}

// JSON returns a JSON object with one field for each registered state. If a
// state can't be encoded, its field holds the error, and the other states
// are still included.
func (r *Registry) JSON() ([]byte, error) {
	r.mu.Lock()
	stateFuncs := maps.Clone(r.stateFuncs)
	r.mu.Unlock()
	document := make(map[string]json.RawMessage, len(stateFuncs))
	for name, state := range stateFuncs {
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
