package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/operator"
	"poplarvalve/internal/process/dump"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
	"poplarvalve/internal/version/config"
)

const testToken = "0123456789abcdef"

// fakeInstance applies each proposed change directly to its configuration state,
// without a log.
type fakeInstance struct {
	mu    sync.Mutex
	state *config.State
}

func (i *fakeInstance) Propose(_ context.Context, p operator.Proposal) (config.VerdictEntry, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	change := record.RulesChange{Base: p.Base, Rules: p.Rules, Author: p.Author}
	i.state = config.Applier{}.Apply(i.state, i.state.AppliedOffset+1, record.Envelope{ID: p.ID, Record: change})
	entry, _ := i.state.Find(p.ID)
	return entry, nil
}

func (i *fakeInstance) Configuration() *config.State {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state
}

func (i *fakeInstance) Status() operator.Status  { return operator.Status{} }
func (i *fakeInstance) Matches(text string) bool { return text == testToken }
func (i *fakeInstance) Explain(context.Context, ident.JobID) (operator.Explanation, error) {
	return operator.Explanation{}, nil
}

// Two operators edit the same version of the rules. The second apply must fail,
// since it would silently undo the first one. When the first operator repeats the
// apply with the same identifier, as after a lost reply, the original verdict must
// be returned and no other version created.
func TestSecondEditOfTheSameVersionIsRejected(t *testing.T) {
	i := &fakeInstance{state: config.NewState(1)}
	handler := operator.NewHandler(operator.Dependencies{Proposer: i, Reader: i, Reporter: i, Explainer: i,
		Dumper: dump.New(), Metrics: http.NotFoundHandler(), Token: i})
	token := writeFile(t, testToken)
	runRulesCommand := func(args ...string) (int, string) {
		server := startServer(t, handler.ServeHTTP)
		code, stdout, stderr := runTool(t, append([]string{"--server", server, "--token-file", token, "rules"}, args...)...)
		return code, stdout + stderr
	}
	code, output := runRulesCommand("apply", "--base", "0", writeFile(t, "team a weight 1 # desk: first\n"))
	assert.Equal(t, code, exitOK, output)
	_, currentRules := runRulesCommand("show")
	assert.Equal(t, currentRules, "# version 1\nteam a weight 1 # desk: first\n")
	annsFile := writeFile(t, strings.Replace(currentRules, "weight 1", "weight 2", 1))
	bobsFile := writeFile(t, strings.Replace(currentRules, "weight 1", "weight 3", 1))
	code, output = runRulesCommand("apply", "--author", "ann", "--id", "one", annsFile)
	assert.Equal(t, code, exitOK, output)
	code, output = runRulesCommand("apply", "--author", "bob", bobsFile)
	assert.Equal(t, code, exitConflict, output)
	assert.Assert(t, strings.Contains(output, "version 2 by ann") && strings.Contains(output, "+ team a weight 3"), output)
	code, output = runRulesCommand("apply", "--author", "ann", "--id", "one", annsFile)
	assert.Equal(t, code, exitOK, output)
	assert.Assert(t, strings.Contains(output, "accepted as version 2"), output)
	_, currentRules = runRulesCommand("show")
	assert.Equal(t, currentRules, "# version 2\nteam a weight 2 # desk: first\n")
}
