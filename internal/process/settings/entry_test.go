package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/store"
)

// filledTemplate returns the deployment's template of the settings file with a
// valid value in place of each placeholder.
func filledTemplate(t *testing.T) string {
	t.Helper()
	content, err := os.ReadFile("../../../deploy/entry.ini.tmpl")
	assert.NilError(t, err)
	text := strings.ReplaceAll(string(content), "{{ip}}:{{internal_ports.0}}", "10.0.0.1:7700")
	text = strings.ReplaceAll(text, "{{ip}}:{{internal_ports.1}}", "10.0.0.1:7701")
	text = regexp.MustCompile(`(address = ?)\{\{[^}]*\}\}`).ReplaceAllString(text, "${1}10.0.0.1:8000")
	text = regexp.MustCompile(`\{\{#[^}]*\}\}([^{]*)\{\{/[^}]*\}\}`).ReplaceAllString(text, "$1")
	text = regexp.MustCompile(`(apply_ms) = \{\{[^}]*\}\}`).ReplaceAllString(text, "$1 = 5000")
	text = regexp.MustCompile(`(name) = \{\{[^}]*\}\}`).ReplaceAllString(text, "$1 = x")
	text = regexp.MustCompile(`(record_bytes|call_bytes) = \{\{[^}]*\}\}`).ReplaceAllString(text, "$1 = 3000")
	text = strings.Replace(text, "max_fds = {{limits.max_fds}}", "max_fds = 4100", 1)
	text = strings.Replace(text, "call_bytes = 3000", "call_bytes = 30000", 1)
	return regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllString(text, "20")
}

// The settings file that the deployment generates from its template must load.
// It fails to if a key was renamed in only one of the two places.
func TestParseEntrySettingsAcceptsDeploymentTemplate(t *testing.T) {
	s, problems := ParseEntrySettings("template", []byte(filledTemplate(t)))
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, s.MaxLease, 20*time.Millisecond)
	assert.Equal(t, s.Grace, 20*time.Second)
	assert.Equal(t, s.LogLimits, store.Limits{RecordBytes: 3000, CallBytes: 30000})
	assert.Equal(t, s.LinkAddress.String(), "10.0.0.1:7700")
	assert.Equal(t, s.EvacuationApply, 5*time.Second)
	assert.Assert(t, !s.LearnSpeed && !s.RefuseHopeless && s.NearWait == 0)
}

// The platform leaves a value empty that a deployment has not. What is new must then be off, so
// that such a deployment is served as before.
func TestEmptyValuesTurnPartsOff(t *testing.T) {
	text := strings.Replace(filledTemplate(t), "apply_ms = 5000", "apply_ms = ", 1)
	text += "\n[placement]\nlearn_worker_speed =\nnear_wait_ms =\n[admission]\nrefuse_hopeless =\n"
	s, problems := ParseEntrySettings("file", []byte(text))
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Assert(t, s.EvacuationApply == 0 && !s.LearnSpeed && !s.RefuseHopeless && s.NearWait == 0)
}

// A value that is out of range or no choice must stop the start, and not turn a part off.
func TestWrongValuesOfPartsAreReported(t *testing.T) {
	for from, to := range map[string]string{"apply_ms = 5000": "apply_ms = 1999", "[jobs]": "[placement]\nlearn_worker_speed = yes\n[jobs]",
		"[evacuation]": "[placement]\nnear_wait_ms = -1\n[evacuation]", "[workers]": "[admission]\nrefuse_hopeless = 1\n[workers]"} {
		_, problems := ParseEntrySettings("file", []byte(strings.Replace(filledTemplate(t), from, to, 1)))
		assert.Equal(t, len(problems), 1, "%s: %v", to, problems)
	}
}

// Values that are not numbers or addresses must be rejected, and every problem
// of a file must be reported, not just the first.
func TestParseEntrySettingsReportsEveryProblem(t *testing.T) {
	text := strings.Replace(filledTemplate(t), "memory_mb = 20", "memory_mb = lots", 1)
	text = strings.Replace(text, "link_address = 10.0.0.1:7700", "link_address = nowhere", 1)
	_, problems := ParseEntrySettings("file", []byte(text))
	assert.Equal(t, len(problems), 2, "%v", problems)
	_, problems = ParseEntrySettings("file", nil)
	assert.Assert(t, len(problems) >= 9)
}

// A settings file of an earlier version has no limits of the log. The instance must start,
// with the limits that the platform states, and must refuse limits that contradict each
// other.
func TestMissingLogLimitsHaveDefaults(t *testing.T) {
	withLimits := func(record, call string) string {
		text := strings.Replace(filledTemplate(t), "record_bytes = 3000", "record_bytes = "+record, 1)
		return strings.Replace(text, "call_bytes = 30000", "call_bytes = "+call, 1)
	}
	s, problems := ParseEntrySettings("file", []byte(withLimits("", "")))
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, s.LogLimits, store.Limits{RecordBytes: 262144, CallBytes: 2097152})
	for _, c := range []struct {
		record, call string
		problems     int
	}{{"1024", "1028", 0}, {"1024", "1027", 1}, {"1023", "30000", 1}, {"many", "30000", 1}} {
		_, problems := ParseEntrySettings("file", []byte(withLimits(c.record, c.call)))
		assert.Equal(t, len(problems) > 0, c.problems > 0, "%v: %v", c, problems)
	}
}
