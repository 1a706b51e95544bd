// Package job plans the attempts of batch jobs and live tasks, and decides
// which record ends an attempt.
//
// All decisions are pure functions of a job table, a view of the workers, the
// rules and a time. A plan never exceeds the quota of a team whose jobs are in
// the table, and never places a job of which an attempt may still run.
package job

import (
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/jobs"
	"poplarvalve/internal/version/rules"
	"poplarvalve/internal/version/workers"
)

const (
	// PollPeriod is the interval between polls of an attempt that the present
	// owner of its worker did not start. Such an owner does not report the end
	// of the attempt, so the home learns of the end by polling.
	PollPeriod = 1 * time.Minute
	// ReportedPollPeriod is the interval between polls of an attempt whose end
	// the owner reports. These polls only make up for lost reports. With 29,000
	// tasks and 200 bytes for a poll and its answer, they cost each of 24 nodes
	// 0.8 KB/s.
	ReportedPollPeriod = 5 * time.Minute
	// firstRetryWait and maxRetryWait bound the wait after an attempt that was
	// refused or failed. The wait doubles with each such attempt in a row.
	firstRetryWait = 1 * time.Second
	maxRetryWait   = 1 * time.Minute
	// maxRefusedRetryWait bounds the wait after attempts that were not started.
	// Most of them are refused for lack of free capacity, which becomes
	// available again within seconds.
	maxRefusedRetryWait = 4 * time.Second
	// reportLag is the assumed age of the data in a worker's report when the
	// report arrives.
	reportLag = 1 * time.Second
	// shareHalvingWait is the waiting time after which the share of a team
	// counts half when teams are ordered. It prevents waiting jobs from
	// starving.
	shareHalvingWait = 5 * time.Minute
	// maxFailedWorkers is the number of different healthy workers on which a
	// job must fail before it is given up.
	maxFailedWorkers = 3
	// maxFailures is the number of failures after which a job is given up where
	// there are too few workers to reach maxFailedWorkers.
	maxFailures = 6
	// MaxResultBytes is the maximum size of a recorded result or checkpoint.
	// Its record must fit into the log.
	MaxResultBytes = 512 << 10
)

// Input is the state from which MakePlan plans. MakePlan does not modify any of
// it.
type Input struct {
	Table *jobs.Table
	Now   time.Time
	View  *workers.View
	Rules *rules.Set
	// InProgress holds the jobs with a step in progress. The value is the
	// worker on which an attempt is being placed, or empty if there is none.
	InProgress map[ident.JobID]ident.WorkerID
	// NextPoll holds, by job, when the next poll of its running attempt is due.
	// For a job without an entry it is due now.
	NextPoll map[ident.JobID]time.Time
	// MaxPlacements is the maximum number of placements in one plan. It bounds
	// the number of zone requests as well.
	MaxPlacements int
}

// Placement assigns the next attempt of a job to a worker.
type Placement struct {
	Job      *jobs.Job
	Attempt  ident.Attempt
	Location jobs.WorkerLocation
	Class    work.Class
}

// ZoneRequest is a request to the owners of another zone for a worker that can
// run a job.
type ZoneRequest struct {
	Job    *jobs.Job
	Zone   ident.ZoneName
	Region ident.RegionName
	Class  work.Class
}

// Plan holds the actions that MakePlan decided on.
type Plan struct {
	Placements []Placement
	// ZoneRequests holds the jobs for which no worker of the view has enough
	// free capacity now, and which could run in another zone.
	ZoneRequests []ZoneRequest
	// Polls holds the jobs whose running attempt is due for a poll.
	Polls []*jobs.Job
	// WaitReasons holds, for each waiting job that is neither placed nor in
	// InProgress, the reason why it was not placed.
	WaitReasons map[ident.JobID]*fault.Failure
}

