package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
	assert.Equal(t, len(f.stored.progress[jobA].Suspects), 0)
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
