package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/operator"
	"poplarvalve/internal/process/fault"
)

const goodRules = "# version 3\nteam a weight 1 # desk: reason\n"

// runTool runs the tool with the given arguments and an empty standard input.
func runTool(t *testing.T, args ...string) (code int, stdoutText, stderrText string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = runCommandLine(t.Context(), args, strings.NewReader(""), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// writeFile returns the path of a new file with the given content.
func writeFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// startServer starts a server that handles all requests with handler, and returns
// its address.
func startServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startFixedServer starts a server that gives the same reply to every request, and
// returns its address.
func startFixedServer(t *testing.T, status int, outcome string, body any) string {
	return startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(operator.HeaderOutcome, outcome)
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	})
}

// unusedAddress returns an address on which no server listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// startDisconnectingServer starts a server that reads each request and closes the
// connection without a reply, and returns its address.
func startDisconnectingServer(t *testing.T) string {
	return startServer(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
}

// An invalid command line must end with exitUsage before a request is sent, because
// scripts take this code to mean that nothing was sent.
func TestInvalidCommandLineExitsWithUsageCode(t *testing.T) {
	for _, args := range [][]string{{}, {"rules"}, {"rules", "check"}, {"status"}, {"--colour"}, {"nothing"},
		{"--server", "localhost:1", "status"}, {"--server", "127.0.0.1:1", "--token-file", "missing", "status"}} {
		code, _, stderr := runTool(t, args...)
		assert.Equal(t, code, exitUsage, "%v: %s", args, stderr)
	}
	code, stdout, _ := runTool(t, "version")
	assert.Equal(t, code, exitOK)
	assert.Equal(t, stdout, "poplarvalve "+version+"\n")
}

// "rules check" must work without a server and print the position of each problem.
func TestRulesCheckNeedsNoServer(t *testing.T) {
	code, _, _ := runTool(t, "rules", "check", writeFile(t, goodRules))
	assert.Equal(t, code, exitOK)
	code, _, stderr := runTool(t, "rules", "check", writeFile(t, "teem\n"))
	assert.Equal(t, code, exitNotRun)
	assert.Assert(t, strings.Contains(stderr, `:1:1: unknown word "teem"`), stderr)
}

// The exit code must match what is known about the change. In particular, if one
// server may have accepted it, a refusal by the next server must not turn the
// outcome into "not run".
func TestApplyExitCodeTellsWhatIsKnown(t *testing.T) {
	file := writeFile(t, goodRules)
	failure := operator.Failure{Failure: fault.New(fault.LogUnavailable, "append"), Outcome: "unknown"}
	accepted := startFixedServer(t, http.StatusOK, "", operator.Verdict{Verdict: "accepted", Offset: 4})
	conflicted := startFixedServer(t, http.StatusConflict, "", operator.Verdict{Verdict: "lost", InForce: 4, Base: 3,
		Current: &operator.Rules{Version: 4, Author: "bob", Text: "team b weight 2 # desk: other\n"}})
	refused := startFixedServer(t, http.StatusUnprocessableEntity, "", operator.Verdict{Verdict: "refused", Problems: []string{"x"}})
	unknown := startFixedServer(t, http.StatusServiceUnavailable, "unknown", failure)
	notRun := startFixedServer(t, http.StatusServiceUnavailable, "not-run", failure)
	cases := []struct {
		name    string
		servers []string
		code    int
	}{
		{"accepted", []string{accepted}, exitOK},
		{"next server", []string{unusedAddress(t), unknown, startDisconnectingServer(t), accepted}, exitOK},
		{"lost", []string{conflicted}, exitConflict},
		{"refused", []string{refused}, exitNotRun},
		{"unknown", []string{unknown}, exitUnknown},
		{"not run", []string{notRun}, exitNotRun},
		{"unreachable", []string{unusedAddress(t)}, exitNotRun},
		{"reply lost", []string{startDisconnectingServer(t)}, exitUnknown},
		{"reply lost, then refused by another", []string{startDisconnectingServer(t), notRun}, exitUnknown},
		{"reply lost, then unreachable", []string{startDisconnectingServer(t), unusedAddress(t)}, exitUnknown},
	}
	for _, c := range cases {
		var args []string
		for _, server := range c.servers {
			args = append(args, "--server", server)
		}
		code, stdout, stderr := runTool(t, append(args, "rules", "apply", "--author", "ann", file)...)
		assert.Equal(t, code, c.code, "%s: %s", c.name, stderr)
		if code == exitUnknown {
			assert.Assert(t, strings.Contains(stderr, "--id "), stderr)
		}
		if code == exitConflict {
			assert.Assert(t, strings.Contains(stdout, "version 4 by bob") && strings.Contains(stdout, "- team b"), stdout)
		}
	}
	code, _, _ := runTool(t, "--server", accepted, "rules", "apply", writeFile(t, "team a weight 1 # x: y\n"))
	assert.Equal(t, code, exitUsage, "a file without a version line was applied without --base")
}

// The first server drops the connection after the request, so the tool repeats the
// request at the second server. Both requests must have the same ID, or the job
// could be created twice.
func TestSubmitRetriesWithTheSameID(t *testing.T) {
	var mu sync.Mutex
	var ids []string
	handleSubmission := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		var job submission
		assert.Check(t, json.NewDecoder(r.Body).Decode(&job))
		ids = append(ids, string(job.ID))
		if len(ids) == 1 {
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(map[string]string{"id": "rebuilds." + string(job.ID), "state": "waiting"})
	}
	code, stdout, stderr := runTool(t, "--server", startServer(t, handleSubmission), "--server", startServer(t, handleSubmission), "submit", "quota-rebuild")
	assert.Equal(t, code, exitOK, stderr)
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, len(ids), 2)
	assert.Equal(t, ids[0], ids[1])
	assert.Equal(t, stdout, "rebuilds."+ids[0]+"\n")
	id, err := uuid.Parse(ids[0])
	assert.NilError(t, err)
	assert.Equal(t, id.Version(), uuid.Version(7))
}

