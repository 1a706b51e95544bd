package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/operator"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/manifest"
	"poplarvalve/internal/version/manifestcheck"
)

const goodManifest = `{"version": 8,
 "routes": [
  {"name": "q", "host": "h", "path_prefix": "/q/", "service": "p", "attempts": 3, "stretch": 2, "target_latency_ms": 500},
  {"name": "r", "host": "h", "path_prefix": "/r/", "service": "p", "attempts": 3, "stretch": 2, "target_latency_ms": 500}
 ]}`

// checkManifest runs "config check --json" on a file with the given content.
func checkManifest(t *testing.T, content string, args ...string) (code int, report checkReport) {
	t.Helper()
	code, stdout, stderr := runTool(t, append(append([]string{"config", "check", writeFile(t, content)}, args...), "--json")...)
	assert.NilError(t, json.Unmarshal([]byte(stdout), &report), "%s%s", stdout, stderr)
	return code, report
}

// The exit code must tell a script whether to send the file, and the position must lead to the
// fault.
func TestConfigCheckExitCodeAndPosition(t *testing.T) {
	cases := []struct {
		name, content string
		code          int
		refused       bool
		finding       manifestcheck.Code
		line, column  int
	}{
		{"good", goodManifest, exitOK, false, "", 0, 0},
		{"warning", strings.Replace(goodManifest, `"attempts": 3`, `"attempts": 0`, 1), exitOK, false, manifestcheck.AttemptsOutOfRange, 3, 3},
		{"error", strings.Replace(goodManifest, `"/r/"`, `"/q/"`, 1), exitNotRun, false, manifestcheck.DuplicatePrefix, 4, 3},
		{"syntax", strings.Replace(goodManifest, `"name": "r"`, `"name": r`, 1), exitNotRun, true, manifestcheck.BadSyntax, 4, 12},
		{"cut", goodManifest[:len(goodManifest)-1], exitNotRun, true, manifestcheck.BadSyntax, 5, 2},
		{"type", strings.Replace(goodManifest, `"name": "r"`, `"name": 7`, 1), exitNotRun, true, manifestcheck.BadType, 4, 12},
		{"type after wide characters", strings.Replace(goodManifest, `"name": "r", "host": "h"`, `"name": "äöü", "host": 7`, 1), exitNotRun, true, manifestcheck.BadType, 4, 27},
		{"empty", "", exitNotRun, true, manifestcheck.Removed, 0, 0},
		{"large", strings.Replace(goodManifest, "{", "{"+strings.Repeat(" ", store.DefaultLimits.RecordBytes), 1), exitOK, false, manifestcheck.MaybeTooLarge, 0, 0},
	}
	for _, c := range cases {
		code, report := checkManifest(t, c.content)
		assert.Equal(t, code, c.code, "%s: %v", c.name, report)
		assert.Equal(t, report.Refused, c.refused, c.name)
		assert.Equal(t, report.Decoded, !c.refused, c.name)
		if c.finding == "" {
			assert.Equal(t, len(report.Findings), 0, "%v", report.Findings)
			continue
		}
		assert.Equal(t, len(report.Findings), 1, "%s: %v", c.name, report.Findings)
		found := report.Findings[0]
		assert.Assert(t, found.Code == c.finding && found.Line == c.line && found.Column == c.column, "%s: %v", c.name, found)
	}
	for _, args := range [][]string{{}, {"missing"}, {writeFile(t, goodManifest), "more"}, {writeFile(t, goodManifest), "--colour"},
		{writeFile(t, goodManifest), "--against", "missing"}, {writeFile(t, goodManifest), "--against", writeFile(t, "{")}} {
		code, _, stderr := runTool(t, append([]string{"config", "check"}, args...)...)
		assert.Equal(t, code, exitUsage, "%v: %s", args, stderr)
	}
}

// A name with control characters must not break the table.
func TestConfigCheckPrintsTables(t *testing.T) {
	inForce := strings.Replace(goodManifest, `"version": 8`, `"version": 7`, 1)
	changed := strings.Replace(strings.Replace(goodManifest, `"attempts": 3`, `"attempts": 300`, 1), `"name": "r"`, `"name": "a\tb\u001b"`, 1)
	code, stdout, stderr := runTool(t, "config", "check", "--against", writeFile(t, inForce), writeFile(t, changed))
	assert.Equal(t, code, exitOK, stderr)
	table := strings.Join(strings.Fields(stdout), " ")
	for _, row := range []string{`3:3 warning attempts_out_of_range q the attempts are 300`,
		`changed - version 7 8`, `removed r - - -`, `changed q attempts 3 300`, `added "a\tb\x1b" - - -`} {
		assert.Assert(t, strings.Contains(table, row), "%s is missing in\n%s", row, stdout)
	}
}

// fakeDeployment is a deployment of which a server knows everything.
type fakeDeployment struct{ deployment manifestcheck.Deployment }

func (f fakeDeployment) Deployment(context.Context) (manifestcheck.Deployment, error) {
	return f.deployment, nil
}

// What a server knows must reach the check: a manifest with the version in force, a service
// without backend servers or a record over the log's limit would otherwise pass.
func TestConfigCheckComparesWithServer(t *testing.T) {
	known := manifestcheck.Deployment{
		InForce:       manifest.New(7, []manifest.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 3, Stretch: 2, Objective: 500 * time.Millisecond}}),
		Pools:         []cell.PoolSummary{{Pool: "p", Workers: 3}},
		PoolsComplete: true,
		RecordBytes:   1000,
	}
	check := func(content string, d manifestcheck.Deployment) (int, string) {
		server := startServer(t, operator.NewConfigurationHandler(fakeDeployment{d}).ServeHTTP)
		code, report := checkManifest(t, content, "--server", server)
		assert.Equal(t, report.ServersKnown, d.PoolsComplete)
		return code, fmt.Sprint(report.Findings, report.Differences)
	}
	code, output := check(goodManifest, known)
	assert.Equal(t, code, exitOK, output)
	assert.Equal(t, output, "[] [{changed  version 7 8} {added r   }]")
	for content, want := range map[string]manifestcheck.Code{
		strings.Replace(goodManifest, "8", "7", 1):                             manifestcheck.NotNewer,
		strings.Replace(goodManifest, `"p"`, `"o"`, 1):                         manifestcheck.NoServers,
		strings.Replace(goodManifest, "{", "{"+strings.Repeat(" ", 1000), 1):   manifestcheck.TooLarge,
		strings.Replace(goodManifest, `"stretch"`, `"advice":{},"stretch"`, 1): manifestcheck.NoAdviceService,
	} {
		d := known
		d.LacksAdviceService = true
		code, output := check(content, d)
		assert.Equal(t, code, exitNotRun, output)
		assert.Assert(t, strings.Contains(output, string(want)), output)
	}
	code, output = check(goodManifest, manifestcheck.Deployment{})
	assert.Equal(t, code, exitOK, output)
	for _, server := range []string{startFixedServer(t, http.StatusNotFound, "", nil), startFixedServer(t, http.StatusOK, "", 1), unusedAddress(t)} {
		code, _, stderr := runTool(t, "--server", server, "config", "check", writeFile(t, goodManifest))
		assert.Equal(t, code, exitFailure, stderr)
	}
}
