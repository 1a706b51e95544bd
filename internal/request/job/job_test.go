package job

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/jobs"
	"poplarvalve/internal/version/rules"
	"poplarvalve/internal/version/workers"
)

// The seed is fixed so that every run gives the same verdict; -rapid.seed
// replaces it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

var (
	self  = ident.Incarnation{Instance: "a", Nonce: 1}
	epoch = time.UnixMilli(1_700_000_000_000)
	small = resource.Vector{CPU: 1000, Slots: 1}
)

// build folds records into a table, a second apart.
func build(bodies ...record.Record) *jobs.Table {
	table, _ := jobs.Apply(nil, 1, record.Envelope{Writer: self, Record: record.Home{}})
	for i, body := range bodies {
		at := epoch.Add(time.Duration(i) * time.Second)
		table, _ = jobs.Apply(table, table.Offset+1, record.Envelope{Writer: self, At: at.UnixMilli(), Record: body})
	}
	return table
}

func id(team string, number int) ident.JobID {
	return ident.JobID(fmt.Sprintf("%s.018bcfe5-6800-7000-8000-%012d", team, number))
}

func accept(team string, number int, demand resource.Vector) record.Record {
	return record.Accepted{Job: work.Job{ID: id(team, number), Service: ident.ServiceName(team), Demand: demand}}
}

func set(teams ...rules.Team) *rules.Set {
	made := &rules.Set{Teams: map[ident.TeamName]rules.Team{}, Services: map[ident.ServiceName]rules.Service{}}
	for _, team := range teams {
		made.Teams[team.Name] = team
		name := ident.ServiceName(team.Name)
		made.Services[name] = rules.Service{Name: name, Team: team.Name, Class: work.Batch, Demand: small}
	}
	return made
}

func view(free ...resource.Vector) *workers.View {
	var list []workers.Worker
	for i, amount := range free {
		list = append(list, workers.Worker{
			ID: ident.WorkerID(fmt.Sprintf("w%d", i)), Zone: "z", Region: "r", Capacity: resource.Vector{CPU: 4000, Slots: 4},
			Free: amount, Ready: true, Reported: epoch,
		})
	}
	return workers.New(list)
}

var whole = resource.Vector{CPU: 4000, Slots: 4}

func input(table *jobs.Table, view *workers.View, set *rules.Set) Input {
	return Input{Table: table, Now: epoch.Add(time.Hour), View: view, Rules: set, Limit: 64}
}

// placed returns the worker of each placed job.
func placed(plan Plan) map[ident.JobID]ident.WorkerID {
	found := map[ident.JobID]ident.WorkerID{}
	for _, placement := range plan.Place {
		found[placement.Job.Spec.ID] = placement.At.Worker
	}
	return found
}

// Guards against a plan that exceeds a quota or the room of a worker, that
// places a job of which an attempt may run, or that leaves room unused while a
// job that fits waits without a reason.
func TestPlanKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := int64(rapid.IntRange(0, 8).Draw(t, "quota")) * 1000
		teams := set(rules.Team{Name: "x", Weight: 1, Quota: resource.Vector{CPU: quota}}, rules.Team{Name: "y", Weight: 3})
		var bodies []record.Record
		busy := map[ident.JobID]ident.WorkerID{}
		used := resource.Vector{}
		free := map[ident.WorkerID]resource.Vector{"w0": whole, "w1": {CPU: 2000, Slots: 1}}
		for i := range rapid.IntRange(0, 12).Draw(t, "jobs") {
			team := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team")
			demand := resource.Vector{CPU: int64(rapid.IntRange(1, 5).Draw(t, "cpu")) * 1000, Slots: 1}
			bodies = append(bodies, accept(team, i, demand))
			running := rapid.IntRange(0, 3).Draw(t, "running") == 0
			if running {
				bodies = append(bodies, record.Placing{Job: id(team, i), Attempt: 1, Worker: "w0"})
			} else if rapid.IntRange(0, 3).Draw(t, "busy") == 0 {
				busy[id(team, i)] = rapid.SampledFrom([]ident.WorkerID{"", "w0"}).Draw(t, "at")
			}
			// The view is older than all attempts.
			if running || busy[id(team, i)] != "" {
				free["w0"] = free["w0"].Sub(demand)
			}
			if _, step := busy[id(team, i)]; team == "x" && (running || step) {
				used = used.Add(demand)
			}
		}
		in := input(build(bodies...), view(whole, resource.Vector{CPU: 2000, Slots: 1}), teams)
		in.Busy = busy
		plan := Round(in)
		for _, placement := range plan.Place {
			job := placement.Job
			assert.Equal(t, job.State, work.JobWaiting)
			_, step := busy[job.Spec.ID]
			assert.Assert(t, !step)
			free[placement.At.Worker] = free[placement.At.Worker].Sub(job.Spec.Demand)
			assert.Assert(t, resource.Vector{}.Fits(free[placement.At.Worker]))
			if team, _ := jobs.Team(job.Spec.ID); team == "x" {
				used = used.Add(job.Spec.Demand)
				assert.Assert(t, quota == 0 || used.CPU <= quota)
			}
		}
		in.Table.Open(func(job *jobs.Job) {
			_, isPlaced := placed(plan)[job.Spec.ID]
			waits := plan.Waits[job.Spec.ID] != nil
			_, step := busy[job.Spec.ID]
			waiting := job.State == work.JobWaiting && !step
			assert.Equal(t, waiting, isPlaced || waits)
			assert.Assert(t, !(isPlaced && waits))
			if waits && plan.Waits[job.Spec.ID].Kind == fault.NoCapacity {
				assert.Assert(t, !job.Spec.Demand.Fits(free["w0"]) && !job.Spec.Demand.Fits(free["w1"]))
			}
		})
		assert.DeepEqual(t, placed(Round(in)), placed(plan))
	})
}