// A reply that names another job, or none, does not prove that the submitted job
// exists. The tool must report an unknown outcome and not print that job.
func TestSubmitRejectsReplyAboutAnotherJob(t *testing.T) {
	replyAboutOtherJob := startFixedServer(t, http.StatusOK, "ran", map[string]string{"id": "rebuilds.0198c2a4-0000-7000-8000-000000000000"})
	for _, server := range []string{replyAboutOtherJob, startFixedServer(t, http.StatusOK, "ran", nil)} {
		code, stdout, stderr := runTool(t, "--server", server, "submit", "quota-rebuild")
		assert.Equal(t, code, exitUnknown, stderr)
		assert.Equal(t, stdout, "")
		assert.Assert(t, strings.Contains(stderr, "--id "), stderr)
	}
}

// The job command must print the status of a job, and must not exit with 0 if the
// job is not found.
func TestJobPrintsTheStatus(t *testing.T) {
	status := map[string]string{"id": "rebuilds.0198c2a4-0000-7000-8000-000000000000", "state": "running"}
	code, stdout, stderr := runTool(t, "--server", startFixedServer(t, http.StatusOK, "ran", status), "job", status["id"])
	assert.Equal(t, code, exitOK, stderr)
	assert.Equal(t, stdout, "id: "+status["id"]+"\nstate: running\n")
	missing := operator.Failure{Failure: fault.New(fault.NotFound, "job"), Outcome: "not-run"}
	code, _, _ = runTool(t, "--server", startFixedServer(t, http.StatusNotFound, "not-run", missing), "job", status["id"])
	assert.Equal(t, code, exitNotRun)
}

// Operator requests need the operator token. A request to a caller address must not
// carry it, because that would disclose the token.
func TestTokenIsSentToOperatorPathsOnly(t *testing.T) {
	var mu sync.Mutex
	tokensByPath := map[string]string{}
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		tokensByPath[r.URL.Path] = r.Header.Get("Authorization")
		_, _ = w.Write([]byte(`{"instance":"entry-1"}`))
	})
	token := writeFile(t, "0123456789abcdef\n")
	code, stdout, stderr := runTool(t, "--server", server, "--token-file", token, "status")
	assert.Equal(t, code, exitOK, stderr)
	assert.Equal(t, stdout, "instance: entry-1\n")
	code, _, stderr = runTool(t, "--server", server, "--token-file", token, "call", "permit-check")
	assert.Equal(t, code, exitOK, stderr)
	mu.Lock()
	defer mu.Unlock()
	assert.DeepEqual(t, tokensByPath, map[string]string{"/v1/status": "Bearer 0123456789abcdef", "/v1/services/permit-check/call": ""})
}
