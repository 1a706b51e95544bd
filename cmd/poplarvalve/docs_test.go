package main

import (
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/metrics"
	"poplarvalve/internal/process/settings"
	"poplarvalve/internal/process/work"
)

const operatorsPage = "../../docs/operators.md"

func page(t *testing.T) string {
	t.Helper()
	content, err := os.ReadFile(operatorsPage)
	assert.NilError(t, err)
	return string(content)
}

// blocks returns the fenced blocks of a language.
func blocks(t *testing.T, language string) []string {
	t.Helper()
	var found []string
	for _, match := range regexp.MustCompile("(?s)```"+language+"\n(.*?)```").FindAllStringSubmatch(page(t), -1) {
		found = append(found, match[1])
	}
	assert.Assert(t, len(found) > 0, "no block of %s", language)
	return found
}

// Guards against a rules example that the checker refuses.
func TestPageRulesPassTheChecker(t *testing.T) {
	for _, block := range blocks(t, "rules") {
		code, _, errors := execute(t, "rules", "check", write(t, block))
		assert.Equal(t, code, exitOK, errors)
	}
}

// Guards against a settings example that doesn't load, or whose defaults
// differ from those of the program.
func TestPageSettingsLoad(t *testing.T) {
	sample := blocks(t, "ini")[0]
	stated, problems := settings.Parse("sample", []byte(sample))
	assert.Equal(t, len(problems), 0, "%v", problems)
	rest := sample
	for _, row := range regexp.MustCompile("\\| `(\\w+)` \\|[^|]*\\| `([^`]+)` \\|").FindAllStringSubmatch(page(t), -1) {
		line := row[1] + " = " + row[2] + "\n"
		assert.Assert(t, strings.Contains(rest, line), "the sample doesn't hold the default %q", line)
		rest = strings.Replace(rest, line, "", 1)
	}
	defaults, problems := settings.Parse("rest", []byte(rest))
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, *defaults, *stated)
}

// Guards against a page that names a metric that doesn't exist or leaves one out.
func TestPageMetricsAreThoseServed(t *testing.T) {
	recorder := httptest.NewRecorder()
	oneOfEach().Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	served := names(`(?m)^# TYPE (poplarvalve_\w+)`, recorder.Body.String())
	assert.DeepEqual(t, names("(?m)^\\| `(poplarvalve_\\w+)", page(t)), served)
}

// oneOfEach returns metrics in which each name has a value.
func oneOfEach() *metrics.Metrics {
	m := metrics.New()
	m.Answered(work.Urgent, 1)
	m.Started(work.Urgent, 1)
	m.Refused(fault.Overloaded)
	m.Evicted(metrics.EvictStop, work.Batch)
	m.Appended("config", 1, 0)
	m.Crossed("attiki", metrics.Sent, 1)
	m.Skipped("config", 1)
	m.Lag("config", 1)
	return m
}

func names(pattern, text string) []string {
	var found []string
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		found = append(found, match[1])
	}
	slices.Sort(found)
	return found
}
