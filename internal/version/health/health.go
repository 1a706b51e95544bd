// Package health folds the results of starts into what is known of the health
// of each worker and of each job or service.
//
// It tells a worker that fails everything from a job that fails everywhere: a
// failure counts against a worker only while the job is not known to fail on
// other workers, and against a job only while the worker is in service. A State is an immutable value; equal results in equal order give
// equal states.
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
	// failuresToTakeOut is the number of different jobs that must fail in a
	// row on a worker. One broken job then never takes a worker out.
	failuresToTakeOut = 3
	// failuresToPark is the number of different proven workers on which a job
	// must fail, without a success in between.
	failuresToPark = 3
	// failuresToParkUnproven is the same for workers without a recent success.
	// It lets a job that is alone in the system be parked too.
	failuresToParkUnproven = 6
	// failuresToExplain is the number of other workers on which a job must
	// fail for its failures to say nothing against a worker. It bounds how many
	// workers a set of broken jobs can take out.
	failuresToExplain = 2
	// firstProbe is the time from taking a worker out to its first probe.
	firstProbe = 5 * time.Second
	// maxProbe bounds the interval between probes.
	maxProbe = 5 * time.Minute
	// probeTimeout ends the wait for the result of a probe.
	probeTimeout = 1 * time.Minute
	// proofRefresh is the age up to which a proof is not renewed. It is far
	// shorter than memory, and keeps most successes from making a new version.
	proofRefresh = 1 * time.Minute
	// memory is how long a failure counts.
	memory = 30 * time.Minute
)

// Subject names a job, or a service for urgent requests.
type Subject string

// Result is how one start ended.
type Result struct {
	Worker  ident.WorkerID
	Subject Subject
	Success bool
	At      time.Time
}

// WorkerHealth is what is known of one worker.
type WorkerHealth struct {
	// Failed holds the latest failure of each subject since the last success.
	Failed map[Subject]time.Time
	// Proven is the time of the newest success, or zero.
	Proven time.Time
	// Out is whether the worker was taken out.
	Out bool
	// Interval is the time between probes while Out.
	Interval time.Duration
	// NextProbe is when the next probe may start.
	NextProbe time.Time
	// Probing is until when a probe is under way, or zero.
	Probing time.Time
}

// SubjectHealth is what is known of one job or service.
type SubjectHealth struct {
	// Failed holds the latest failure on each worker since the last success.
	Failed map[ident.WorkerID]time.Time
	// Parked is whether the subject is to get no more attempts.
	Parked bool
}

// State is an immutable version of the health of workers and subjects.
type State struct {
	workers  map[ident.WorkerID]WorkerHealth
	subjects map[Subject]SubjectHealth
}

// Fold returns the state after one more result.
func (s *State) Fold(result Result) *State {
	next := s.clone()
	if result.Success {
		next.succeed(result)
		return next
	}
	next.fail(result)
	return next
}

// Knows reports whether a result is a success that changes nothing but the time
// of a proof that is still fresh, so that it need not be folded.
func (s *State) Knows(result Result) bool {
	if s == nil || !result.Success {
		return false
	}
	worker := s.workers[result.Worker]
	_, blamed := s.subjects[result.Subject]
	fresh := !worker.Proven.IsZero() && result.At.Sub(worker.Proven) < proofRefresh
	return fresh && !blamed && !worker.Out && len(worker.Failed) == 0
}

func (s *State) clone() *State {
	next := &State{workers: map[ident.WorkerID]WorkerHealth{}, subjects: map[Subject]SubjectHealth{}}
	if s != nil {
		maps.Copy(next.workers, s.workers)
		maps.Copy(next.subjects, s.subjects)
	}
	return next
}

// succeed brings a worker back and clears its subject. A success proves both.
func (s *State) succeed(result Result) {
	s.workers[result.Worker] = WorkerHealth{Proven: result.At}
	delete(s.subjects, result.Subject)
}

// fail records a failure with both parties, then decides which are at fault.
func (s *State) fail(result Result) {
	subject := s.subjects[result.Subject]
	subject.Failed = with(subject.Failed, result.Worker, result.At)
	s.subjects[result.Subject] = subject
	worker := s.workers[result.Worker]
	worker.Failed = with(worker.Failed, result.Subject, result.At)
	if worker.Out {
		worker.Interval = min(2*worker.Interval, maxProbe)
		worker.NextProbe = result.At.Add(worker.Interval)
		worker.Probing = time.Time{}
	}
	s.workers[result.Worker] = worker
	s.judge(result.At)
}

