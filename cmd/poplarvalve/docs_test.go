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

// readOperatorsPage returns the text of the page for operators.
func readOperatorsPage(t *testing.T) string {
	t.Helper()
	content, err := os.ReadFile(operatorsPage)
	assert.NilError(t, err)
	return string(content)
}

// fencedBlocks returns the contents of the fenced code blocks of a language on the
// page. There must be at least one.
func fencedBlocks(t *testing.T, language string) []string {
	t.Helper()
	var found []string
	for _, match := range regexp.MustCompile("(?s)```"+language+"\n(.*?)```").FindAllStringSubmatch(readOperatorsPage(t), -1) {
		found = append(found, match[1])
	}
	assert.Assert(t, len(found) > 0, "the page has no fenced block of %s", language)
	return found
}

// Operators copy the rules examples of the page, so each must pass "rules check".
func TestOperatorsPageRulesAreValid(t *testing.T) {
	for _, block := range fencedBlocks(t, "rules") {
		code, _, stderr := runTool(t, "rules", "check", writeFile(t, block))
		assert.Equal(t, code, exitOK, stderr)
	}
}

// The settings example of the page must load, and the defaults in its table must
// be those of the program. To check the latter, the test removes the lines with
// default values from the example, which must not change the parsed settings.
func TestOperatorsPageSettingsMatchDefaults(t *testing.T) {
	example := fencedBlocks(t, "ini")[0]
	withExplicitDefaults, problems := settings.Parse("sample", []byte(example))
	assert.Equal(t, len(problems), 0, "%v", problems)
	withoutDefaults := example
	for _, tableRow := range regexp.MustCompile("\\| `(\\w+)` \\|[^|]*\\| `([^`]+)` \\|").FindAllStringSubmatch(readOperatorsPage(t), -1) {
		line := tableRow[1] + " = " + tableRow[2] + "\n"
		assert.Assert(t, strings.Contains(withoutDefaults, line), "the settings example doesn't contain the default %q", line)
		withoutDefaults = strings.Replace(withoutDefaults, line, "", 1)
	}
	defaults, problems := settings.Parse("rest", []byte(withoutDefaults))
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, *defaults, *withExplicitDefaults)
}

// A metric that is added or renamed in the program must be changed on the page
// too: the page must list exactly the metrics that are served.
func TestOperatorsPageListsExactlyTheServedMetrics(t *testing.T) {
	recorder := httptest.NewRecorder()
	metricsWithValues().Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	served := sortedMatches(`(?m)^# TYPE (poplarvalve_\w+)`, recorder.Body.String())
	assert.DeepEqual(t, sortedMatches("(?m)^\\| `(poplarvalve_\\w+)", readOperatorsPage(t)), served)
}

// metricsWithValues returns metrics in which each metric has a value, so that all
// of them are served.
func metricsWithValues() *metrics.Metrics {
	all := metrics.New()
	all.ClientRefused("too_large")
	all.ObserveClients(nil, func() float64 { return 1 }, func() float64 { return 1 })
	all.CountAnswer(work.Urgent, 1)
	all.CountStart(work.Urgent, 1)
	all.CountRefusal(fault.Overloaded)
	all.CountEviction(metrics.EvictStop, work.Batch)
	all.CountAppends("config", 1, 0)
	all.CountRegionBytes("attiki", metrics.Sent, 1)
	all.CountSkippedRecords("config", 1)
	all.SetLag("config", 1)
	return all
}

// sortedMatches returns the first group of each match of pattern in text, sorted.
func sortedMatches(pattern, text string) []string {
	var found []string
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		found = append(found, match[1])
	}
	slices.Sort(found)
	return found
}

// A finding that is added or renamed must be changed on the page too, since scripts rely on the
// codes that it lists.
func TestOperatorsPageListsExactlyTheFindings(t *testing.T) {
	source, err := os.ReadFile("../../internal/version/manifestcheck/manifestcheck.go")
	assert.NilError(t, err)
	_, section, found := strings.Cut(readOperatorsPage(t), "\n## Check a manifest\n")
	assert.Assert(t, found)
	section, _, _ = strings.Cut(section, "\n## ")
	rows := strings.Join(sortedMatches("(?m)^\\| (`[^|]*) \\| (?:error|warning)", section), "\n")
	assert.DeepEqual(t, sortedMatches("`(\\w+)`", rows), sortedMatches(`Code = "(\w+)"`, string(source)))
}
