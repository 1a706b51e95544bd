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

// The fixed seed makes every run check the same cases; -rapid.seed overrides
// it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

var (
	self      = ident.Incarnation{Instance: "a", Nonce: 1}
	startTime = time.UnixMilli(1_700_000_000_000)
	small     = resource.Vector{CPU: 1000, Slots: 1}
)

// buildTable applies records to an empty table, one second apart.
func buildTable(records ...record.Record) *jobs.Table {
	table, _ := jobs.Apply(nil, 1, record.Envelope{Writer: self, Record: record.HomeClaim{}})
	for i, body := range records {
		at := startTime.Add(time.Duration(i) * time.Second)
		table, _ = jobs.Apply(table, table.Offset+1, record.Envelope{Writer: self, At: at.UnixMilli(), Record: body})
	}
	return table
}

func jobID(team string, number int) ident.JobID {
	return ident.JobID(fmt.Sprintf("%s.018bcfe5-6800-7000-8000-%012d", team, number))
}

func acceptedRecord(team string, number int, demand resource.Vector) record.Record {
	return record.JobAccepted{Job: work.Job{ID: jobID(team, number), Service: ident.ServiceName(team), Demand: demand}}
}

func newRules(teams ...rules.Team) *rules.Set {
	set := &rules.Set{Teams: map[ident.TeamName]rules.Team{}, Services: map[ident.ServiceName]rules.Service{}}
	for _, team := range teams {
		set.Teams[team.Name] = team
		name := ident.ServiceName(team.Name)
		set.Services[name] = rules.Service{Name: name, Team: team.Name, Class: work.Batch, Demand: small}
	}
	return set
}

func newView(free ...resource.Vector) *workers.View {
	var list []workers.Worker
	for i, amount := range free {
		list = append(list, workers.Worker{
			ID: ident.WorkerID(fmt.Sprintf("w%d", i)), Zone: "z", Region: "r", Capacity: resource.Vector{CPU: 4000, Slots: 4},
			Free: amount, Ready: true, Reported: startTime,
		})
	}
	return workers.New(list)
}

var wholeWorker = resource.Vector{CPU: 4000, Slots: 4}

func newInput(table *jobs.Table, view *workers.View, set *rules.Set) Input {
	return Input{Table: table, Now: startTime.Add(time.Hour), View: view, Rules: set, MaxPlacements: 64}
}

// workersByJob returns the worker of each placed job.
func workersByJob(plan Plan) map[ident.JobID]ident.WorkerID {
	found := map[ident.JobID]ident.WorkerID{}
	for _, placement := range plan.Placements {
		found[placement.Job.Spec.ID] = placement.Location.Worker
	}
	return found
}

// A plan must not exceed the quota of a team or the free capacity of a worker,
// and must not place a job of which an attempt may run. A job that is left
// waiting must have a reason, and the reason NoCapacity is valid only if no
// worker could take the job.
func TestPlanRespectsQuotaAndCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := int64(rapid.IntRange(0, 8).Draw(t, "quota")) * 1000
		teams := newRules(rules.Team{Name: "x", Weight: 1, Quota: resource.Vector{CPU: quota}}, rules.Team{Name: "y", Weight: 3})
		var records []record.Record
		inProgress := map[ident.JobID]ident.WorkerID{}
		used := resource.Vector{}
		free := map[ident.WorkerID]resource.Vector{"w0": wholeWorker, "w1": {CPU: 2000, Slots: 1}}
		for i := range rapid.IntRange(0, 12).Draw(t, "jobs") {
			team := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team")
			demand := resource.Vector{CPU: int64(rapid.IntRange(1, 5).Draw(t, "cpu")) * 1000, Slots: 1}
			records = append(records, acceptedRecord(team, i, demand))
			running := rapid.IntRange(0, 3).Draw(t, "running") == 0
			if running {
				records = append(records, record.AttemptPlaced{Job: jobID(team, i), Attempt: 1, Worker: "w0"})
			} else if rapid.IntRange(0, 3).Draw(t, "busy") == 0 {
				inProgress[jobID(team, i)] = rapid.SampledFrom([]ident.WorkerID{"", "w0"}).Draw(t, "at")
			}
			// The view is older than all attempts, so they are not part of its
			// free amounts.
			if running || inProgress[jobID(team, i)] != "" {
				free["w0"] = free["w0"].Sub(demand)
			}
			if _, isInProgress := inProgress[jobID(team, i)]; team == "x" && (running || isInProgress) {
				used = used.Add(demand)
			}
		}
		input := newInput(buildTable(records...), newView(wholeWorker, resource.Vector{CPU: 2000, Slots: 1}), teams)
		input.InProgress = inProgress
		plan := MakePlan(input)
		for _, placement := range plan.Placements {
			job := placement.Job
			assert.Equal(t, job.State, work.JobWaiting)
			_, isInProgress := inProgress[job.Spec.ID]
			assert.Assert(t, !isInProgress)
			free[placement.Location.Worker] = free[placement.Location.Worker].Sub(job.Spec.Demand)
			assert.Assert(t, resource.Vector{}.Fits(free[placement.Location.Worker]))
			if team, _ := jobs.Team(job.Spec.ID); team == "x" {
				used = used.Add(job.Spec.Demand)
				assert.Assert(t, quota == 0 || used.CPU <= quota)
			}
		}
		input.Table.VisitOpen(func(job *jobs.Job) {
			_, isPlaced := workersByJob(plan)[job.Spec.ID]
			hasReason := plan.WaitReasons[job.Spec.ID] != nil
			_, isInProgress := inProgress[job.Spec.ID]
			waiting := job.State == work.JobWaiting && !isInProgress
			assert.Equal(t, waiting, isPlaced || hasReason)
			assert.Assert(t, !(isPlaced && hasReason))
			if hasReason && plan.WaitReasons[job.Spec.ID].Kind == fault.NoCapacity {
				assert.Assert(t, !job.Spec.Demand.Fits(free["w0"]) && !job.Spec.Demand.Fits(free["w1"]))
			}
		})
		assert.DeepEqual(t, workersByJob(MakePlan(input)), workersByJob(plan))
	})
}

