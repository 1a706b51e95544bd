package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// filled replaces each placeholder of the template by a value that fits.
func filled(t *testing.T) string {
	t.Helper()
	content, err := os.ReadFile("../../../deploy/entry.ini.tmpl")
	assert.NilError(t, err)
	text := strings.ReplaceAll(string(content), "{{ip}}:{{internal_ports.0}}", "10.0.0.1:7700")
	text = strings.ReplaceAll(text, "{{ip}}:{{internal_ports.1}}", "10.0.0.1:7701")
	text = regexp.MustCompile(`(address = ?)\{\{[^}]*\}\}`).ReplaceAllString(text, "${1}10.0.0.1:8000")
	text = regexp.MustCompile(`(name) = \{\{[^}]*\}\}`).ReplaceAllString(text, "$1 = x")
	return regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllString(text, "20")
}

// Guards against a settings file of the deployment that doesn't load.
func TestTemplateLoads(t *testing.T) {
	s, problems := ParseEntry("template", []byte(filled(t)))
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, s.MaxLease, 20*time.Millisecond)
	assert.Equal(t, s.Grace, 20*time.Second)
	assert.Equal(t, s.LinkAddress.String(), "10.0.0.1:7700")
}

// Guards against settings that are accepted though they can't work, and
// against a report that names only the first problem.
func TestBadEntrySettings(t *testing.T) {
	text := strings.Replace(filled(t), "memory_mb = 20", "memory_mb = lots", 1)
	text = strings.Replace(text, "link_address = 10.0.0.1:7700", "link_address = nowhere", 1)
	_, problems := ParseEntry("file", []byte(text))
	assert.Equal(t, len(problems), 2, "%v", problems)
	_, problems = ParseEntry("file", nil)
	assert.Assert(t, len(problems) >= 9)
}
