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

// Check must refuse a token after its window, a token that was changed on its
// way, and a token that another incarnation issued. A changed token has a wrong
// signature, like the one that the second issuer, which has another key, checks
// here.
func TestCheckRefusesForeignChangedAndExpiredTokens(t *testing.T) {
	now := time.Unix(1000, 0)
	issuer := NewIssuer(ident.Incarnation{Instance: "entry.1", Nonce: 7}, now)
	parsed, err := Parse(issuer.Issue(now, 1)[0])
	assert.NilError(t, err)
	assert.NilError(t, issuer.Check(parsed, now.Add(Validity-time.Millisecond)))
	expired := issuer.Check(parsed, now.Add(Validity))
	assert.Equal(t, fault.KindOf(expired), fault.KeyExpired)
	assert.Equal(t, fault.From(expired).Outcome, fault.Unknown)
	otherIssuer := NewIssuer(parsed.Issuer, now)
	assert.Equal(t, fault.KindOf(otherIssuer.Check(parsed, now)), fault.BadRequest)
}

// If repeats of a request arrive at the same time, only one of them may run and
// the others must get its answer. A repeat with another body must be refused
// and not get the answer of the first request.
func TestTokenRunsOneRequest(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := NewTable(time.Now())
		token := Token{Number: 1, Expiry: Validity.Milliseconds()}
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

// A token may expire after it was checked and before it is looked up in the
// table. If its entry was swept in the meantime, the table no longer knows that
// the request ran. It must then refuse the token and not run the request again.
func TestSweptTokenNeverRunsAgain(t *testing.T) {
	start := time.Unix(1000, 0)
	table := NewTable(start)
	ran := func() work.Answer { return work.Answer{Outcome: fault.Ran} }
	sweptToken := Token{Number: 1, Expiry: Validity.Milliseconds()}
	checked := start.Add(Validity - time.Millisecond)
	table.Run(t.Context(), checked, sweptToken, work.Request{}, ran)
	table.Run(t.Context(), start.Add(Validity+time.Second), Token{Number: 2, Expiry: 2 * Validity.Milliseconds()}, work.Request{}, ran)
	again := table.Run(t.Context(), checked, sweptToken, work.Request{}, ran)
	assert.Equal(t, again.Outcome, fault.Unknown)
	assert.Equal(t, again.Failure.Kind, fault.KeyExpired)
}
