package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/operator"
)

// partitionSeeds are the seeds of partitions that CI runs: tasks ran twice with leaders that
// extended leases for as long as nobody told them of a later term.
var partitionSeeds = []uint64{8, 14, 16}

const (
	// warmUpDuration is the time from the start of the first long tasks to the first
	// partition, and healedDuration the time after each partition.
	warmUpDuration = 2 * time.Second
	healedDuration = 3 * time.Second
	// minPartition and maxPartition bound the duration of a partition. The shortest is
	// as long as the longest lease.
	minPartition = 6 * time.Second
	maxPartition = 16 * time.Second
	// longTaskDuration is the run time of the tasks of long jobs. They run for longer
	// than the next leader waits for workers that don't answer.
	longTaskDuration = 16 * time.Second
	// longJobPrefix begins the identifiers of long jobs, and longJobTasks is the number
	// of their tasks.
	longJobPrefix = 'a'
	longJobTasks  = 6
	// firstLongJobs is the number of long jobs at the beginning, when each worker has room
	// for firstSlots tasks, so that each runs long tasks. Another one follows each
	// longJobPause.
	firstLongJobs = 2
	firstSlots    = 2
	longJobPause  = 5 * time.Second
	// submitters is the number of goroutines that submit other jobs, so that one that
	// waits for an answer does not hold up all.
	submitters = 4
)

var partitionSize = size{instances: 5, workers: 6, maxSlots: 8, submissionPause: 150 * time.Millisecond}

// durationOf returns the run time of a task.
func durationOf(task string) time.Duration {
	if task[0] == longJobPrefix {
		return longTaskDuration
	}
	return taskDuration
}

// A partition separates instances and workers from others for longer than all leases, in
// one direction or both, while the log is away for one side, for both, or for each in turn.
// Some instances are killed or paused meanwhile. A leader that goes on extending leases
// while another one begins would have tasks run twice. As with other faults, no accepted
// job may be lost and no task may run twice, and all workers must be used again.
//
// The environment variables SOAK_FROM and SOAK_COUNT choose other seeds.
func TestTasksRunOnceAcrossPartitions(t *testing.T) {
	program := buildDaemon(t)
	for _, seed := range chosenSeeds(partitionSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, program, seed, partitionSize)
			d.network = newNetwork(d)
			d.start()
			for _, w := range d.workers {
				d.changeSlots(w, firstSlots)
			}
			submitted := d.submitDuringPartitions()
			d.endFaults()
			submitted.accepted = append(submitted.accepted, d.configuration.checkLastChange(d.newRandom("last change"))...)
			d.submitUntilAllStart(&submitted.accepted)
			d.checkRuns(submitted)
		})
	}
}

// side is a side of a partition.
type side int

const (
	// leaderSide is the side of the leader at the beginning, and otherSide the other.
	leaderSide side = iota
	otherSide
	// bothSides is where both sides reach the log, and noSide where none does.
	bothSides
	noSide
)

// partition is a random partition.
type partition struct {
	duration time.Duration
	// instances is the number of instances beside the leader on its side, and order
	// their random order. workers holds the side of each worker.
	instances int
	order     []int
	workers   []side
	// oneWay is set if only what sender sends does not arrive.
	oneWay bool
	sender side
	// log holds the places of the log one after the other, each for the same time.
	log []side
	// refuses is set if the log answers all calls with an error where it is on noSide.
	refuses bool
	// ends are the instances that are killed, and pauses those that are paused.
	ends, pauses []instanceFault
}

// instanceFault is a fault of one instance.
type instanceFault struct {
	instance        int
	after, duration time.Duration
}

