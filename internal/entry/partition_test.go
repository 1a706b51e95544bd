package entry_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"poplarvalve/test/fleet"
)

const (
	// partitionInstances is the number of instances in the tests of this file.
	partitionInstances = 5
	// partitionTasks is the number of tasks of a job of submitLongJob. They don't fit on
	// two workers, so that each worker gets some.
	partitionTasks = 11
	// partitionTaskCPU is the CPU of each of these tasks, in thousandths of a core.
	partitionTaskCPU = 3000
	// partitionMaxLease is the longest lease that the workers grant.
	partitionMaxLease = 6 * time.Second
	// nextLeaderWait is longer than the next leader waits for a silent worker.
	nextLeaderWait = 10 * time.Second
)

// deployWithLeases starts a deployment whose workers end their runs when their leases
// expire, and waits until all instances can serve and the term names them as voters.
// durations holds the run time of the
// tasks on each of the three workers.
func deployWithLeases(t *testing.T, durations [3]time.Duration) *deployment {
	d := deploy(t, 0, 0)
	for i, w := range d.workers {
		w.RunDuration = durations[i]
		w.EnforceLeases(partitionMaxLease)
	}
	for range partitionInstances {
		d.start()
	}
	for _, i := range d.entries {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if i.entry.Ready() {
				return poll.Success()
			}
			return poll.Continue("an instance is not ready")
		}, poll.WithTimeout(waitTimeout))
	}
	d.awaitVoters(partitionInstances)
	return d
}

// awaitVoters waits until the newest term record of cell 0 names a number of voters.
func (d *deployment) awaitVoters(count int) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		encoded, err := json.Marshal(d.leader().entry.Dump())
		assert.NilError(d.t, err)
		var state struct {
			Cell struct {
				Voters []any `json:"voters"`
			} `json:"cell-0"`
		}
		assert.NilError(d.t, json.Unmarshal(encoded, &state))
		if len(state.Cell.Voters) == count {
			return poll.Success()
		}
		return poll.Continue("%d voters", len(state.Cell.Voters))
	}, poll.WithTimeout(waitTimeout))
}

// submitLongJob submits a job of partitionTasks tasks and waits until all of them run.
func (d *deployment) submitLongJob(id string) {
	d.t.Helper()
	d.submitBody(id, fmt.Sprintf(
		`{"spec":"x","steps":[{"count":%d,"cpu":%d,"mem_mb":100,"estimate_ms":20000}]}`, partitionTasks, partitionTaskCPU))
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		started := 0
		for _, w := range d.workers {
			started += w.StartedTasks()
		}
		if started == partitionTasks {
			return poll.Success()
		}
		return poll.Continue("%d tasks have started", started)
	}, poll.WithTimeout(waitTimeout))
}

// checkLongJobRanOnce checks that each task of a job of submitLongJob was completed once
// and never ran on two workers at a time.
func (d *deployment) checkLongJobRanOnce(id string) {
	d.t.Helper()
	for index := range partitionTasks {
		task := fmt.Sprintf("%s.0.0.%d", id, index)
		done := 0
		for _, w := range d.workers {
			done += w.DoneCount(task)
		}
		assert.Check(d.t, done == 1, "task %s was completed %d times", task, done)
	}
	d.checkNoOverlap()
}

// checkNoOverlap checks that no task ran on two workers at a time.
func (d *deployment) checkNoOverlap() {
	d.t.Helper()
	overlapping := d.overlaps.OverlappingTasks()
	assert.Check(d.t, len(overlapping) == 0, "tasks that ran in two places: %v", overlapping)
}

// partitionOf puts the leader, one other instance and the first worker on the first side
// of a partition, and the other instances and workers on the second.
func (d *deployment) partitionOf(leader *instance) (leaderSide, otherSide []*instance, leaderSideAddresses, otherSideAddresses []string) {
	others := removeInstance(d.entries, leader)
	leaderSide, otherSide = []*instance{leader, others[0]}, others[1:]
	addresses := func(instances []*instance, workers []*fleet.Worker) (all []string) {
		for _, i := range instances {
			all = append(all, i.linkServer.Listener.Addr().String())
		}
		for _, w := range workers {
			all = append(all, w.Address())
		}
		return all
	}
	return leaderSide, otherSide, addresses(leaderSide, d.workers[:1]), addresses(otherSide, d.workers[1:])
}

// The leader, another instance and a worker are on one side of a partition, the log and
// all others on the other side. If that leader went on extending the leases of its worker,
// the next leader would start the tasks again that still run there.
func TestLeaderWithoutLogExtendsNoLeaseThatNextLeaderWaitedOut(t *testing.T) {
	const shortTask, longTask = time.Second, 18 * time.Second
	d := deployWithLeases(t, [3]time.Duration{longTask, shortTask, shortTask})
	d.submitLongJob(jobID(1))
	_, otherSide, leaderSideAddresses, otherSideAddresses := d.partitionOf(d.leader())
	d.network.partition(leaderSideAddresses, append(otherSideAddresses, d.log.Address()))
	onOtherSide := &deployment{t: t, entries: otherSide}
	onOtherSide.leader()
	time.Sleep(nextLeaderWait)
	d.checkNoOverlap()
	d.network.partition()
	d.awaitState(jobID(1), "completed")
	d.checkLongJobRanOnce(jobID(1))
}

// The log is away for all instances, for longer than any lease. No other leader can have
// begun, so that the leases of running tasks must be extended all the while.
func TestRunningTasksOutlastLongLogOutage(t *testing.T) {
	const logOutage, duration = 12 * time.Second, 15 * time.Second
	d := deployWithLeases(t, [3]time.Duration{duration, duration, duration})
	d.submitLongJob(jobID(1))
	d.log.SetDown(true)
	time.Sleep(logOutage)
	d.log.SetDown(false)
	d.awaitState(jobID(1), "completed")
	d.checkLongJobRanOnce(jobID(1))
	for index := range partitionTasks {
		task := fmt.Sprintf("%s.0.0.%d", jobID(1), index)
		started := 0
		for _, w := range d.workers {
			started += w.StartedCount(task)
		}
		assert.Check(t, started == 1, "task %s was started %d times", task, started)
	}
}
