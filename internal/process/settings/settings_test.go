package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/fault"
)

// minimalSettings is a settings file with the required keys only.
const minimalSettings = `[instance]
name = entry-1
zone = cascades-a
region = cascades
caller_address = 127.0.0.1:7001
peer_address = 127.0.0.1:7002
operator_address = 127.0.0.1:7003
[platform]
log = 127.0.0.1:7100
instances = 127.0.0.1:7101
[security]
operator_token_file = TOKEN
`

// A key that is not in the file must get its default value. Without it, a
// limit would be zero and the instance would refuse everything.
func TestParseAppliesDefaults(t *testing.T) {
	settings, problems := Parse("s", []byte(minimalSettings))
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, settings.Limits, Limits{MaxBodyBytes: 1 << 20, MaxQueued: 1024, MaxConnections: 4096, MemoryBytes: 256 << 20, AppendsPerSecond: 200, DrainTimeout: 20 * time.Second})
	assert.Equal(t, settings.Region.CutPolicy, RefuseWhenCut)
	assert.Equal(t, settings.Platform.Shards, 16)
}

// Parse must report every problem of a file, each with its section and key, so
// that an operator can correct all of them at once.
func TestParseReportsEveryProblem(t *testing.T) {
	text := strings.NewReplacer("name = entry-1", "name =", "127.0.0.1:7001", "localhost:7001",
		"127.0.0.1:7002", "0.0.0.0:7002", "127.0.0.1:7101", "127.0.0.1:0").Replace(minimalSettings) + `tls_key = key.pem
[limits]
body = 1 megabyte
queue = 0
appends = 5
appends = 5
colour = red
[region]
cut = maybe
[leases]
start = 3s
`
	_, problems := Parse("s", []byte(text))
	got := joinProblems(problems)
	for _, want := range []string{
		"s: [instance] name: the value is missing",
		`s: [instance] caller_address: "localhost:7001" is not of the form IP:port`,
		`s: [instance] peer_address: "0.0.0.0:7002" can't be reached`,
		`s: [platform] instances: "127.0.0.1:0" has no port`,
		`s: [limits] body: "1 megabyte" is not a size`,
		`s: [limits] queue: "0" is not a whole number`,
		"s: [limits] appends: the key appears 2 times",
		"s: [limits] colour: unknown key",
		`s: [region] cut: "maybe" is not one of`,
		"s: [leases] unknown section",
		"s: [security] tls_certificate, tls_key and tls_authority must be set together",
	} {
		assert.Assert(t, strings.Contains(got, want), "%s\nis missing from the reported problems:\n%s", want, got)
	}
	assert.Equal(t, len(problems), 11, got)
	_, problems = Parse("s", nil)
	assert.Equal(t, len(problems), 9, "each missing required key must be reported")
}

// The operator token must not appear in encoded or formatted settings, so that
// no dump or log line can reveal it. Neither the zero Token nor the text of
// another token may match, and a token file that is too short must be rejected.
func TestOperatorTokenIsNeverPrinted(t *testing.T) {
	const secret = "0123456789abcdef"
	dir := t.TempDir()
	tokenFile := filepath.Join(dir, "token")
	file := filepath.Join(dir, "settings.ini")
	assert.NilError(t, os.WriteFile(tokenFile, []byte(secret+"\n"), 0o600))
	assert.NilError(t, os.WriteFile(file, []byte(strings.Replace(minimalSettings, "TOKEN", tokenFile, 1)), 0o600))
	settings, err := Load(file)
	assert.NilError(t, err)
	token := settings.Security.OperatorToken
	assert.Assert(t, token.Matches(secret))
	assert.Assert(t, !token.Matches(secret+"x"))
	assert.Assert(t, !Token{}.Matches(""))
	encoded, err := json.Marshal(settings)
	assert.NilError(t, err)
	printed := string(encoded) + fmt.Sprintf("%v %+v %#v %s %x", settings, settings, settings, token, token)
	assert.Assert(t, !strings.Contains(printed, secret))
	assert.Assert(t, !strings.Contains(printed, fmt.Sprintf("%x", token.digest)))
	assert.NilError(t, os.WriteFile(tokenFile, []byte("short"), 0o600))
	_, err = Load(file)
	assert.Equal(t, fault.KindOf(err), fault.BadSettings)
}
