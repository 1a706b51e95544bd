package workers_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/version/workers"
)

var free = resource.Vector{CPU: 31999, Memory: 125000, Slots: 8, Connections: 64}

// Guards against a view that trusts old summaries, that promises more than is
// free, or in which a leaving or drained worker gets work again.
func TestBuildAgesAndKeepsLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	from := workers.Sources{
		Now:    now,
		Listed: []workers.Listed{{ID: "b", Address: "b:1"}, {ID: "a", Address: "a:1"}, {ID: "c", Address: "c:1"}},
		Owned:  []workers.Owned{{Worker: "a", Free: free, Ready: true, Leaving: true}},
		Heard: map[ident.WorkerID]workers.Heard{
			"b": {Summary: workers.Summarize(workers.Owned{Worker: "b", Free: free, Ready: true, Health: workers.Probing}), Arrived: now},
			"c": {Summary: workers.Summarize(workers.Owned{Worker: "c", Free: free, Ready: true}), Arrived: now},
		},
		Drained: map[ident.WorkerID]bool{"c": true},
	}
	view := workers.Build(nil, from)
	a, b, c := view.List[0], view.List[1], view.List[2]
	assert.Assert(t, a.Leaving && a.Ready && b.Ready && b.Health == workers.Probing)
	assert.Assert(t, b.Free.Fits(free) && b.Free.Slots == 8 && b.Free.CPU > 31900)
	assert.Assert(t, c.Drained && !c.Ready)

	from.Owned[0].Leaving = false
	from.Drained = nil
	from.Now = now.Add(31 * time.Second)
	view = workers.Build(view, from)
	a, b, c = view.List[0], view.List[1], view.List[2]
	assert.Assert(t, a.Leaving, "a leaving worker came back")
	assert.Assert(t, !b.Ready && !c.Ready, "an old summary was used")
	from.Listed[1].Address = "a:2"
	view = workers.Build(view, from)
	assert.Assert(t, !view.List[0].Leaving, "a new worker of that name is taken for the old one")
}

// Guards against summaries of unchanged workers each second, and against a
// change of state or an unchanged worker that is not told in time.
func TestChangedSummaries(t *testing.T) {
	now := time.Unix(1000, 0)
	owned := []workers.Owned{{Worker: "a", Free: free, Ready: true}, {Worker: "b", Free: free, Ready: true}}
	changed, sent := workers.Changed(nil, owned, now)
	assert.Equal(t, len(changed), 2)
	owned[0].Free.CPU -= 100
	changed, sent = workers.Changed(sent, owned, now.Add(time.Second))
	assert.Equal(t, len(changed), 0)
	owned[0].Leaving = true
	changed, sent = workers.Changed(sent, owned, now.Add(2*time.Second))
	assert.Equal(t, len(changed), 1)
	assert.Assert(t, changed[0].Expand().Leaving)
	changed, _ = workers.Changed(sent, owned, now.Add(10*time.Second))
	assert.Equal(t, len(changed), 1)
	assert.Equal(t, changed[0].Worker, ident.WorkerID("b"))
}