// A team with many jobs must not delay the jobs of another team with the same
// weight. A team below its reserve goes first until the reserve is used.
func TestTeamsShareByReserveAndWeight(t *testing.T) {
	var records []record.Record
	for i := range 20 {
		records = append(records, acceptedRecord("flood", i, small))
	}
	for i := range 4 {
		records = append(records, acceptedRecord("small", i, small), acceptedRecord("kept", i, small))
	}
	teams := newRules(rules.Team{Name: "flood", Weight: 1}, rules.Team{Name: "small", Weight: 1},
		rules.Team{Name: "kept", Weight: 1, Reserve: resource.Vector{CPU: 2000}})
	count := map[ident.TeamName]int{}
	for _, placement := range MakePlan(newInput(buildTable(records...), newView(wholeWorker, wholeWorker), teams)).Placements {
		team, _ := jobs.Team(placement.Job.Spec.ID)
		count[team]++
	}
	assert.DeepEqual(t, count, map[ident.TeamName]int{"flood": 3, "small": 3, "kept": 2})
}

// After a failure, a job must run on another worker if there is one. If the
// failed worker is the only one, the job must run there again, once its retry
// wait is over.
func TestWorkerOfLastFailureIsAvoided(t *testing.T) {
	table := buildTable(acceptedRecord("x", 1, small), record.AttemptPlaced{Job: jobID("x", 1), Attempt: 1, Worker: "w0"},
		record.AttemptEnded{Job: jobID("x", 1), Attempt: 1, Reason: fault.TaskFailed, Ran: true, CountsAgainstJob: true})
	teams := newRules(rules.Team{Name: "x", Weight: 1})
	input := newInput(table, newView(wholeWorker, wholeWorker), teams)
	assert.Equal(t, workersByJob(MakePlan(input))[jobID("x", 1)], ident.WorkerID("w1"))
	input.View = newView(wholeWorker)
	assert.Equal(t, workersByJob(MakePlan(input))[jobID("x", 1)], ident.WorkerID("w0"))
	input.Now = startTime.Add(2 * time.Second)
	wait := MakePlan(input).WaitReasons[jobID("x", 1)]
	assert.Equal(t, wait.Kind, fault.TaskFailed)
	assert.Assert(t, wait.RetryAfter > 0)
}

// Each waiting job must state the failure kind that explains why it was not
// placed.
func TestWaitingJobsHaveAReason(t *testing.T) {
	teams := newRules(rules.Team{Name: "x", Weight: 1, Quota: resource.Vector{CPU: 6000}}, rules.Team{Name: "y", Weight: 1})
	huge := resource.Vector{CPU: 5000, Slots: 1}
	over := resource.Vector{CPU: 7000, Slots: 1}
	table := buildTable(acceptedRecord("x", 1, huge), acceptedRecord("x", 2, over), acceptedRecord("y", 3, small), acceptedRecord("gone", 4, small))
	plan := MakePlan(newInput(table, newView(resource.Vector{}), teams))
	assert.Equal(t, plan.WaitReasons[jobID("x", 1)].Kind, fault.ExceedsAnyWorker)
	assert.Equal(t, plan.WaitReasons[jobID("x", 2)].Kind, fault.ExceedsAnyWorker)
	assert.Equal(t, plan.WaitReasons[jobID("y", 3)].Kind, fault.NoCapacity)
	assert.Equal(t, plan.WaitReasons[jobID("gone", 4)].Kind, fault.UnknownService)
	plan = MakePlan(newInput(table, workers.New(nil), teams))
	assert.Equal(t, plan.WaitReasons[jobID("y", 3)].Kind, fault.NoWorker)
}

