package dump

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// A state that can't be encoded, such as a function, must not make the whole
// dump fail: its field holds the error, and the other states stay readable.
func TestJSONKeepsOtherStatesIfOneCannotBeEncoded(t *testing.T) {
	registry := New()
	assert.NilError(t, registry.Register("good", func() any { return 7 }))
	assert.NilError(t, registry.Register("bad", func() any { return func() {} }))
	assert.ErrorContains(t, registry.Register("good", nil), "twice")
	encoded, err := registry.JSON()
	assert.NilError(t, err)
	var document map[string]any
	assert.NilError(t, json.Unmarshal(encoded, &document))
	assert.Equal(t, document["good"], 7.0)
	assert.Assert(t, document["bad"] != nil)
}
