// Package job decides on the attempts of batch jobs and live tasks.
//
// The decisions are pure functions of a job table, a view of the workers, the
// rules and a time. A plan never exceeds the quota of a team whose jobs are in
// the table, and never names a job of which an attempt may still run.
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
	// AskPeriod is the time between questions about an attempt that its worker's
	// owner did not begin, so that the owner does not report its end.
	AskPeriod = 1 * time.Minute
	// WatchedPeriod is the same for an attempt whose end is reported. Questions
	// only repair lost reports. For 29,000 tasks with 200 bytes for a question
	// and its answer they cost each of 24 nodes 0.8 KB/s.
	WatchedPeriod = 5 * time.Minute
	// firstRetry and maxRetry bound the wait after an attempt that was refused
	// or failed. It doubles with each in a row.
	firstRetry = 1 * time.Second
	maxRetry   = 1 * time.Minute
	// maxRefusedRetry bounds the wait after attempts that were not started. Most
	// are refused for lack of room, which comes back within seconds.
	maxRefusedRetry = 4 * time.Second
	// reportLag is the age of what a report of a worker says when it arrives.
	reportLag = 1 * time.Second
	// agePeriod is the waiting time after which the share of a team counts
	// half, so that waiting work is never starved.
	agePeriod = 5 * time.Minute
	// maxFailedWorkers is the number of different healthy workers on which a job
	// must fail to be given up.
	maxFailedWorkers = 3
	// maxFailures gives a job up where there are too few workers for that.
	maxFailures = 6
	// MaxResultBytes bounds a recorded result or checkpoint, so that its record
	// fits into the log.
	MaxResultBytes = 512 << 10
)

// Input is what a round looks at. Nothing in it is modified.
type Input struct {
	Table *jobs.Table
	Now   time.Time
	View  *workers.View
	Rules *rules.Set
	// Busy holds the jobs for which a step is under way, with the worker on which
	// an attempt is being placed, if there is one.
	Busy map[ident.JobID]ident.WorkerID
	// Due holds when to ask about a running attempt, by job. One that is missing
	// is due now.
	Due map[ident.JobID]time.Time
	// Limit bounds the placements of one round.
	Limit int
}

// Placement puts the next attempt of a job on a worker.
type Placement struct {
	Job     *jobs.Job
	Attempt ident.Attempt
	At      jobs.Place
	Class   work.Class
}

// Offer asks the owners of another zone for a worker for a job.
type Offer struct {
	Job    *jobs.Job
	Zone   ident.ZoneName
	Region ident.RegionName
	Class  work.Class
}

// Plan is what to do next.
type Plan struct {
	Place []Placement
	// Offers holds jobs that no worker of the view has room for now, and that
	// could run in another zone.
	Offers []Offer
	// Ask holds the jobs whose running attempt is to be asked about.
	Ask []*jobs.Job
	// Waits says why each other waiting job is not placed.
	Waits map[ident.JobID]*fault.Failure
}

// News is what is known of an attempt.
type News struct {
	// Over guarantees that the attempt does not run and never will.
	Over bool
	// Started is whether the attempt ran or may have run.
	Started    bool
	State      work.TaskState
	Result     []byte
	Checkpoint []byte
	// Reason says why the attempt was not started.
	Reason fault.Kind
}

// End returns the record to append for news of a job's newest attempt, or nil.
// Healthy is whether the worker of the attempt is in service.
func End(job *jobs.Job, news News, healthy bool) record.Record {
	if job.State != work.JobRunning {
		return nil
	}
	if !news.Over {
		return seen(job, news)
	}
	if !news.Started {
		return record.Evicted{Job: job.Spec.ID, Attempt: job.Attempt, Reason: orKind(news.Reason, fault.WorkerRefused)}
	}
	switch news.State {
	case work.TaskSucceeded:
		return succeeded(job, news)
	case work.TaskErrored:
		return failed(job, news, healthy)
	default:
		return stopped(job, news)
	}
}

func orKind(kind, fallback fault.Kind) fault.Kind {
	if kind == "" {
		return fallback
	}
	return kind
}

func seen(job *jobs.Job, news News) record.Record {
	if job.Seen || news.State != work.TaskRunning {
		return nil
	}
	return record.Started{Job: job.Spec.ID, Attempt: job.Attempt}
}

func succeeded(job *jobs.Job, news News) record.Record {
	done := record.Done{Job: job.Spec.ID, Attempt: job.Attempt, Outcome: fault.Ran, Result: news.Result}
	if len(news.Result) > MaxResultBytes {
		done.Result = nil
		done.Reason = fault.AnswerCut
	}
	return done
}

// failed gives the job up after it failed on enough healthy workers. A failure
// on another worker says nothing about the job.
func failed(job *jobs.Job, news News, healthy bool) record.Record {
	if healthy && exhausted(job) {
		done := record.Done{Job: job.Spec.ID, Attempt: job.Attempt, Outcome: fault.Ran, Reason: fault.TaskFailed}
		if len(news.Result) <= MaxResultBytes {
			done.Result = news.Result
		}
		return done
	}
	return record.Evicted{Job: job.Spec.ID, Attempt: job.Attempt, Reason: fault.TaskFailed, Ran: true, Counts: healthy}
}

// exhausted reports whether one more failure on the job's worker is the last.
func exhausted(job *jobs.Job) bool {
	different := 1
	for _, other := range job.FailedOn {
		if other != job.At.Worker {
			different++
		}
	}
	return different >= maxFailedWorkers || job.Failures+1 >= maxFailures
}

// stopped ends an attempt that was evicted or whose worker was lost. A
// checkpoint that doesn't fit into a record is dropped, and the next attempt
// resumes from the one before.
func stopped(job *jobs.Job, news News) record.Record {
	evicted := record.Evicted{Job: job.Spec.ID, Attempt: job.Attempt, Ran: true}
	if len(news.Checkpoint) <= MaxResultBytes {
		evicted.Checkpoint = news.Checkpoint
	}
	if news.State != work.TaskStopped {
		evicted.Reason = fault.WorkerLost
	}
	return evicted
}

// Demand returns what a job of a service takes: what the job states, or else
// what the rules state.
func Demand(stated resource.Vector, service rules.Service) resource.Vector {
	if stated.IsZero() {
		return service.Demand
	}
	stated.Slots = max(stated.Slots, 1)
	return stated
}
