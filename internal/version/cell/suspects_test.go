package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

// Guards against a crash that is never counted because its worker was removed, listed
// again under its ID, and missed its first renewal.
func TestCrashOfWorkerThatIsListedAgainCounts(t *testing.T) {
	f := newCrashFleet(t, 8)
	f.keepIDs, f.downFor = true, crashLease+3*time.Second
	f.deadly[firstTaskID()] = true
	f.submit(jobA, 1, nil)
	missed := map[string]bool{}
	for range 600 {
		f.now = f.now.Add(100 * time.Millisecond)
		for _, m := range f.machines {
			incarnation := fmt.Sprint(m.info.ID, m.info.Incarnation)
			if m.info.Incarnation == 1 || m.down(f.now) || missed[incarnation] {
				continue
			}
			missed[incarnation] = true
			f.cell.UpdateWorkers(f.now, f.listed())
			f.cell.MarkUnresponsive(f.now, m.info.ID, time.Time{})
		}
		f.step()
	}
	f.checkGivenUp(firstTaskID())
	assert.Equal(t, len(f.stored.progress[string(jobA)].Suspects), 0)
}

// listed returns the registry's entries of the machines that are up.
func (f *crashFleet) listed() []WorkerInfo {
	var infos []WorkerInfo
	for _, m := range f.machines {
		if !m.down(f.now) {
			infos = append(infos, m.info)
		}
	}
	return infos
}

// Guards against a crash that is forgotten because its worker, still listed, is back after
// more than a minute.
func TestCrashOfListedWorkerCountsAfterAMinute(t *testing.T) {
	f := newCrashFleet(t, 2)
	f.keepIDs, f.listedWhileDown, f.downFor = true, true, lostWorkerRetention+10*time.Second
	f.deadly[firstTaskID()] = true
	f.submit(jobA, 1, nil)
	f.run(10 * time.Minute)
	f.checkGivenUp(firstTaskID())
}

// Guards against giving up an innocent task for one crash and the loss of a rack, because
// the leader that judges the loss has not seen the rack before.
func TestRackLossBeforeTakeOverGivesUpNoTask(t *testing.T) {
	f := newCrashFleet(t, 8)
	for n, m := range f.machines {
		m.info.Rack = fmt.Sprint("r", n/4)
	}
	f.runTime = 1500 * time.Millisecond
	f.submit(jobA, 1, nil)
	f.run(300 * time.Millisecond)
	firstRun := func() *run { return f.cell.jobs[jobA].occurrences[0].steps[0].tasks[0].runs[0] }
	f.crash(f.machine(firstRun().worker.info.ID))
	for f.starts[firstTaskID()] < 2 {
		f.run(100 * time.Millisecond)
	}
	f.loseRack(firstRun().worker.info.Rack)
	f.run(300 * time.Millisecond)
	f.takeOver(2)
	f.run(20 * time.Second)
	assert.Equal(t, f.state(jobA), Completed)
}

// Guards against crashes that no leader counts because each of them opened the task's step
// anew, by an end that it could not store.
func TestCrashesInStepThatEachLeaderOpensCount(t *testing.T) {
	f := newCrashFleet(t, 12)
	for n, m := range f.machines {
		m.info.Labels = []string{map[bool]string{true: "y", false: "x"}[n == 0]}
	}
	f.step()
	id := TaskID{Job: jobA, Step: 1}
	f.deadly[id] = true
	step := jobspec.Step{Count: 1, CPUMillis: 1000, MemoryMB: 100, EstimateMillis: 1000, Label: "y"}
	next := step
	next.Label, next.DependsOn = "x", []int{0}
	spec := jobspec.Job{Steps: []jobspec.Step{step, next}}
	f.cell.Submit(f.now, 1, jobA, &spec, QueueTerms{Queue: "q", Pool: "pool", Attempts: 3, Stretch: 2})
	f.run(500 * time.Millisecond)
	for epoch := int64(2); epoch < 6; epoch++ {
		f.heldWrites = true
		for before := f.crashes[id]; f.crashes[id] == before && f.cell.config.Epoch == epoch-1; {
			f.run(100 * time.Millisecond)
			if f.now.Sub(testStart) > time.Duration(epoch)*10*time.Second {
				break
			}
		}
		f.heldWrites = false
		f.takeOver(epoch)
	}
	f.run(60 * time.Second)
	f.checkGivenUp(id)
}

// Guards against a crash that the next leader can't see because the registry did not tell
// the incarnation of the worker.
func TestCrashCountsIfRegistryDoesNotTellIncarnations(t *testing.T) {
	for term := time.Second; term < 4*time.Second; term += 200 * time.Millisecond {
		t.Run(fmt.Sprint(term), func(t *testing.T) {
			f := newCrashFleet(t, 12)
			f.keepIDs, f.listedWhileDown = true, true
			f.cell = New(f.config(1))
			f.stored.workers = map[WorkerID]WorkerInfo{}
			infos := f.listed()
			for i := range infos {
				infos[i].Incarnation = 0
			}
			f.cell.UpdateWorkers(f.now, infos)
			f.step()
			f.deadly[firstTaskID()] = true
			f.submit(jobA, 1, nil)
			for epoch := int64(2); epoch < 12; epoch++ {
				f.run(term)
				f.takeOver(epoch)
			}
			f.run(60 * time.Second)
			f.checkGivenUp(firstTaskID())
		})
	}
}

// Guards against a crash under a run that the next leader has adopted and does not store.
func TestAdoptedRunOfImplicatedTaskIsSuspect(t *testing.T) {
	f := newCrashFleet(t, 3)
	f.runTime = time.Hour
	f.submit(jobA, 1, nil)
	f.run(500 * time.Millisecond)
	for _, m := range f.machines {
		if len(m.running) > 0 {
			f.crash(m)
		}
	}
	for f.starts[firstTaskID()] < 2 {
		f.run(100 * time.Millisecond)
	}
	f.takeOver(2)
	f.run(300 * time.Millisecond)
	assert.Equal(t, len(f.stored.progress[string(jobA)].Suspects), 1)
	assert.Assert(t, f.cell.jobs[jobA].occurrences[0].steps[0].tasks[0].runs[0].implicated)
}
