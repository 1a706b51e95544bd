package fairness_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/fairness"
	"poplarvalve/internal/version/rules"
)

var now = time.Unix(100000, 0)

// Classes go first in their order. Within a class, a team below its reserve
// goes first, then the smaller weighted share, then the longer wait. Otherwise
// a large team could delay a small one with many jobs.
func TestOrderByClassReserveShareAndWait(t *testing.T) {
	total := resource.Vector{CPU: 100000, Memory: 100000}
	small := rules.Team{Weight: 1, Reserve: resource.Vector{CPU: 2000}}
	large := rules.Team{Weight: 4}
	below := fairness.StandingOf(small, resource.Vector{CPU: 1000, Memory: 90000}, total)
	light := fairness.StandingOf(large, resource.Vector{CPU: 40000}, total)
	heavy := fairness.StandingOf(small, resource.Vector{CPU: 20000}, total)
	assert.Assert(t, below.BelowReserve && !heavy.BelowReserve)
	order := []fairness.WaitingWork{
		{Class: work.Urgent, Standing: heavy, Since: now},
		{Class: work.Live, Standing: heavy, Since: now},
		{Class: work.Batch, Standing: below, Since: now},
		{Class: work.Batch, Standing: light, Since: now.Add(-time.Second)},
		{Class: work.Batch, Standing: light, Since: now},
		{Class: work.Batch, Standing: heavy, Since: now.Add(-time.Minute)},
	}
	grant := fairness.Grant{Time: now, Number: 1}
	for i := range order {
		for j := range order {
			assert.Equal(t, fairness.Less(order[i], order[j], grant), i < j, "%d %d", i, j)
		}
	}
}

// Batch work that has waited long must not wait forever behind urgent work: it
// gets one in 16 grants, but not more than that. Aged batch work also goes
// before feeds.
func TestAgedWorkGetsOneInSixteenGrants(t *testing.T) {
	old := fairness.WaitingWork{Class: work.Batch, Standing: fairness.Standing{Share: 9}, Since: now.Add(-time.Hour)}
	urgent := fairness.WaitingWork{Class: work.Urgent, Since: now}
	first := 0
	for number := range uint64(160) {
		if fairness.Less(old, urgent, fairness.Grant{Time: now, Number: number}) {
			first++
		}
	}
	assert.Equal(t, first, 10)
	feed := fairness.WaitingWork{Class: work.Feed, Since: now}
	assert.Assert(t, fairness.Less(old, feed, fairness.Grant{Time: now, Number: 1}))
}

// Batch work must not use capacity that is reserved for another team, and no
// team may exceed its quota. Urgent work may use reserved capacity.
func TestBatchWorkRespectsReserveAndQuota(t *testing.T) {
	team := rules.Team{Reserve: resource.Vector{CPU: 4000}, Quota: resource.Vector{CPU: 8000}}
	unclaimed := fairness.Unclaimed(team, resource.Vector{CPU: 1000, Slots: 3})
	assert.Equal(t, unclaimed, resource.Vector{CPU: 3000})
	free, demand := resource.Vector{CPU: 5000, Memory: 10}, resource.Vector{CPU: 2500, Memory: 10}
	assert.Assert(t, !fairness.LeavesReserve(work.Batch, free, unclaimed, demand))
	assert.Assert(t, fairness.LeavesReserve(work.Urgent, free, unclaimed, demand))
	assert.Assert(t, fairness.WithinQuota(team, resource.Vector{CPU: 5500, Memory: 1 << 30}, demand))
	assert.Assert(t, !fairness.WithinQuota(team, resource.Vector{CPU: 5501}, demand))
}

// Sorting requires a strict weak order, for aged grants as for others.
func TestLessIsStrictWeakOrder(t *testing.T) {
	var all []fairness.WaitingWork
	for i := range 200 {
		all = append(all, fairness.WaitingWork{
			Class:    work.Class(i % 4),
			Standing: fairness.Standing{Share: float64(i % 3), BelowReserve: i%5 == 0},
			Since:    now.Add(-time.Duration(i*7%40) * time.Minute),
		})
	}
	for number := range uint64(2) {
		grant := fairness.Grant{Time: now, Number: number}
		slices.SortStableFunc(all, func(a, b fairness.WaitingWork) int {
			switch {
			case fairness.Less(a, b, grant):
				return -1
			case fairness.Less(b, a, grant):
				return 1
			default:
				return 0
			}
		})
		for i := range all {
			for j := range i {
				assert.Assert(t, !fairness.Less(all[i], all[j], grant))
			}
		}
	}
}
