package workerspeed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.UnixMilli(1_000_000)

// paced returns the progress of a run of one second that takes factor times as long, as it is
// seen by reports each 200 ms from at on.
func paced(at time.Time, factor float64) *Progress {
	p := &Progress{}
	p.Begin(at)
	for i := 1; i <= 4; i++ {
		p.Observe(at.Add(time.Duration(i)*200*time.Millisecond), min(100, int(float64(20*i)/factor)), time.Second)
	}
	return p
}

// assess returns an estimate by runs with the given factors.
func assess(factors ...float64) (*Estimate, time.Time) {
	e := &Estimate{}
	now := start.Add(800 * time.Millisecond)
	var runs []*Progress
	for _, factor := range factors {
		runs = append(runs, paced(start, factor))
	}
	e.ObserveRuns(now, runs)
	e.Assess(now, Fleet{}, time.Time{})
	return e, now
}

// Estimates of single tasks are off by a factor of two: such a task must not make its worker
// slow, whereas several slow ones, or one that is far too slow, must.
func TestOneTaskProvesLittle(t *testing.T) {
	for _, test := range []struct {
		factors []float64
		slow    bool
	}{
		{[]float64{1}, false}, {[]float64{2}, false}, {[]float64{2, 2}, false}, {[]float64{4}, false}, {[]float64{9}, true},
		{[]float64{5, 6, 7}, true}, {[]float64{1, 1, 9}, false}, {[]float64{0.5, 0.6, 0.5}, false}, {[]float64{0.3, 0.3}, false},
	} {
		e, _ := assess(test.factors...)
		assert.Equal(t, e.IsSlow(), test.slow, "%v: %v", test.factors, e.Probability())
	}
	e, _ := assess(7, 7, 7, 7)
	assert.Assert(t, e.Factor() > 4 && e.Factor() < 9, "%v", e.Factor())
}

// A worker that gets no tasks because it is slow must be tried again, but not before a
// degradation is mostly over.
func TestSlowWorkerIsTriedAgain(t *testing.T) {
	e, now := assess(7, 7, 7)
	e.ObserveRuns(now, nil)
	for range 3 {
		e.ObserveEnd(now, paced(start, 7))
	}
	recovered := time.Duration(0)
	for after := time.Duration(0); after < 20*time.Second && recovered == 0; after += 100 * time.Millisecond {
		if e.Assess(now.Add(after), Fleet{slowShare: 0.1}, time.Time{}) == Recovered {
			recovered = after
		}
	}
	assert.Assert(t, recovered > 2*time.Second && recovered < 10*time.Second, "%v", recovered)
}

// A worker that has recovered must count as such with the first tasks that show it.
func TestRecoveryShowsAtOnce(t *testing.T) {
	e, now := assess(7, 7, 7)
	later := now.Add(time.Second)
	e.ObserveRuns(later, []*Progress{paced(now, 1), paced(now, 1)})
	assert.Equal(t, e.Assess(later, Fleet{}, time.Time{}), Recovered)
	assert.Equal(t, e.Factor(), 1.0)
}

// If most workers take longer than expected, the expectation is wrong. None of them must be
// avoided.
func TestSpeedIsRelativeToFleet(t *testing.T) {
	var fleet []*Estimate
	now := start
	for i := range 10 {
		factor := 5.0
		if i >= 7 {
			factor = 1
		}
		e, at := assess(factor, factor, factor)
		fleet, now = append(fleet, e), at
	}
	common := NewFleet(fleet)
	for _, e := range fleet {
		e.Assess(now, common, time.Time{})
	}
	assert.Assert(t, !fleet[0].IsSlow() && fleet[0].Factor() == 1)
	assert.Assert(t, fleet[9].Factor() < 0.5, "those of usual speed are the faster ones")
	idle := []*Estimate{fleet[0], {}, {}}
	assert.Equal(t, NewFleet(idle), Fleet{}, "one busy worker is not the fleet")
}

