package token

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/test/virtualtime"
)

// Guards against tokens that are valid after their window, that were changed on
// the way, or that another incarnation issued.
func TestCheckRefusesForeignChangedAndExpiredTokens(t *testing.T) {
	now := time.Unix(1000, 0)
	issuer := NewIssuer(ident.Incarnation{Instance: "entry.1", Nonce: 7}, now)
	parsed, err := Parse(issuer.Issue(now, 1)[0])
	assert.NilError(t, err)
	assert.NilError(t, issuer.Check(parsed, now.Add(Window-time.Millisecond)))
	expired := issuer.Check(parsed, now.Add(Window))
	assert.Equal(t, fault.KindOf(expired), fault.KeyExpired)
	assert.Equal(t, fault.From(expired).Outcome, fault.Unknown)
	other := NewIssuer(parsed.Issuer, now)
	assert.Equal(t, fault.KindOf(other.Check(parsed, now)), fault.BadRequest)
}

// Guards against a token that runs twice when its repeats come at the same
// time, and against a repeat with another body that gets the first's answer.
func TestTokenRunsOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := NewTable(time.Now())
		token := Token{Number: 1, Expiry: Window.Milliseconds()}
		var runs atomic.Int32
		run := func() work.Answer {
			runs.Add(1)
			time.Sleep(time.Second)
			return work.Answer{Outcome: fault.Ran, Body: []byte("permit")}
		}
		var group sync.WaitGroup
		for range 20 {
			group.Go(func() {
				answer := table.Run(context.Background(), time.Now(), token, work.Request{}, run)
				assert.Check(t, string(answer.Body) == "permit")
			})
		}
		group.Wait()
		assert.Equal(t, runs.Load(), int32(1))
		answer := table.Run(context.Background(), time.Now(), token, work.Request{Body: []byte("other")}, run)
		assert.Equal(t, answer.Failure.Kind, fault.KeyReused)
	})
}

// Guards against a second run of a token that expired between its check and
// its entry in the table, after the first run was forgotten.
func TestForgottenTokenNeverRunsAgain(t *testing.T) {
	start := time.Unix(1000, 0)
	table := NewTable(start)
	ran := func() work.Answer { return work.Answer{Outcome: fault.Ran} }
	old := Token{Number: 1, Expiry: Window.Milliseconds()}
	checked := start.Add(Window - time.Millisecond)
	table.Run(t.Context(), checked, old, work.Request{}, ran)
	table.Run(t.Context(), start.Add(Window+time.Second), Token{Number: 2, Expiry: 2 * Window.Milliseconds()}, work.Request{}, ran)
	again := table.Run(t.Context(), checked, old, work.Request{}, ran)
	assert.Equal(t, again.Outcome, fault.Unknown)
	assert.Equal(t, again.Failure.Kind, fault.KeyExpired)
}