// Guards against a flood of one team that pushes back another one, and against
// a reserve that gives no precedence.
func TestTeamsShareByReserveAndWeight(t *testing.T) {
	var bodies []record.Record
	for i := range 20 {
		bodies = append(bodies, accept("flood", i, small))
	}
	for i := range 4 {
		bodies = append(bodies, accept("small", i, small), accept("kept", i, small))
	}
	teams := set(rules.Team{Name: "flood", Weight: 1}, rules.Team{Name: "small", Weight: 1},
		rules.Team{Name: "kept", Weight: 1, Reserve: resource.Vector{CPU: 2000}})
	count := map[ident.TeamName]int{}
	for _, placement := range Round(input(build(bodies...), view(whole, whole), teams)).Place {
		team, _ := jobs.Team(placement.Job.Spec.ID)
		count[team]++
	}
	assert.DeepEqual(t, count, map[ident.TeamName]int{"flood": 3, "small": 3, "kept": 2})
}

// Guards against a job that is placed again where it just failed while another
// worker is left, or never again where none is.
func TestFailedWorkerIsAvoided(t *testing.T) {
	table := build(accept("x", 1, small), record.Placing{Job: id("x", 1), Attempt: 1, Worker: "w0"},
		record.Evicted{Job: id("x", 1), Attempt: 1, Reason: fault.TaskFailed, Ran: true, Counts: true})
	teams := set(rules.Team{Name: "x", Weight: 1})
	in := input(table, view(whole, whole), teams)
	assert.Equal(t, placed(Round(in))[id("x", 1)], ident.WorkerID("w1"))
	in.View = view(whole)
	assert.Equal(t, placed(Round(in))[id("x", 1)], ident.WorkerID("w0"))
	in.Now = epoch.Add(2 * time.Second)
	wait := Round(in).Waits[id("x", 1)]
	assert.Equal(t, wait.Kind, fault.TaskFailed)
	assert.Assert(t, wait.RetryAfter > 0)
}

// Guards against a job that waits without a reason that says what is wrong.
func TestWaitsAreTyped(t *testing.T) {
	teams := set(rules.Team{Name: "x", Weight: 1, Quota: resource.Vector{CPU: 6000}}, rules.Team{Name: "y", Weight: 1})
	huge := resource.Vector{CPU: 5000, Slots: 1}
	over := resource.Vector{CPU: 7000, Slots: 1}
	table := build(accept("x", 1, huge), accept("x", 2, over), accept("y", 3, small), accept("gone", 4, small))
	plan := Round(input(table, view(resource.Vector{}), teams))
	assert.Equal(t, plan.Waits[id("x", 1)].Kind, fault.NeverFits)
	assert.Equal(t, plan.Waits[id("x", 2)].Kind, fault.NeverFits)
	assert.Equal(t, plan.Waits[id("y", 3)].Kind, fault.NoCapacity)
	assert.Equal(t, plan.Waits[id("gone", 4)].Kind, fault.UnknownService)
	plan = Round(input(table, workers.New(nil), teams))
	assert.Equal(t, plan.Waits[id("y", 3)].Kind, fault.NoWorker)
}

