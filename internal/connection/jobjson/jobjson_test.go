package jobjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// job has the nesting of a job in both interfaces.
type job struct {
	Spec  string `json:"spec"`
	Steps []struct {
		Count     int    `json:"count"`
		Label     string `json:"label"`
		DependsOn []int  `json:"after"`
	} `json:"steps"`
}

// A text that decodes to a job within the limits must decode to the same one when it is trimmed,
// with repeated, unknown and nested fields, and brackets and commas in texts too.
func TestTrimKeepsValidJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom([]string{`"a"`, `"[,{"`, `"\"],\\"`, `"\\"`, `"é"`})
		other := rapid.SampledFrom([]string{`1`, `null`, `[1,[2,{"a":[]}],3]`, `{"steps":[{},{}],"b":"}"}`})
		entries := rapid.Custom(func(t *rapid.T) string {
			return "[" + strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"0", " 1", "null"}), 0, 40).Draw(t, "entries"), ",") + "]"
		})
		step := rapid.Custom(func(t *rapid.T) string {
			return fmt.Sprintf(`{"count":%d,"x":%s, "label":%s,"after":%s,"after":%s}`, rapid.IntRange(0, 9).Draw(t, "count"),
				other.Draw(t, "other"), text.Draw(t, "label"), entries.Draw(t, "after"), entries.Draw(t, "after"))
		})
		steps := func(most int) string {
			return "[" + strings.Join(rapid.SliceOfN(step, 0, most).Draw(t, "steps"), ", ") + "]"
		}
		// A list beyond the limit has no effect if a repeated field replaces it.
		raw := []byte(fmt.Sprintf(` {"unknown":%s,"steps":%s,"spec":%s,"steps":%s} `, other.Draw(t, "other"), steps(90), text.Draw(t, "spec"), steps(maxSteps-1)))
		var want, got job
		assert.NilError(t, json.Unmarshal(raw, &want))
		assert.NilError(t, json.Unmarshal(Trim(bytes.Clone(raw)), &got), "%s", raw)
		assert.DeepEqual(t, got, want)
	})
}

// 80,000 empty steps, 240 KB, took 16 MB when they were decoded. A job whose lists are longer than allowed
// must be cut, and to a length at which it is still refused.
func TestTrimCutsLongLists(t *testing.T) {
	var j job
	trimmed := Trim([]byte(`{"steps":[` + strings.Repeat(`{"after":[1,{"a":"]"}]},`, 80000) + `{}],"spec":"x"}`))
	assert.Assert(t, len(trimmed) < 2000)
	trimmed = Trim([]byte(`{"steps":[` + strings.Repeat(`{"after":[1,2]},`, 80000) + `{}],"spec":"x"}`))
	assert.NilError(t, json.Unmarshal(trimmed, &j))
	assert.Equal(t, len(j.Steps), maxSteps)
	assert.Equal(t, j.Spec, "x")
	trimmed = Trim([]byte(`{"steps":[{"after":[` + strings.Repeat(`1,`, 100000) + `1],"count":7}]}`))
	assert.NilError(t, json.Unmarshal(trimmed, &j))
	assert.Equal(t, len(j.Steps[0].DependsOn), maxEntries)
	assert.Equal(t, j.Steps[0].Count, 7)
}

// Invalid texts come from outside the process. They must stay invalid, and must not crash it.
func TestTrimKeepsInvalidTextsInvalid(t *testing.T) {
	many := strings.Repeat("1,", freeElements)
	for _, text := range []string{"", ",", many, "[" + many, "[" + many + "]", "[" + many + "1]]", `["` + many, `["\` + many, "}" + many,
		strings.Repeat("[1,", 20000) + strings.Repeat("]", 20000)} {
		assert.Assert(t, !json.Valid(Trim([]byte(text))), "%.20s", text)
	}
}