// A cold worker counts as slow until its tasks show its speed, and what was learned while it was
// cold must not keep tasks from it later.
func TestColdWorker(t *testing.T) {
	e := &Estimate{}
	cold := start.Add(3 * time.Second)
	e.Assess(start, Fleet{}, cold)
	assert.Assert(t, e.Factor() > 3 && !e.IsSlow())
	now := start.Add(800 * time.Millisecond)
	e.ObserveRuns(now, []*Progress{paced(start, 1), paced(start, 1)})
	e.Assess(now, Fleet{}, cold)
	assert.Equal(t, e.Factor(), 1.0, "not slow after all")
	e, now = assess(7, 7, 7)
	e.Assess(now, Fleet{}, cold)
	assert.Assert(t, e.IsSlow())
	assert.Equal(t, e.Assess(cold, Fleet{}, cold), Recovered)
	assert.Equal(t, e.Factor(), 1.0)
}

// A run that slows down on its way must show it within a second, and whole percents must not
// look like a stop.
func TestProgressFollowsChange(t *testing.T) {
	p := &Progress{}
	p.Begin(start)
	done := 0.0
	for i := 1; i <= 20; i++ {
		speed := 1.0
		if i > 10 {
			speed = 0.125
		}
		done += speed * 100 / 20 / 2
		p.Observe(start.Add(time.Duration(i)*100*time.Millisecond), int(done), 4*time.Second)
		if i == 10 {
			assert.Assert(t, p.sample.log < 0.5 && p.sample.log > -0.5, "%v", p.sample)
		}
	}
	assert.Assert(t, p.sample.log > 1.5, "%v", p.sample)
	long := &Progress{}
	long.Begin(start)
	long.Observe(start.Add(500*time.Millisecond), 0, 100*time.Second)
	assert.Equal(t, long.sample, sample{}, "less time than one percent takes")
	p.Observe(start.Add(3*time.Second), 2, 4*time.Second)
	assert.Equal(t, p.sample, sample{}, "the run has begun anew")
}

// A move must not be made for a gain that the error of estimates may undo, and a run without
// checkpoints loses what is done of it.
func TestGain(t *testing.T) {
	slow, now := assess(7, 7, 7, 7)
	usual := &Estimate{}
	for _, test := range []struct {
		work, left  time.Duration
		checkpoints bool
		moved       bool
	}{
		{time.Second, 900 * time.Millisecond, false, true},
		{time.Second, 50 * time.Millisecond, false, false},
		{2500 * time.Millisecond, time.Second, true, true},
		{2500 * time.Millisecond, 400 * time.Millisecond, false, false},
		{time.Minute, 50 * time.Second, false, false},
	} {
		_, clear := Move{Work: test.work, Left: test.left, Checkpoints: test.checkpoints}.Gain(now, slow, usual)
		assert.Equal(t, clear, test.moved, "%+v", test)
		_, clear = Move{Work: test.work, Left: test.left, Checkpoints: test.checkpoints}.Gain(now, usual, usual)
		assert.Assert(t, !clear)
		_, clear = Move{Work: test.work, Left: test.left, Checkpoints: test.checkpoints}.Gain(now, slow, slow)
		assert.Assert(t, !clear, "the other worker is as slow")
	}
}

// A wait counts towards the 3 s that a task whose turn has come may wait, whatever the estimates
// say.
func TestWaitsAreBounded(t *testing.T) {
	assert.Assert(t, Waits(0, time.Hour, time.Second))
	for _, lost := range []time.Duration{0, time.Second, time.Hour} {
		for _, slack := range []time.Duration{-time.Second, 0, time.Millisecond, 2 * time.Hour} {
			assert.Assert(t, !Waits(time.Second, lost, slack))
		}
	}
	assert.Assert(t, !Waits(0, time.Second, 2*time.Second), "the job has the time")
	assert.Equal(t, Delay(time.Hour, 0), 1.0)
	assert.Equal(t, Delay(-time.Second, time.Second), 0.0)
}
