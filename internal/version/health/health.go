// Package health derives the health of each worker, and of each job or service,
// from the results of starts.
//
// It distinguishes a worker that fails every job from a job that fails on every
// worker: a failure counts against the worker only while the job is not known to
// fail on other workers, and against the job only while the worker is in service.
// A State is an immutable value; equal results in equal order give equal states.
package health

import (
	"maps"
	"slices"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/version/workers"
)

const (
	// failuresToTakeOut is the number of different jobs that must fail on a
	// worker, without a success in between, before it is taken out of service.
	// Since it is more than one, a single broken job never takes a worker out.
	failuresToTakeOut = 3
	// failuresToSuspend is the number of different workers with a recent success on
	// which a job must fail, without a success in between, before it is suspended: it
	// then gets no more attempts.
	failuresToSuspend = 3
	// failuresToSuspendOnAny is the same limit for all workers in service, with or
	// without a recent success. Without it, a broken job that is the only job in the
	// system would never be suspended.
	failuresToSuspendOnAny = 6
	// otherFailuresToBlameJob is the number of other workers on which a job must
	// have failed before its failures stop counting against a worker. It limits
	// how many workers a set of broken jobs can take out.
	otherFailuresToBlameJob = 2
	// firstProbeDelay is the time between taking a worker out and its first probe.
	// Each probe that fails doubles the interval.
	firstProbeDelay = 5 * time.Second
	// maxProbeInterval is the maximum time between two probes of a worker.
	maxProbeInterval = 5 * time.Minute
	// probeTimeout is the time after which another probe may be sent if the result of
	// a probe has not arrived.
	probeTimeout = 1 * time.Minute
	// minSuccessInterval is the age that a worker's last recorded success must
	// reach before another success is recorded. It is far shorter than
	// failureRetention, and spares most successes a new version of the state.
	minSuccessInterval = 1 * time.Minute
	// failureRetention is how long a failure, or the last success of a worker, is
	// taken into account.
	failureRetention = 30 * time.Minute
)

// Subject identifies what was started: a job, or the service of an urgent request.
type Subject string

// Result is the outcome of one start on a worker.
type Result struct {
	Worker  ident.WorkerID
	Subject Subject
	Success bool
	At      time.Time
}

// WorkerHealth is the health record of one worker.
type WorkerHealth struct {
	// LastFailures holds the time of the latest failure of each subject on this
	// worker since the worker's last success.
	LastFailures map[Subject]time.Time
	// LastSuccess is the time of the last recorded success, or zero.
	LastSuccess time.Time
	// OutOfService reports whether the worker was taken out of service.
	OutOfService bool
	// ProbeInterval is the current time between two probes while OutOfService is
	// set.
	ProbeInterval time.Duration
	// NextProbe is the earliest time of the next probe.
	NextProbe time.Time
	// ProbeDeadline is the time at which the current probe times out, or zero if no
	// probe was sent.
	ProbeDeadline time.Time
}

// SubjectHealth is the health record of one job or service.
type SubjectHealth struct {
	// LastFailures holds the time of the latest failure on each worker since the
	// subject's last success.
	LastFailures map[ident.WorkerID]time.Time
	// Suspended reports whether the subject gets no more attempts.
	Suspended bool
}

// State is an immutable version of the health of workers and subjects.
type State struct {
	workers  map[ident.WorkerID]WorkerHealth
	subjects map[Subject]SubjectHealth
}

// Apply returns the state after one more result. It does not modify s; a nil s
// stands for a state without results.
func (s *State) Apply(result Result) *State {
	next := s.clone()
	if result.Success {
		next.recordSuccess(result)
		return next
	}
	next.recordFailure(result)
	return next
}

