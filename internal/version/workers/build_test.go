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

// A view must not use summaries that are too old, and must not show more free
// capacity than there is. A drained worker must not be ready, and a worker that was
// leaving must stay so until a new worker is listed under its name.
func TestBuildIgnoresOldSummariesAndKeepsLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	from := workers.Sources{
		Now:    now,
		Listed: []workers.ListedWorker{{ID: "b", Address: "b:1"}, {ID: "a", Address: "a:1"}, {ID: "c", Address: "c:1"}},
		Owned:  []workers.OwnedWorker{{Worker: "a", Free: free, Ready: true, Leaving: true}},
		Summaries: map[ident.WorkerID]workers.ReceivedSummary{
			"b": {Summary: workers.Summarize(workers.OwnedWorker{Worker: "b", Free: free, Ready: true, Health: workers.Probing}), ReceivedAt: now},
			"c": {Summary: workers.Summarize(workers.OwnedWorker{Worker: "c", Free: free, Ready: true}), ReceivedAt: now},
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
	assert.Assert(t, a.Leaving, "a leaving worker is no longer marked as leaving")
	assert.Assert(t, !b.Ready && !c.Ready, "a summary older than 30 s was used")
	from.Listed[1].Address = "a:2"
	view = workers.Build(view, from)
	assert.Assert(t, !view.List[0].Leaving, "a new worker at another address is taken for the leaving one of the same name")
}

// Summaries of workers that hardly changed must not be sent each second, which would
// exceed the traffic limit. A change of state must be sent at once, and an unchanged
// worker after a refresh period.
func TestOnlySignificantChangesAreSent(t *testing.T) {
	now := time.Unix(1000, 0)
	owned := []workers.OwnedWorker{{Worker: "a", Free: free, Ready: true}, {Worker: "b", Free: free, Ready: true}}
	changed, sent := workers.SelectChanged(nil, owned, now)
	assert.Equal(t, len(changed), 2)
	owned[0].Free.CPU -= 100
	changed, sent = workers.SelectChanged(sent, owned, now.Add(time.Second))
	assert.Equal(t, len(changed), 0)
	owned[0].Leaving = true
	changed, sent = workers.SelectChanged(sent, owned, now.Add(2*time.Second))
	assert.Equal(t, len(changed), 1)
	assert.Assert(t, changed[0].Expand().Leaving)
	changed, _ = workers.SelectChanged(sent, owned, now.Add(10*time.Second))
	assert.Equal(t, len(changed), 1)
	assert.Equal(t, changed[0].Worker, ident.WorkerID("b"))
}
