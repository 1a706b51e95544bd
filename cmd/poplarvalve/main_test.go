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

func execute(t *testing.T, args ...string) (code int, out, errors string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = run(t.Context(), args, strings.NewReader(""), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func write(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// serve returns the address of a server that answers everything alike.
func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func answer(t *testing.T, status int, outcome string, body any) string {
	return serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(operator.HeaderOutcome, outcome)
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	})
}

// refusing returns an address on which nothing listens.
func refusing(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// cutting returns a server that drops each connection after the request.
func cutting(t *testing.T) string {
	return serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
}

// Guards against a wrong command line that is sent or ends with another code.
func TestUsage(t *testing.T) {
	for _, args := range [][]string{{}, {"rules"}, {"rules", "check"}, {"status"}, {"--colour"}, {"nothing"},
		{"--server", "localhost:1", "status"}, {"--server", "127.0.0.1:1", "--token-file", "missing", "status"}} {
		code, _, errors := execute(t, args...)
		assert.Equal(t, code, exitUsage, "%v: %s", args, errors)
	}
	code, out, _ := execute(t, "version")
	assert.Equal(t, code, exitOK)
	assert.Equal(t, out, "poplarvalve "+version+"\n")
}

// Guards against a check that needs a server or hides the place of a problem.
func TestRulesCheckIsOffline(t *testing.T) {
	code, _, _ := execute(t, "rules", "check", write(t, goodRules))
	assert.Equal(t, code, exitOK)
	code, _, errors := execute(t, "rules", "check", write(t, "teem\n"))
	assert.Equal(t, code, exitNotRun)
	assert.Assert(t, strings.Contains(errors, `:1:1: unknown word "teem"`), errors)
}

// Guards against a code that says less or more than is known about a change.
func TestApplyExitCodes(t *testing.T) {
	file := write(t, goodRules)
	failure := operator.Failure{Failure: fault.New(fault.LogUnavailable, "append"), Outcome: "unknown"}
	accepted := answer(t, http.StatusOK, "", operator.Verdict{Verdict: "accepted", Offset: 4})
	lost := answer(t, http.StatusConflict, "", operator.Verdict{Verdict: "lost", Winner: 4, Base: 3,
		Current: &operator.Rules{Version: 4, Author: "bob", Text: "team b weight 2 # desk: other\n"}})
	refused := answer(t, http.StatusUnprocessableEntity, "", operator.Verdict{Verdict: "refused", Problems: []string{"x"}})
	unknown := answer(t, http.StatusServiceUnavailable, "unknown", failure)
	notRun := answer(t, http.StatusServiceUnavailable, "not-run", failure)
	cases := []struct {
		name    string
		servers []string
		code    int
	}{
		{"accepted", []string{accepted}, exitOK},
		{"next server", []string{refusing(t), unknown, cutting(t), accepted}, exitOK},
		{"lost", []string{lost}, exitLost},
		{"refused", []string{refused}, exitNotRun},
		{"unknown", []string{unknown}, exitUnknown},
		{"not run", []string{notRun}, exitNotRun},
		{"unreachable", []string{refusing(t)}, exitNotRun},
		{"reply lost", []string{cutting(t)}, exitUnknown},
		{"reply lost, then refused by another", []string{cutting(t), notRun}, exitUnknown},
		{"reply lost, then unreachable", []string{cutting(t), refusing(t)}, exitUnknown},
	}
	for _, c := range cases {
		var args []string
		for _, server := range c.servers {
			args = append(args, "--server", server)
		}
		code, out, errors := execute(t, append(args, "rules", "apply", "--author", "ann", file)...)
		assert.Equal(t, code, c.code, "%s: %s", c.name, errors)
		if code == exitUnknown {
			assert.Assert(t, strings.Contains(errors, "--id "), errors)
		}
		if code == exitLost {
			assert.Assert(t, strings.Contains(out, "version 4 by bob") && strings.Contains(out, "- team b"), out)
		}
	}
	code, _, _ := execute(t, "--server", accepted, "rules", "apply", write(t, "team a weight 1 # x: y\n"))
	assert.Equal(t, code, exitUsage, "a file that doesn't say its version")
}

// Guards against a repeat at another server that makes a second job.
func TestSubmitRepeatsWithTheSameID(t *testing.T) {
	var mu sync.Mutex
	var ids []string
	record := func(w http.ResponseWriter, r *http.Request) {
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
	code, out, errors := execute(t, "--server", serve(t, record), "--server", serve(t, record), "submit", "quota-rebuild")
	assert.Equal(t, code, exitOK, errors)
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, len(ids), 2)
	assert.Equal(t, ids[0], ids[1])
	assert.Equal(t, out, "rebuilds."+ids[0]+"\n")
	id, err := uuid.Parse(ids[0])
	assert.NilError(t, err)
	assert.Equal(t, id.Version(), uuid.Version(7))
}

// Guards against a success that is reported for a reply about another job.
func TestSubmitNeedsItsOwnJobInTheReply(t *testing.T) {
	other := answer(t, http.StatusOK, "ran", map[string]string{"id": "rebuilds.0198c2a4-0000-7000-8000-000000000000"})
	for _, server := range []string{other, answer(t, http.StatusOK, "ran", nil)} {
		code, out, errors := execute(t, "--server", server, "submit", "quota-rebuild")
		assert.Equal(t, code, exitUnknown, errors)
		assert.Equal(t, out, "")
		assert.Assert(t, strings.Contains(errors, "--id "), errors)
	}
}

// Guards against a status that is not printed or a refusal that ends with 0.
func TestJobShowsTheStatus(t *testing.T) {
	status := map[string]string{"id": "rebuilds.0198c2a4-0000-7000-8000-000000000000", "state": "running"}
	code, out, errors := execute(t, "--server", answer(t, http.StatusOK, "ran", status), "job", status["id"])
	assert.Equal(t, code, exitOK, errors)
	assert.Equal(t, out, "id: "+status["id"]+"\nstate: running\n")
	missing := operator.Failure{Failure: fault.New(fault.NotFound, "job"), Outcome: "not-run"}
	code, _, _ = execute(t, "--server", answer(t, http.StatusNotFound, "not-run", missing), "job", status["id"])
	assert.Equal(t, code, exitNotRun)
}

// Guards against an operator token sent to a caller address, or a status
// without the token.
func TestTokenGoesToOperatorPathsOnly(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]string{}
	server := serve(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		seen[r.URL.Path] = r.Header.Get("Authorization")
		_, _ = w.Write([]byte(`{"instance":"entry-1"}`))
	})
	token := write(t, "0123456789abcdef\n")
	code, out, errors := execute(t, "--server", server, "--token-file", token, "status")
	assert.Equal(t, code, exitOK, errors)
	assert.Equal(t, out, "instance: entry-1\n")
	code, _, errors = execute(t, "--server", server, "--token-file", token, "call", "permit-check")
	assert.Equal(t, code, exitOK, errors)
	mu.Lock()
	defer mu.Unlock()
	assert.DeepEqual(t, seen, map[string]string{"/v1/status": "Bearer 0123456789abcdef", "/v1/services/permit-check/call": ""})
}
