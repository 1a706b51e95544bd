package cell

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/evacuation"
)

// newZonedCell returns a cell that follows evacuations, with one worker in each of the zones a,
// b, ... in turn.
func newZonedCell(t *testing.T, workers, zones int) *movingCell {
	m := newMovingCell(t, workers)
	for i := range m.infos {
		m.infos[i].Zone = string(rune('a' + i%zones))
	}
	m.config.Evacuations = true
	m.UpdateWorkers(m.now, m.infos)
	m.evacuate()
	return m
}

// evacuate evacuates the given zones and no others.
func (m *movingCell) evacuate(zones ...string) {
	var requests []evacuation.Request
	for _, zone := range zones {
		requests = append(requests, evacuation.Request{Zone: zone})
	}
	m.SetEvacuations(evacuation.FromNewest(requests, 1))
}

// startedIn returns the number of starts in a zone.
func (m *movingCell) startedIn(zone string) int {
	count := 0
	for _, order := range m.starts {
		if m.workers[order.Worker].info.Zone == zone {
			count++
		}
	}
	return count
}

// Load: more tasks than the zones that stay have room for, so that each pass is tempted by the
// room in the evacuated one. A start there breaks what the operator was promised.
func TestNothingStartsInEvacuatedZone(t *testing.T) {
	m := newZonedCell(t, 6, 3)
	m.evacuate("b")
	m.submitStep(jobA, jobspec.Step{Count: 12, CPUMillis: 5000, MemoryMB: 100, EstimateMillis: 1000})
	m.advance(2 * time.Second)
	assert.Equal(t, len(m.starts), 4)
	assert.Equal(t, m.startedIn("b"), 0)
	assert.Equal(t, m.dumpEvacuations().(map[string]any)["waiting_tasks"], 8)
	m.evacuate("a", "c")
	m.advance(time.Second)
	assert.Equal(t, m.startedIn("b"), 2, "the zone is back while the two others are evacuated")
	assert.Equal(t, len(m.starts), 6)
}

// A leader that doesn't know which zones are evacuated must start nothing anywhere: an earlier
// leader may have known of a request.
func TestNothingStartsWhileEvacuationsAreUnknown(t *testing.T) {
	m := newZonedCell(t, 3, 3)
	m.SetEvacuations(nil)
	m.submitStep(jobA, jobspec.Step{Count: 1, CPUMillis: 5000, MemoryMB: 100, EstimateMillis: 1000})
	m.advance(4 * time.Second)
	assert.Equal(t, len(m.starts), 0)
	assert.Assert(t, slices.ContainsFunc(m.events, func(e DecisionEvent) bool {
		return e.Event == "task waiting" && e.Outcome == "the evacuated zones are not known"
	}))
	m.evacuate()
	m.advance(time.Second)
	assert.Equal(t, len(m.starts), 1)
}

// A start that was decided before the request and waits until it is stored must not be sent
// after it.
func TestPlannedStartIsWithdrawnFromEvacuatedZone(t *testing.T) {
	m := newZonedCell(t, 2, 2)
	m.submitStep(jobA, jobspec.Step{Count: 1, CPUMillis: 5000, MemoryMB: 100, EstimateMillis: 1000})
	m.advance(200 * time.Millisecond)
	assert.Equal(t, len(m.starts), 1)
	first := m.starts[0]
	task := m.jobs[jobA].findTask(first.Task)
	task.mayHaveStarted = true // The next start waits until it is stored.
	m.running[first.Worker] = nil
	m.ends[first.Worker]++
	m.report(first.Worker, RunEnd{Number: m.ends[first.Worker], Task: first.Task, Run: first.Run, Reason: EndFailed})
	effects := m.TakeEffects(m.now)
	assert.Equal(t, len(effects.Starts), 0)
	assert.Equal(t, len(task.runs), 1)
	planned := task.runs[0].worker.info
	m.evacuate(planned.Zone)
	assert.Assert(t, effects.Write != nil)
	m.MarkStored(m.now, effects.Write.Number)
	m.starts = nil
	m.advance(2 * time.Second)
	assert.Equal(t, m.startedIn(planned.Zone), 0)
}

// What runs in an evacuated zone stays: a stop would lose its work, and a long-running task
// would be away.
func TestRunsStayInEvacuatedZone(t *testing.T) {
	m := newZonedCell(t, 2, 2)
	m.submitStep(jobA, jobspec.Step{Count: 2, CPUMillis: 5000, MemoryMB: 100, LongRunning: true})
	m.advance(time.Second)
	assert.Equal(t, len(m.starts), 2)
	m.evacuate("a")
	m.advance(3 * time.Second)
	assert.Equal(t, len(m.stops), 0)
}

// Workers of a zone that is back are cold. Tasks that went there at once, since all of its room
// is free, would take several times as long as elsewhere.
func TestColdWorkersAreLastChoice(t *testing.T) {
	m := newZonedCell(t, 4, 2)
	for i := range m.infos {
		if m.infos[i].Zone == "a" {
			m.infos[i].ColdUntil = m.now.Add(10 * time.Second)
		}
	}
	m.UpdateWorkers(m.now, m.infos)
	step := jobspec.Step{Count: 2, CPUMillis: 5000, MemoryMB: 100, EstimateMillis: 1000}
	m.submitStep(jobA, step)
	m.advance(300 * time.Millisecond)
	assert.Equal(t, m.startedIn("b"), 2)
	m.submitStep("00000000000000ab", step)
	m.advance(300 * time.Millisecond)
	assert.Equal(t, m.startedIn("a"), 2, "cold workers are better than none")
}