// Guards against jobs that see only the zone of their home.
func TestOffersGoToOtherZones(t *testing.T) {
	far := workers.New([]workers.Worker{{ID: "far", Zone: "other", Region: "r", Capacity: whole}})
	plan := Round(input(build(accept("x", 1, small)), far, set(rules.Team{Name: "x", Weight: 1})))
	assert.Equal(t, len(plan.Offers), 1)
	in := input(build(accept("x", 1, small)), far, set(rules.Team{Name: "x", Weight: 1}))
	placement, fits := PlaceOffered(in, plan.Offers[0], "far")
	assert.Assert(t, fits)
	assert.Equal(t, placement.At.Zone, ident.ZoneName("other"))
	_, fits = PlaceOffered(in, plan.Offers[0], "unknown")
	assert.Assert(t, !fits)
	in.Busy = map[ident.JobID]ident.WorkerID{id("x", 1): "far"}
	plan.Offers[0].Job.Spec.Demand = whole
	_, fits = PlaceOffered(in, plan.Offers[0], "far")
	assert.Assert(t, !fits, "the worker is filled by what this home places there")
}

// Guards against a broken worker that makes jobs fail for good, and against a
// broken job that is tried for ever.
func TestFailuresOnHealthyWorkersEndAJob(t *testing.T) {
	job := &jobs.Job{Spec: work.Job{ID: id("x", 1)}, State: work.JobRunning, Attempt: 3, Failures: 2,
		At: jobs.Place{Worker: "w3"}, FailedOn: []ident.WorkerID{"w1", "w2"}}
	news := News{Over: true, Started: true, State: work.TaskErrored, Result: []byte("trace")}
	done, ends := End(job, news, true).(record.Done)
	assert.Assert(t, ends)
	assert.Equal(t, done.Reason, fault.TaskFailed)
	assert.Equal(t, string(done.Result), "trace")
	evicted, again := End(job, news, false).(record.Evicted)
	assert.Assert(t, again && !evicted.Counts)
	job.At.Worker = "w1"
	_, again = End(job, news, true).(record.Evicted)
	assert.Assert(t, again, "two different workers are not enough")
	job.Failures = maxFailures - 1
	_, ends = End(job, news, true).(record.Done)
	assert.Assert(t, ends)
}

// Guards against an end that is recorded while the attempt may run, and against
// a checkpoint or result that its record can't hold.
func TestEndNeedsProof(t *testing.T) {
	job := &jobs.Job{Spec: work.Job{ID: id("x", 1)}, State: work.JobRunning, Attempt: 1, At: jobs.Place{Worker: "w"}}
	assert.Assert(t, End(job, News{}, true) == nil)
	assert.Equal(t, End(job, News{State: work.TaskRunning}, true), record.Started{Job: job.Spec.ID, Attempt: 1})
	assert.Assert(t, End(&jobs.Job{State: work.JobWaiting}, News{Over: true}, true) == nil)
	never := End(job, News{Over: true, Reason: fault.NoCapacity}, true).(record.Evicted)
	assert.Assert(t, !never.Ran && never.Reason == fault.NoCapacity)
	large := make([]byte, MaxResultBytes+1)
	stopped := End(job, News{Over: true, Started: true, State: work.TaskStopped, Checkpoint: large}, true).(record.Evicted)
	assert.Assert(t, stopped.Ran && stopped.Checkpoint == nil && stopped.Reason == "")
	forgotten := End(job, News{Over: true, Started: true}, true).(record.Evicted)
	assert.Equal(t, forgotten.Reason, fault.WorkerLost)
	done := End(job, News{Over: true, Started: true, State: work.TaskSucceeded, Result: large}, true).(record.Done)
	assert.Assert(t, done.Result == nil && done.Reason == fault.AnswerCut)
}

// BenchmarkRound measures a round at 1,800 open jobs and 1,100 workers, none of
// which has room.
func BenchmarkRound(b *testing.B) {
	var bodies []record.Record
	for i := range 1800 {
		team := fmt.Sprintf("t%d", i%17)
		bodies = append(bodies, accept(team, i, small))
		if i%2 == 0 {
			bodies = append(bodies, record.Placing{Job: id(team, i), Attempt: 1, Worker: "w0"})
		}
	}
	var teams []rules.Team
	for i := range 17 {
		teams = append(teams, rules.Team{Name: ident.TeamName(fmt.Sprintf("t%d", i)), Weight: 1})
	}
	in := input(build(bodies...), view(make([]resource.Vector, 1100)...), set(teams...))
	b.ReportAllocs()
	for b.Loop() {
		Round(in)
	}
}