// AttemptStatus is the known status of an attempt.
type AttemptStatus struct {
	// Ended is set only if the attempt does not run now and will never run.
	Ended bool
	// Started is set if the attempt ran or may have run.
	Started    bool
	State      work.TaskState
	Result     []byte
	Checkpoint []byte
	// Reason is why the attempt was not started.
	Reason fault.Kind
}

// EndRecord returns the record to append for the reported status of a job's
// newest attempt, or nil if there is nothing to record. healthy states whether
// the worker of the attempt is in service.
func EndRecord(job *jobs.Job, status AttemptStatus, healthy bool) record.Record {
	if job.State != work.JobRunning {
		return nil
	}
	if !status.Ended {
		return startedRecord(job, status)
	}
	if !status.Started {
		return record.AttemptEnded{Job: job.Spec.ID, Attempt: job.Attempt, Reason: kindOrDefault(status.Reason, fault.WorkerRefused)}
	}
	switch status.State {
	case work.TaskSucceeded:
		return successRecord(job, status)
	case work.TaskFailed:
		return failureRecord(job, status, healthy)
	default:
		return interruptedRecord(job, status)
	}
}

func kindOrDefault(kind, fallback fault.Kind) fault.Kind {
	if kind == "" {
		return fallback
	}
	return kind
}

func startedRecord(job *jobs.Job, status AttemptStatus) record.Record {
	if job.Started || status.State != work.TaskRunning {
		return nil
	}
	return record.AttemptStarted{Job: job.Spec.ID, Attempt: job.Attempt}
}

func successRecord(job *jobs.Job, status AttemptStatus) record.Record {
	done := record.JobDone{Job: job.Spec.ID, Attempt: job.Attempt, Outcome: fault.Ran, Result: status.Result}
	if len(status.Result) > MaxResultBytes {
		done.Result = nil
		done.Reason = fault.AnswerIncomplete
	}
	return done
}

// failureRecord gives the job up once it has failed on enough healthy workers.
// A failure on an unhealthy worker does not count, since the worker may be the
// cause.
func failureRecord(job *jobs.Job, status AttemptStatus, healthy bool) record.Record {
	if healthy && isLastFailure(job) {
		done := record.JobDone{Job: job.Spec.ID, Attempt: job.Attempt, Outcome: fault.Ran, Reason: fault.TaskFailed}
		if len(status.Result) <= MaxResultBytes {
			done.Result = status.Result
		}
		return done
	}
	return record.AttemptEnded{Job: job.Spec.ID, Attempt: job.Attempt, Reason: fault.TaskFailed, Ran: true, CountsAgainstJob: healthy}
}

// isLastFailure reports whether a failure on the job's present worker is the
// one after which the job is given up.
func isLastFailure(job *jobs.Job) bool {
	failedWorkers := 1
	for _, other := range job.FailedOn {
		if other != job.Location.Worker {
			failedWorkers++
		}
	}
	return failedWorkers >= maxFailedWorkers || job.Failures+1 >= maxFailures
}

// interruptedRecord ends an attempt that was evicted or whose worker was lost. A
// checkpoint that does not fit into a record is dropped; the next attempt then
// resumes from the previous checkpoint.
func interruptedRecord(job *jobs.Job, status AttemptStatus) record.Record {
	ended := record.AttemptEnded{Job: job.Spec.ID, Attempt: job.Attempt, Ran: true}
	if len(status.Checkpoint) <= MaxResultBytes {
		ended.Checkpoint = status.Checkpoint
	}
	if status.State != work.TaskStopped {
		ended.Reason = fault.WorkerLost
	}
	return ended
}

// EffectiveDemand returns the resources that a job of a service needs: those
// that the job states, with at least one slot, or else those that the rules
// state for the service.
func EffectiveDemand(stated resource.Vector, service rules.Service) resource.Vector {
	if stated.IsZero() {
		return service.Demand
	}
	stated.Slots = max(stated.Slots, 1)
	return stated
}
