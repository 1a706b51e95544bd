package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/limit"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/rules"
)

// A caller with many requests must not shut out another caller that shares one
// counter with it. With a single row of counters, this happened to one pair of
// callers in a thousand.
func TestCallerWithSharedCounterIsAdmitted(t *testing.T) {
	start := time.Unix(1000, 0)
	members := func() int { return 1 }
	g := NewGate(start, publish.New(&rules.Set{}), limit.NewServiceTimes(start), limit.NewRetryBudget(), members, 100)
	flood := g.countersOf("large")
	small := ident.CallerName("")
	for n := 0; small == ""; n++ {
		name := ident.CallerName(fmt.Sprint("small-", n))
		if found := g.countersOf(name); found[0] == flood[0] && found != flood {
			small = name
		}
	}
	service := rules.Service{Name: "check"}
	for {
		if _, err := g.Admit(work.Request{Caller: "large", Remaining: time.Second}, service, start); err != nil {
			break
		}
	}
	_, err := g.Admit(work.Request{Caller: small, Remaining: time.Second}, service, start)
	assert.NilError(t, err)
}
