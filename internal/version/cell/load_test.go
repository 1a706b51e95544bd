package cell

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

// Guards against an estimate that lags behind a load that swings, by more than
// a third of what the load moves within the age of a report.
func TestOwnLoadFollowsASwing(t *testing.T) {
	const period, ahead = 10.0, 0.8
	swing := func(at float64) float64 { return 0.42 + 0.21*math.Sin(2*math.Pi*at/period) }
	var load ownLoad
	worst := 0.0
	for at := 0.0; at < 40; at += 0.1 {
		now := testStart.Add(time.Duration(at * float64(time.Second)))
		variance := load.varianceAt(now)
		load.correct(now, swing(at)-load.expect(now), variance/(variance+reportNoise*reportNoise))
		if at < 5 {
			continue
		}
		worst = max(worst, math.Abs(load.expect(now.Add(ahead*1e9))-swing(at+ahead)))
	}
	moves := 2 * math.Pi / period * 0.21 * ahead
	assert.Assert(t, worst < moves/3, "off by %.3f, the load moves by %.3f", worst, moves)
}

// twoServing returns a cell in which two tasks of one serving step run on two
// workers, with a filler beside the second, and their rows.
func twoServing(t *testing.T) (*Cell, func(tail int) Row, func(tail int) []Row) {
	t.Helper()
	record := JobRecord{ID: testJob, AcceptedMillis: testStart.UnixMilli(), Terms: Terms{Queue: "q", Pool: "pool", Attempts: 3},
		Job: jobspec.Job{Steps: []jobspec.Step{
			{Count: 2, CPU: 3000, MemoryMB: 100, LongRunning: true, Image: "serve", TargetMillis: 18},
			{Count: 1, CPU: 3000, MemoryMB: 100, EstimateMillis: 60000, Fills: true, Image: "fill", Checkpointing: true},
		}}}
	c := successor(record)
	alone := func(tail int) Row { return Row{Task: TaskID{Job: testJob}, Run: 1, Percent: 100, Gauge: tail} }
	shared := func(tail int) []Row {
		return []Row{
			{Task: TaskID{Job: testJob, Index: 1}, Run: 1, Percent: 100, Gauge: tail},
			{Task: TaskID{Job: testJob, Step: 1}, Run: 1, Percent: 10, Gauge: 3000},
		}
	}
	c.Report(testStart, report(testWorker, testStart, alone(4)))
	c.Report(testStart, report(otherOne, testStart, shared(4)...))
	c.Take(testStart)
	return c, alone, shared
}

// Guards against blaming a filler for a swing of the load that the reports of
// other workers explain.
func TestASwingOfTheLoadIsNotPutDownToAFiller(t *testing.T) {
	c, alone, shared := twoServing(t)
	at := testStart.Add(2 * startup)
	for range 60 {
		since := at.Sub(testStart).Seconds()
		tail := int(math.Round(4 / (1 - 0.42 - 0.21*math.Sin(2*math.Pi*since/10))))
		c.Report(at, report(testWorker, at, alone(tail)))
		c.Report(at, report(otherOne, at, shared(tail)...))
		at = at.Add(400 * time.Millisecond)
	}
	known := c.pressures.pair("serve", "fill")
	assert.Assert(t, known.mean < unknownCoefficient, "%.3f per core", known.mean)
	assert.Assert(t, known.variance < trialVariance)
}

// Guards against a filler that presses on a serving image and isn't found out
// by its first reports, while another worker shows the own load.
func TestAPressingFillerIsFoundOut(t *testing.T) {
	c, alone, shared := twoServing(t)
	at := testStart.Add(2 * startup)
	for range 3 {
		c.Report(at, report(testWorker, at, alone(7)))
		c.Report(at, report(otherOne, at, shared(16)...)) // 0.1 a core beside a load of 0.42.
		at = at.Add(400 * time.Millisecond)
	}
	known := c.pressures.pair("serve", "fill")
	assert.Assert(t, known.mean > 0.05, "%.3f per core", known.mean)
}

// Guards against a whole step of tasks of an unknown image that is placed beside
// the same serving image before the first of them has shown what it does.
func TestOneTaskOfAnUnknownPairIsTriedAtATime(t *testing.T) {
	c, _, _ := twoServing(t)
	now := testStart.Add(2 * startup)
	known := c.pressures.entry("serve", "other")
	assert.Assert(t, c.pressures.pair("serve", "other").mayTry(now))
	known.tried = now
	assert.Assert(t, !c.pressures.pair("serve", "other").mayTry(now.Add(trialPeriod/2)))
	assert.Assert(t, c.pressures.pair("serve", "other").mayTry(now.Add(trialPeriod)))
	known.tried, known.variance = now, trialVariance/2
	assert.Assert(t, c.pressures.pair("serve", "other").mayTry(now))
}

// Guards against slowing a harmless filler for what another one does.
func TestTheWorstFillerIsSlowedFirst(t *testing.T) {
	c, _, _ := twoServing(t)
	w := c.workers[otherOne]
	worst := &run{task: w.someFiller(), worker: w, phase: running, pace: 100}
	mild := &run{task: &task{step: &step{spec: &jobspec.Step{CPU: 3000, Fills: true, Image: "mild"}}}, worker: w, phase: running, pace: 100}
	c.pressures.entry("serve", "fill").mean = 0.08
	c.pressures.entry("serve", "mild").mean = 0.03
	paces := map[*run]int{worst: 100, mild: 100}
	c.slowFor("serve", 0.2, paces)
	assert.Assert(t, paces[worst] < 60, "%d", paces[worst])
	assert.Equal(t, paces[mild], 100)
}

// someFiller returns a task that fills on the worker.
func (w *worker) someFiller() *task {
	for r := range w.runs {
		if r.task.spec().Fills {
			return r.task
		}
	}
	return nil
}
