// Package jobjson bounds the decoded form of jobs that are encoded as JSON. It knows the nesting of
// the fields but not their names, which depend on the interface.
package jobjson

import (
	"bytes"
	"encoding/json"

	"poplarvalve/internal/process/jobspec"
)

const (
	// stepsDepth is the nesting of a list of steps: it is a field of the job.
	stepsDepth = 2
	// maxSteps and maxEntries are the lengths to which lists are cut, the list of steps and those
	// in a step. Each is one above what jobspec.Job.Check accepts, so that a job that is
	// cut is refused.
	maxSteps   = jobspec.MaxSteps + 1
	maxEntries = jobspec.MaxJobBytes/2 + 1
	// freeElements is the number of elements that are decoded without a look at the lists. A
	// usual job has fewer.
	freeElements = 256
)

// Trim returns the JSON text of a job with the lists cut that are longer than any valid job has.
// It changes raw. Invalid JSON is returned as it is.
//
// Only elements that a valid job doesn't have are dropped, so that a text that decodes to a valid
// job still decodes to the same one. That includes texts with repeated fields, of which the last
// one counts.
func Trim(raw []byte) []byte {
	if bytes.Count(raw, []byte{','}) < freeElements || !json.Valid(raw) {
		return raw
	}
	t := trimmer{raw: raw}
	return t.trim()
}

// list is an open array or object.
type list struct {
	isArray bool
	limit   int
	// elements is the number of commas seen.
	elements int
}

// trimmer copies a valid text onto itself without the elements beyond the limits.
type trimmer struct {
	raw  []byte
	kept int
	// open are the arrays and objects around the position.
	open []list
	// dropDepth is the number of open lists at which dropping began, or 0.
	dropDepth int
}

func (t *trimmer) trim() []byte {
	for i := 0; i < len(t.raw); i++ {
		switch c := t.raw[i]; c {
		case '"':
			end := stringEnd(t.raw, i)
			t.keep(t.raw[i:end])
			i = end - 1
			continue
		case '[', '{':
			t.keep(t.raw[i : i+1])
			t.begin(c == '[')
			continue
		case ']', '}':
			if len(t.open) == t.dropDepth {
				t.dropDepth = 0
			}
			t.open = t.open[:len(t.open)-1]
		case ',':
			t.next()
		}
		t.keep(t.raw[i : i+1])
	}
	return t.raw[:t.kept]
}

// begin opens a list. Lists in lists that are not steps or entries of a step are fields that no job
// has; the decoder skips them or fails.
func (t *trimmer) begin(isArray bool) {
	limit := maxEntries
	if len(t.open)+1 == stepsDepth {
		limit = maxSteps
	}
	t.open = append(t.open, list{isArray: isArray, limit: limit})
}

// next counts an element and begins to drop at the first one beyond the limit.
func (t *trimmer) next() {
	innermost := &t.open[len(t.open)-1]
	innermost.elements++
	if innermost.isArray && innermost.elements >= innermost.limit && t.dropDepth == 0 {
		t.dropDepth = len(t.open)
	}
}

func (t *trimmer) keep(part []byte) {
	if t.dropDepth == 0 {
		t.kept += copy(t.raw[t.kept:], part)
	}
}

// stringEnd returns the index after the string that begins at start.
func stringEnd(raw []byte, start int) int {
	for i := start + 1; i < len(raw); i++ {
		switch raw[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(raw)
}
