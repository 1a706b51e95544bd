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

// Guards against a flood of one caller that leaves no room for another one that
// shares a counter with it: one pair of callers in a thousand did.
func TestSharedCounterLeavesRoom(t *testing.T) {
	start := time.Unix(1000, 0)
	members := func() int { return 1 }
	g := NewGate(start, publish.New(&rules.Set{}), limit.NewTimes(start), limit.NewBudget(), members, 100)
	flood := g.countersOf("large")
	small := ident.CallerName("")
	for n := 0; small == ""; n++ {
		name := ident.CallerName(fmt.Sprint("small-", n))
		if own := g.countersOf(name); own[0] == flood[0] && own != flood {
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
