package entry

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/manifest"
	"poplarvalve/internal/version/manifestcheck"
	"poplarvalve/platform"
)

// drawManifestRecord draws what operators may write as their configuration, with values of
// wrong types and text that is no JSON among it.
func drawManifestRecord(t *rapid.T) []byte {
	odd := func(good any) any {
		return rapid.SampledFrom([]any{good, good, good, good, good, good, good, good, nil, 1.5, "x", -1, true, []int{1}}).Draw(t, "value")
	}
	var routes []any
	for range rapid.IntRange(0, 3).Draw(t, "routes") {
		routes = append(routes, odd(map[string]any{"name": odd("q"), "host": odd("h"), "path_prefix": odd("/q/"), "service": odd("p"),
			"priority": odd(0), "attempts": odd(3), "stretch": odd(2), "target_latency_ms": odd(100), "advice": odd(nil)}))
	}
	encoded, err := json.Marshal(map[string]any{"version": odd(rapid.Int64Range(-2, 9).Draw(t, "version")), "routes": odd(routes)})
	assert.NilError(t, err)
	return encoded[:len(encoded)-rapid.SampledFrom([]int{0, 0, 0, 1, len(encoded)}).Draw(t, "cut")]
}

// If the check called a manifest refused that an instance puts into force, operators would
// hold back a good change; the other way round, they would wait for one that never comes.
func TestCheckRefusesExactlyWhatInstanceRefuses(t *testing.T) {
	e := testEntry(t)
	e.options.Decoder = platform.Decoder{}
	rapid.Check(t, func(t *rapid.T) {
		e.manifest.Update(func(*manifest.Manifest) *manifest.Manifest { return nil })
		e.encodedManifests.Update(func(*encodedManifests) *encodedManifests { return nil })
		if version := rapid.Int64Range(-1, 8).Draw(t, "in force"); version >= 0 {
			e.applyConfiguration([]store.Record{platform.ManifestRecord(fmt.Appendf(nil, `{"version":%d}`, version))})
		}
		inForce := e.manifest.Load()
		record := platform.ManifestRecord(drawManifestRecord(t))
		decoded, err := platform.Decoder{}.Manifest(record)
		refused := err != nil || decoded == nil ||
			slices.ContainsFunc(manifestcheck.Check(decoded, manifestcheck.Deployment{InForce: inForce}), manifestcheck.Finding.Refused)
		e.applyConfiguration([]store.Record{record})
		assert.Equal(t, refused, e.manifest.Load() == inForce, "%s", record.Value)
	})
}
