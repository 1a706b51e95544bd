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

// instance is an instance whose log is the fold itself.
type instance struct {
	mu    sync.Mutex
	state *config.State
}

func (i *instance) Propose(_ context.Context, p operator.Proposal) (config.Entry, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	change := record.Change{Base: p.Base, Rules: p.Rules, Author: p.Author}
	i.state = config.Fold{}.Apply(i.state, i.state.Folded+1, record.Envelope{ID: p.ID, Record: change})
	entry, _ := i.state.Find(p.ID)
	return entry, nil
}

func (i *instance) Configuration() *config.State {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state
}

func (i *instance) Status() operator.Status  { return operator.Status{} }
func (i *instance) Matches(text string) bool { return text == testToken }
func (i *instance) Explain(context.Context, ident.JobID) (operator.Explanation, error) {
	return operator.Explanation{}, nil
}

// Guards against an edit of an old version that silently undoes a newer one,
// and a repeat after a lost reply that counts as another change.
func TestTwoOperatorsEditOneVersion(t *testing.T) {
	i := &instance{state: config.Start(1)}
	handler := operator.NewHandler(operator.Parts{Proposer: i, Reader: i, Reporter: i, Explainer: i,
		Dumper: dump.New(), Metrics: http.NotFoundHandler(), Token: i})
	token := write(t, testToken)
	operate := func(args ...string) (int, string) {
		server := serve(t, handler.ServeHTTP)
		code, out, errors := execute(t, append([]string{"--server", server, "--token-file", token, "rules"}, args...)...)
		return code, out + errors
	}
	code, out := operate("apply", "--base", "0", write(t, "team a weight 1 # desk: first\n"))
	assert.Equal(t, code, exitOK, out)
	_, shown := operate("show")
	assert.Equal(t, shown, "# version 1\nteam a weight 1 # desk: first\n")
	ann := write(t, strings.Replace(shown, "weight 1", "weight 2", 1))
	bob := write(t, strings.Replace(shown, "weight 1", "weight 3", 1))
	code, out = operate("apply", "--author", "ann", "--id", "one", ann)
	assert.Equal(t, code, exitOK, out)
	code, out = operate("apply", "--author", "bob", bob)
	assert.Equal(t, code, exitLost, out)
	assert.Assert(t, strings.Contains(out, "version 2 by ann") && strings.Contains(out, "+ team a weight 3"), out)
	code, out = operate("apply", "--author", "ann", "--id", "one", ann)
	assert.Equal(t, code, exitOK, out)
	assert.Assert(t, strings.Contains(out, "accepted as version 2"), out)
	_, shown = operate("show")
	assert.Equal(t, shown, "# version 2\nteam a weight 2 # desk: first\n")
}