// newPartition returns a random partition.
func newPartition(random *rand.Rand, s size) partition {
	p := partition{
		duration:  randomDuration(random, minPartition, maxPartition),
		instances: random.IntN(s.instances - 1),
		order:     random.Perm(s.instances),
		workers:   make([]side, s.workers),
		oneWay:    random.IntN(4) == 0,
		sender:    side(random.IntN(2)),
		refuses:   random.IntN(2) == 0,
	}
	onLeaderSide := 1 + random.IntN(s.workers-1)
	for place, worker := range random.Perm(s.workers) {
		if place >= onLeaderSide {
			p.workers[worker] = otherSide
		}
	}
	places := [][]side{{otherSide}, {otherSide}, {otherSide}, {leaderSide}, {bothSides}, {noSide}, {noSide, otherSide},
		{leaderSide, otherSide}, {otherSide, leaderSide}, {otherSide, noSide, leaderSide}}
	p.log = places[random.IntN(len(places))]
	faults := func(count int) (faults []instanceFault) {
		for range count {
			faults = append(faults, instanceFault{random.IntN(s.instances), randomDuration(random, 0, p.duration), randomDuration(random, 0, 3*time.Second)})
		}
		return faults
	}
	p.ends, p.pauses = faults(random.IntN(2)*random.IntN(3)), faults(random.IntN(3)/2)
	return p
}

func randomDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

// isLost reports whether what one place sends to another does not arrive.
func (p *partition) isLost(from, to side) bool {
	if from == noSide || to == noSide {
		return true
	}
	return from != to && from != bothSides && to != bothSides && (!p.oneWay || from == p.sender)
}

// mode returns the mode of a path between two places.
func (p *partition) mode(from, to side) proxyMode {
	switch requestsLost, responsesLost := p.isLost(from, to), p.isLost(to, from); {
	case requestsLost && responsesLost:
		return blocked
	case requestsLost:
		return responsesOnly
	case responsesLost:
		return requestsOnly
	}
	return passThrough
}

// sides returns the side of each instance, for a given leader.
func (p *partition) sides(leader int) []side {
	sides := slices.Repeat([]side{otherSide}, len(p.order))
	sides[leader] = leaderSide
	others := slices.DeleteFunc(slices.Clone(p.order), func(index int) bool { return index == leader })
	for _, index := range others[:p.instances] {
		sides[index] = leaderSide
	}
	return sides
}

// submitDuringPartitions submits jobs while there are partitions. It returns the jobs
// after the last one has ended.
func (d *deployment) submitDuringPartitions() (submitted jobs) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	submitJob := func(id string, number int, body string) {
		accepted, refused := d.submit(ctx, id, number, body)
		mu.Lock()
		defer mu.Unlock()
		if accepted {
			submitted.accepted = append(submitted.accepted, id)
		}
		if refused {
			submitted.refused = append(submitted.refused, id)
		}
	}
	longJobs := 0
	for deadline := time.Now().Add(completionTimeout); len(submitted.accepted) < firstLongJobs && time.Now().Before(deadline); longJobs++ {
		submitJob(longJob(longJobs)) // Refused while the instances start.
	}
	d.awaitStarts(firstLongJobs * longJobTasks)
	for _, w := range d.workers {
		d.changeSlots(w, d.size.maxSlots)
	}
	var work sync.WaitGroup
	for first := range submitters {
		work.Go(func() {
			for number := first; ctx.Err() == nil; number += submitters {
				submitJob(fmt.Sprintf("%016x", number), number, usualJob)
				time.Sleep(submitters * d.size.submissionPause)
			}
		})
	}
	work.Go(func() {
		for number := longJobs; ctx.Err() == nil; number++ {
			select {
			case <-time.After(longJobPause):
				submitJob(longJob(number))
			case <-ctx.Done():
			}
		}
	})
	random := d.newRandom("partitions")
	time.Sleep(warmUpDuration)
	for range 1 + random.IntN(2) {
		d.partition(newPartition(random, d.size))
		time.Sleep(healedDuration)
	}
	cancel()
	work.Wait()
	return submitted
}

