package entry_test

import (
	"testing"
	"time"

	"poplarvalve/test/fleet"
)

// Guards against a leader that takes the leases of a silent worker as over by its own clock and
// starts their tasks again, although the next leader has extended these leases.
func TestLeaderWithoutLogStartsNoTaskWhoseLeaseNextLeaderExtended(t *testing.T) {
	const shortTask, longTask = time.Second, 18 * time.Second
	// cutBetween is longer than a lease outlasts the start authority of a renewal, and short
	// enough for the next leader to reach the worker before its lease ends.
	const cutBetween = 1700 * time.Millisecond
	d := deployWithLeases(t, [3]time.Duration{longTask, shortTask, shortTask})
	d.submitLongJob(jobID(1))
	time.Sleep(5 * shortTask) // The runs are no suspects of a crash any more.
	leader := d.leader()
	others := removeInstance(d.entries, leader)
	addresses := func(instances []*instance, workers ...*fleet.Worker) (all []string) {
		for _, i := range instances {
			all = append(all, i.linkServer.Listener.Addr().String())
		}
		for _, w := range workers {
			all = append(all, w.Address())
		}
		return all
	}
	d.network.partition(addresses([]*instance{leader}), addresses(nil, d.workers[0]))
	time.Sleep(cutBetween)
	d.network.partition(addresses([]*instance{leader, others[0]}, d.workers[1]),
		append(addresses(others[1:], d.workers[0], d.workers[2]), d.log.Address()))
	time.Sleep(4 * time.Second)
	d.checkNoOverlap()
}