// IsRedundant reports whether a result need not be passed to Apply: it is a
// success, the worker's last recorded success is younger than minSuccessInterval,
// and neither the worker nor the subject has a recorded failure that the success
// would clear.
func (s *State) IsRedundant(result Result) bool {
	if s == nil || !result.Success {
		return false
	}
	worker := s.workers[result.Worker]
	_, hasFailures := s.subjects[result.Subject]
	fresh := !worker.LastSuccess.IsZero() && result.At.Sub(worker.LastSuccess) < minSuccessInterval
	return fresh && !hasFailures && !worker.OutOfService && len(worker.LastFailures) == 0
}

func (s *State) clone() *State {
	next := &State{workers: map[ident.WorkerID]WorkerHealth{}, subjects: map[Subject]SubjectHealth{}}
	if s != nil {
		maps.Copy(next.workers, s.workers)
		maps.Copy(next.subjects, s.subjects)
	}
	return next
}

// recordSuccess clears all failures of the worker and of the subject. It also puts
// the worker back in service and releases a suspended subject, since a success
// shows that both work.
func (s *State) recordSuccess(result Result) {
	s.workers[result.Worker] = WorkerHealth{LastSuccess: result.At}
	delete(s.subjects, result.Subject)
}

// recordFailure records a failure with both the worker and the subject, then
// decides which workers and subjects are at fault.
func (s *State) recordFailure(result Result) {
	subject := s.subjects[result.Subject]
	subject.LastFailures = withFailure(subject.LastFailures, result.Worker, result.At)
	s.subjects[result.Subject] = subject
	worker := s.workers[result.Worker]
	worker.LastFailures = withFailure(worker.LastFailures, result.Subject, result.At)
	if worker.OutOfService {
		worker.ProbeInterval = min(2*worker.ProbeInterval, maxProbeInterval)
		worker.NextProbe = result.At.Add(worker.ProbeInterval)
		worker.ProbeDeadline = time.Time{}
	}
	s.workers[result.Worker] = worker
	s.takeOutAndSuspend(result.At)
}

// withFailure returns a copy of failures with one more added and with those older
// than failureRetention removed.
func withFailure[K comparable](failures map[K]time.Time, key K, at time.Time) map[K]time.Time {
	next := map[K]time.Time{key: at}
	for other, when := range failures {
		if other != key && at.Sub(when) < failureRetention {
			next[other] = when
		}
	}
	return next
}

// takeOutAndSuspend takes faulty workers out of service and suspends failing
// subjects. It decides on the workers first, so that failures on a worker that
// fails everything don't count against its jobs. Each of the two steps uses the
// state before the step, so the iteration order of the maps has no effect.
func (s *State) takeOutAndSuspend(now time.Time) {
	for _, id := range s.faultyWorkers(now) {
		worker := s.workers[id]
		worker.OutOfService = true
		worker.ProbeInterval = firstProbeDelay
		worker.NextProbe = now.Add(firstProbeDelay)
		s.workers[id] = worker
	}
	for _, id := range s.subjectsToSuspend(now) {
		subject := s.subjects[id]
		subject.Suspended = true
		s.subjects[id] = subject
	}
}

// faultyWorkers returns the workers in service that have enough failures which
// can't be blamed on the subjects.
func (s *State) faultyWorkers(now time.Time) []ident.WorkerID {
	var found []ident.WorkerID
	for id, worker := range s.workers {
		if !worker.OutOfService && s.countFailuresOfWorker(id, now) >= failuresToTakeOut {
			found = append(found, id)
		}
	}
	return found
}

// countFailuresOfWorker counts the subjects that failed recently on a worker and
// are not known to fail on other workers too.
func (s *State) countFailuresOfWorker(id ident.WorkerID, now time.Time) int {
	count := 0
	for subject, at := range s.workers[id].LastFailures {
		if now.Sub(at) < failureRetention && !s.failsElsewhere(subject, id, now) {
			count++
		}
	}
	return count
}