// A job must not be limited to the zone of its home. If only a worker of
// another zone is large enough, the plan requests a worker from that zone. A
// requested worker is refused if it is unknown, or if this home's own attempts
// already take its capacity.
func TestWorkersOfOtherZonesAreRequested(t *testing.T) {
	far := workers.New([]workers.Worker{{ID: "far", Zone: "other", Region: "r", Capacity: wholeWorker}})
	plan := MakePlan(newInput(buildTable(acceptedRecord("x", 1, small)), far, newRules(rules.Team{Name: "x", Weight: 1})))
	assert.Equal(t, len(plan.ZoneRequests), 1)
	input := newInput(buildTable(acceptedRecord("x", 1, small)), far, newRules(rules.Team{Name: "x", Weight: 1}))
	placement, fits := PlaceOnRequestedWorker(input, plan.ZoneRequests[0], "far")
	assert.Assert(t, fits)
	assert.Equal(t, placement.Location.Zone, ident.ZoneName("other"))
	_, fits = PlaceOnRequestedWorker(input, plan.ZoneRequests[0], "unknown")
	assert.Assert(t, !fits)
	input.InProgress = map[ident.JobID]ident.WorkerID{jobID("x", 1): "far"}
	plan.ZoneRequests[0].Job.Spec.Demand = wholeWorker
	_, fits = PlaceOnRequestedWorker(input, plan.ZoneRequests[0], "far")
	assert.Assert(t, !fits, "the attempts that this home places on the worker take all of its capacity")
}

// A job that keeps failing must be given up, but only after failures on enough
// different healthy workers or enough failures in total. Failures on an
// unhealthy worker must not count, or a broken worker could make jobs fail
// permanently.
func TestFailuresOnHealthyWorkersEndAJob(t *testing.T) {
	job := &jobs.Job{Spec: work.Job{ID: jobID("x", 1)}, State: work.JobRunning, Attempt: 3, Failures: 2,
		Location: jobs.WorkerLocation{Worker: "w3"}, FailedOn: []ident.WorkerID{"w1", "w2"}}
	status := AttemptStatus{Ended: true, Started: true, State: work.TaskFailed, Result: []byte("trace")}
	done, gaveUp := EndRecord(job, status, true).(record.JobDone)
	assert.Assert(t, gaveUp)
	assert.Equal(t, done.Reason, fault.TaskFailed)
	assert.Equal(t, string(done.Result), "trace")
	ended, retried := EndRecord(job, status, false).(record.AttemptEnded)
	assert.Assert(t, retried && !ended.CountsAgainstJob)
	job.Location.Worker = "w1"
	_, retried = EndRecord(job, status, true).(record.AttemptEnded)
	assert.Assert(t, retried, "failures on two different workers must not end the job")
	job.Failures = maxFailures - 1
	_, gaveUp = EndRecord(job, status, true).(record.JobDone)
	assert.Assert(t, gaveUp)
}

// No end may be recorded while the attempt may still run. A result or
// checkpoint that exceeds MaxResultBytes must be left out, since its record
// could not be stored.
func TestEndIsRecordedOnlyForEndedAttempts(t *testing.T) {
	job := &jobs.Job{Spec: work.Job{ID: jobID("x", 1)}, State: work.JobRunning, Attempt: 1, Location: jobs.WorkerLocation{Worker: "w"}}
	assert.Assert(t, EndRecord(job, AttemptStatus{}, true) == nil)
	assert.Equal(t, EndRecord(job, AttemptStatus{State: work.TaskRunning}, true), record.AttemptStarted{Job: job.Spec.ID, Attempt: 1})
	assert.Assert(t, EndRecord(&jobs.Job{State: work.JobWaiting}, AttemptStatus{Ended: true}, true) == nil)
	never := EndRecord(job, AttemptStatus{Ended: true, Reason: fault.NoCapacity}, true).(record.AttemptEnded)
	assert.Assert(t, !never.Ran && never.Reason == fault.NoCapacity)
	large := make([]byte, MaxResultBytes+1)
	stopped := EndRecord(job, AttemptStatus{Ended: true, Started: true, State: work.TaskStopped, Checkpoint: large}, true).(record.AttemptEnded)
	assert.Assert(t, stopped.Ran && stopped.Checkpoint == nil && stopped.Reason == "")
	unknown := EndRecord(job, AttemptStatus{Ended: true, Started: true}, true).(record.AttemptEnded)
	assert.Equal(t, unknown.Reason, fault.WorkerLost)
	done := EndRecord(job, AttemptStatus{Ended: true, Started: true, State: work.TaskSucceeded, Result: large}, true).(record.JobDone)
	assert.Assert(t, done.Result == nil && done.Reason == fault.AnswerIncomplete)
}

// BenchmarkMakePlan measures one plan for 1,800 open jobs and 1,100 workers
// without free capacity.
func BenchmarkMakePlan(b *testing.B) {
	var records []record.Record
	for i := range 1800 {
		team := fmt.Sprintf("t%d", i%17)
		records = append(records, acceptedRecord(team, i, small))
		if i%2 == 0 {
			records = append(records, record.AttemptPlaced{Job: jobID(team, i), Attempt: 1, Worker: "w0"})
		}
	}
	var teams []rules.Team
	for i := range 17 {
		teams = append(teams, rules.Team{Name: ident.TeamName(fmt.Sprintf("t%d", i)), Weight: 1})
	}
	input := newInput(buildTable(records...), newView(make([]resource.Vector, 1100)...), newRules(teams...))
	b.ReportAllocs()
	for b.Loop() {
		MakePlan(input)
	}
}