// with returns a copy of failures with one more and without those too old.
func with[K comparable](failures map[K]time.Time, key K, at time.Time) map[K]time.Time {
	next := map[K]time.Time{key: at}
	for other, when := range failures {
		if other != key && at.Sub(when) < memory {
			next[other] = when
		}
	}
	return next
}

// judge decides on workers first, so that a worker that fails everything is
// no evidence against the jobs that it failed. Each step decides on the state
// before it, so the order of the maps has no effect.
func (s *State) judge(now time.Time) {
	for _, id := range s.atFault(now) {
		worker := s.workers[id]
		worker.Out = true
		worker.Interval = firstProbe
		worker.NextProbe = now.Add(firstProbe)
		s.workers[id] = worker
	}
	for _, id := range s.failEverywhere(now) {
		subject := s.subjects[id]
		subject.Parked = true
		s.subjects[id] = subject
	}
}

// atFault returns the workers whose failures their jobs don't explain.
func (s *State) atFault(now time.Time) []ident.WorkerID {
	var found []ident.WorkerID
	for id, worker := range s.workers {
		if !worker.Out && s.unexplained(id, now) >= failuresToTakeOut {
			found = append(found, id)
		}
	}
	return found
}

// unexplained counts the subjects that fail on a worker and are not known to
// fail on others.
func (s *State) unexplained(id ident.WorkerID, now time.Time) int {
	count := 0
	for subject, at := range s.workers[id].Failed {
		if now.Sub(at) < memory && !s.explained(subject, id, now) {
			count++
		}
	}
	return count
}

func (s *State) explained(id Subject, at ident.WorkerID, now time.Time) bool {
	subject := s.subjects[id]
	others := 0
	for worker, when := range subject.Failed {
		if worker != at && now.Sub(when) < memory {
			others++
		}
	}
	return subject.Parked || others >= failuresToExplain
}

// failEverywhere returns the subjects that fail on enough workers in service.
func (s *State) failEverywhere(now time.Time) []Subject {
	var found []Subject
	for id, subject := range s.subjects {
		proven, all := s.failedInService(subject, now)
		if !subject.Parked && (proven >= failuresToPark || all >= failuresToParkUnproven) {
			found = append(found, id)
		}
	}
	return found
}

// failedInService counts the workers that are not out on which a subject
// failed: those with a recent success, and all.
func (s *State) failedInService(subject SubjectHealth, now time.Time) (proven, all int) {
	for id, at := range subject.Failed {
		worker := s.workers[id]
		if worker.Out || now.Sub(at) >= memory {
			continue
		}
		all++
		if !worker.Proven.IsZero() && now.Sub(worker.Proven) < memory {
			proven++
		}
	}
	return proven, all
}

// Probed returns the state after a start was sent to a worker that is out.
func (s *State) Probed(id ident.WorkerID, now time.Time) *State {
	next := s.clone()
	worker, found := next.workers[id]
	if !found || !worker.Out {
		return next
	}
	worker.Probing = now.Add(probeTimeout)
	next.workers[id] = worker
	return next
}

// Worker returns the health of a worker at a time. Probing means that exactly
// one start may be sent; it is recorded by Probed.
func (s *State) Worker(id ident.WorkerID, now time.Time) workers.Health {
	if s == nil || !s.workers[id].Out {
		return workers.Healthy
	}
	worker := s.workers[id]
	if now.Before(worker.NextProbe) || now.Before(worker.Probing) {
		return workers.Failing
	}
	return workers.Probing
}

// Parked returns the typed reason for which a subject gets no more attempts,
// or nil.
func (s *State) Parked(id Subject) *fault.Failure {
	if s == nil || !s.subjects[id].Parked {
		return nil
	}
	failed := slices.Sorted(maps.Keys(s.subjects[id].Failed))
	return fault.New(fault.TaskFailed, "%s failed on %d different workers: %v", id, len(failed), failed)
}

// Release returns the state after an operator or a new version of a job lets
// it be tried again.
func (s *State) Release(id Subject) *State {
	next := s.clone()
	delete(next.subjects, id)
	return next
}

// Prune returns the state without what no longer counts. Workers that are out
// and parked subjects stay.
func (s *State) Prune(now time.Time) *State {
	next := s.clone()
	maps.DeleteFunc(next.workers, func(_ ident.WorkerID, w WorkerHealth) bool {
		return !w.Out && allOld(w.Failed, now) && now.Sub(w.Proven) >= memory
	})
	maps.DeleteFunc(next.subjects, func(_ Subject, h SubjectHealth) bool {
		return !h.Parked && allOld(h.Failed, now)
	})
	return next
}

func allOld[K comparable](failures map[K]time.Time, now time.Time) bool {
	for _, at := range failures {
		if now.Sub(at) < memory {
			return false
		}
	}
	return true
}
