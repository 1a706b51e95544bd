package cell

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// testMaxLease is the longest lease that a worker grants.
	testMaxLease = 6 * time.Second
	// testOrderDelay is how long an order without an answer may be under way.
	testOrderDelay = 12 * time.Second
)

// simEarlierClock is what a session knows of orders that named the end of their lease on the
// clock of an earlier incarnation.
type simEarlierClock struct {
	// earlierClockToken is the highest token of theirs, or 0 if there are none.
	earlierClockToken int64
}

func (s *simulation) leaseExcess() time.Duration {
	if !s.longestAfterRestart {
		return 0
	}
	return testMaxLease - testLease
}

// grantedUntil returns the end of the lease that a worker grants for an order that was meant for
// an incarnation, or for none known.
func (s *simulation) grantedUntil(w *simWorker, meant int64, sent time.Time) time.Time {
	if s.longestAfterRestart && meant != 0 && meant != w.incarnation {
		s.longestGranted++
		return s.now.Add(testMaxLease)
	}
	return sent.Add(testLease)
}

// coverEarlierClock adds to a report until when leases may last by orders that were meant for an
// earlier incarnation, as a session does.
func (s *simulation) coverEarlierClock(session *simSession, report *Report) {
	if !s.longestAfterRestart || s.leasesUncovered {
		return
	}
	if session.incarnation != 0 && session.incarnation != report.Incarnation {
		session.earlierClockToken = session.token
		session.token++
	}
	if session.earlierClockToken == 0 {
		return
	}
	report.EarlierClockUntil = s.now.Add(testMaxLease)
	session.leaseEnd = later(session.leaseEnd, report.EarlierClockUntil)
	if report.Token <= session.earlierClockToken {
		report.StrayUntil = report.EarlierClockUntil.Add(testOrderDelay)
	} else {
		session.earlierClockToken = 0
	}
}

// startLeaseEnd returns until when the lease may last that a start has granted. The clock in the
// answer shows whether another incarnation has carried it out than it was meant for.
func (s *simulation) startLeaseEnd(session *simSession, meant int64, outcome StartOutcome, sent time.Time) time.Time {
	if s.longestAfterRestart && !s.leasesUncovered && outcome == StartAccepted && meant != session.worker.incarnation {
		session.leaseEnd = later(session.leaseEnd, s.now.Add(testMaxLease))
		return s.now.Add(testMaxLease)
	}
	return sent.Add(testLease + testLeaseMargin)
}

// restartAndCut lets some workers start again and cuts them off soon after they are back.
func (s *simulation) restartAndCut() {
	down, back, cut := s.millis(300, 1000), s.millis(100, 1500), s.millis(6000, 10000)
	for _, w := range s.someWorkers() {
		s.crash(w, down)
		s.schedule(down+back, func() {
			s.addFault("%s is cut off for %v", w.info.ID, cut)
			w.cut = true
		})
		s.schedule(down+back+cut, func() { w.cut = false })
	}
}

// runRestartDay runs a day on which workers restart under their ids and are cut off soon after,
// beside changes of leader.
func runRestartDay(s *simulation) {
	s.longestAfterRestart = true
	s.startTerm()
	s.advance(time.Second)
	const day = 90 * time.Second
	for range 3 {
		s.submit(longRunningJob(s.random), 0)
	}
	s.every(day, 500, 1500, s.submitAny)
	s.every(day, 1500, 4000, func() { s.submit(longTasksJob(s.random), 0) })
	s.every(day, 11000, 16000, s.restartAndCut)
	s.every(day, 15000, 30000, s.startTerm)
	s.advance(day + 60*time.Second)
	s.checkNothingLeft()
}

var (
	restartsFirstFlag = flag.Uint64("restarts-first", 1, "first seed of TestNothingRunsTwiceOnRestartedWorkersThatAreCutOff")
	restartsSeedsFlag = flag.Uint64("restarts-seeds", 12, "number of its seeds")
)

// Guards against two runs of a task at a time after its worker has restarted and is cut off, while
// the lease that the new incarnation has granted goes on.
func TestNothingRunsTwiceOnRestartedWorkersThatAreCutOff(t *testing.T) {
	t.Parallel()
	for seed := *restartsFirstFlag; seed < *restartsFirstFlag+*restartsSeedsFlag; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(t, seed, 6+int(seed%7))
			runRestartDay(s)
			assert.Assert(t, s.longestGranted > 0, "no order reached an incarnation that it was not meant for")
		})
	}
}

// Guards against a simulation that would not notice if the longest lease were left out of account.
func TestLongestLeaseOfRestartedWorkersIsNoticed(t *testing.T) {
	t.Parallel()
	for seed := range uint64(maxNoticeSeeds) {
		s := newSimulation(t, seed+1, 6+int((seed+1)%7))
		s.leasesUncovered = true
		if runsTwice(s, func() { runRestartDay(s) }) {
			return
		}
	}
	t.Fatalf("nothing ran twice on the seeds 1 to %d", maxNoticeSeeds)
}