// longJob returns the identifier, the number and the body of a long job.
func longJob(number int) (id string, sameNumber int, body string) {
	return fmt.Sprintf("%c%015x", longJobPrefix, number), number,
		fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":%d,"mem_mb":100,"estimate_ms":%d}]}`, longJobTasks, taskCPU, longTaskDuration.Milliseconds())
}

// awaitStarts waits until a number of tasks have started.
func (d *deployment) awaitStarts(count int) {
	for deadline := time.Now().Add(completionTimeout); ; time.Sleep(50 * time.Millisecond) {
		started := 0
		for _, starts := range d.history.startsByWorker() {
			started += starts
		}
		if started >= count {
			return
		}
		if time.Now().After(deadline) {
			d.report("%d tasks have started, want %d", started, count)
			return
		}
	}
}

// partition separates the two sides of a partition for its duration.
func (d *deployment) partition(p partition) {
	defer d.disruptions.start(everything)()
	leader := d.currentLeader()
	sides := p.sides(leader)
	d.journal("n%d leads; partition %+v, instances %v", leader, p, sides)
	var faults sync.WaitGroup
	for _, end := range p.ends {
		faults.Go(func() {
			time.Sleep(end.after)
			d.endProcess(d.instances[end.instance], syscall.SIGKILL)
			time.Sleep(end.duration / 4)
			d.startProcess(d.instances[end.instance])
		})
	}
	for _, pause := range p.pauses {
		faults.Go(func() {
			time.Sleep(pause.after)
			process := d.instances[pause.instance].current()
			d.signalProcess(d.instances[pause.instance], process, syscall.SIGSTOP)
			time.Sleep(pause.duration)
			d.signalProcess(d.instances[pause.instance], process, syscall.SIGCONT)
		})
	}
	for _, log := range p.log {
		d.journal("the log is on side %d", log)
		d.log.SetDown(log == noSide && p.refuses)
		d.cut(&p, sides, log)
		time.Sleep(p.duration / time.Duration(len(p.log)))
	}
	d.log.SetDown(false)
	d.cut(&partition{workers: make([]side, len(p.workers))}, make([]side, len(sides)), bothSides)
	d.journal("the partition has ended")
	faults.Wait()
}

// cut sets the mode of all paths for a partition.
func (d *deployment) cut(p *partition, sides []side, log side) {
	for from, instance := range d.instances {
		if log != noSide || !p.refuses {
			instance.proxy.setPathMode(instance.proxy.path, p.mode(sides[from], log))
		}
		for to, link := range d.network.links[from] {
			d.network.linkProxies[from].setPathMode(link, p.mode(sides[from], sides[to]))
		}
		for worker, paths := range d.network.toWorkers {
			d.network.workerProxies[worker].setPathMode(paths[from], p.mode(sides[from], p.workers[worker]))
		}
	}
}

// currentLeader returns the index of an instance that leads the cell, or 0.
func (d *deployment) currentLeader() int {
	for index, instance := range d.instances {
		state := map[string]json.RawMessage{}
		response, err := d.client.Get("http://" + instance.ip + ":8164" + operator.PathDump)
		if err != nil {
			continue
		}
		err = json.NewDecoder(response.Body).Decode(&state)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && state["cell-0"] != nil {
			return index
		}
	}
	return 0
}

// A one-way partition that let nothing or everything through would hide the faults of
// those that hear the others and are not heard.
func TestOneWayPartitionLosesOnlyWhatSenderSends(t *testing.T) {
	p := &partition{oneWay: true, sender: otherSide}
	assert.Equal(t, p.mode(leaderSide, otherSide), requestsOnly)
	assert.Equal(t, p.mode(otherSide, leaderSide), responsesOnly)
	assert.Equal(t, p.mode(otherSide, otherSide), passThrough)
	assert.Equal(t, p.mode(otherSide, bothSides), passThrough)
	assert.Equal(t, p.mode(leaderSide, noSide), blocked)
	p.oneWay = false
	assert.Equal(t, p.mode(leaderSide, otherSide), blocked)
}