// failsElsewhere reports whether a subject is suspended or failed recently on
// enough other workers, so that its failure does not count against the given
// worker.
func (s *State) failsElsewhere(id Subject, workerID ident.WorkerID, now time.Time) bool {
	subject := s.subjects[id]
	others := 0
	for worker, at := range subject.LastFailures {
		if worker != workerID && now.Sub(at) < failureRetention {
			others++
		}
	}
	return subject.Suspended || others >= otherFailuresToBlameJob
}

// subjectsToSuspend returns the subjects that failed on enough workers in service
// and are not suspended yet.
func (s *State) subjectsToSuspend(now time.Time) []Subject {
	var found []Subject
	for id, subject := range s.subjects {
		withSuccess, all := s.countFailedInService(subject, now)
		if !subject.Suspended && (withSuccess >= failuresToSuspend || all >= failuresToSuspendOnAny) {
			found = append(found, id)
		}
	}
	return found
}

// countFailedInService counts the workers in service on which a subject failed
// recently: those that had a recent success themselves (withSuccess), and all of
// them.
func (s *State) countFailedInService(subject SubjectHealth, now time.Time) (withSuccess, all int) {
	for id, at := range subject.LastFailures {
		worker := s.workers[id]
		if worker.OutOfService || now.Sub(at) >= failureRetention {
			continue
		}
		all++
		if !worker.LastSuccess.IsZero() && now.Sub(worker.LastSuccess) < failureRetention {
			withSuccess++
		}
	}
	return withSuccess, all
}

// RecordProbe returns the state after a start was sent to a worker. If the worker is
// out of service, that start is a probe, and no other is sent until its result
// arrives or probeTimeout has passed.
func (s *State) RecordProbe(id ident.WorkerID, now time.Time) *State {
	next := s.clone()
	worker, found := next.workers[id]
	if !found || !worker.OutOfService {
		return next
	}
	worker.ProbeDeadline = now.Add(probeTimeout)
	next.workers[id] = worker
	return next
}

// Worker returns the health of a worker at the time now. Probing means that
// exactly one start may be sent, which the caller has to record with RecordProbe.
func (s *State) Worker(id ident.WorkerID, now time.Time) workers.Health {
	if s == nil || !s.workers[id].OutOfService {
		return workers.Healthy
	}
	worker := s.workers[id]
	if now.Before(worker.NextProbe) || now.Before(worker.ProbeDeadline) {
		return workers.Failing
	}
	return workers.Probing
}

// Suspended returns the failure, of kind fault.TaskFailed, because of which a
// subject gets no more attempts. It returns nil if the subject is not suspended.
func (s *State) Suspended(id Subject) *fault.Failure {
	if s == nil || !s.subjects[id].Suspended {
		return nil
	}
	failed := slices.Sorted(maps.Keys(s.subjects[id].LastFailures))
	return fault.New(fault.TaskFailed, "%s failed on %d different workers: %v", id, len(failed), failed)
}

// Release returns the state without the failures of a subject, so that it gets
// attempts again. An operator or a new version of a job causes this.
func (s *State) Release(id Subject) *State {
	next := s.clone()
	delete(next.subjects, id)
	return next
}

// Prune returns the state without entries whose failures and successes are all
// older than failureRetention. Workers that are out of service and suspended
// subjects are kept.
func (s *State) Prune(now time.Time) *State {
	next := s.clone()
	maps.DeleteFunc(next.workers, func(_ ident.WorkerID, w WorkerHealth) bool {
		return !w.OutOfService && allExpired(w.LastFailures, now) && now.Sub(w.LastSuccess) >= failureRetention
	})
	maps.DeleteFunc(next.subjects, func(_ Subject, h SubjectHealth) bool {
		return !h.Suspended && allExpired(h.LastFailures, now)
	})
	return next
}

// allExpired reports whether all failures are older than failureRetention.
func allExpired[K comparable](failures map[K]time.Time, now time.Time) bool {
	for _, at := range failures {
		if now.Sub(at) < failureRetention {
			return false
		}
	}
	return true
}
