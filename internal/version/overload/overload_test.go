package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const capacity = 1_000_000

func testJob() Job {
	return Job{Work: 96e6 / 10, Chain: 1200 * time.Millisecond, Objective: 2400 * time.Millisecond, LateFactor: 3}
}

func alone() Share { return Share{Weight: 1, TotalWeight: 1} }

// Guards against a refusal while there is capacity, or while the forecast does not exclude any
// value.
func TestJobIsRefusedOnlyWithoutHope(t *testing.T) {
	busy := Load{Capacity: capacity, Running: 1e9, Queued: 2e9, Rate: 1.5 * capacity}
	hog := Share{Queued: 2e9, Weight: 1, TotalWeight: 2}
	for name, c := range map[string]struct {
		load  Load
		share Share
		want  Reason
	}{
		"nothing is known":           {Load{}, alone(), Unknown},
		"a tenth is free":            {Load{Capacity: capacity, Free: capacity / 10, Queued: 1e12, Rate: capacity}, hog, Room},
		"a short queue":              {Load{Capacity: capacity, Running: 1e9, Queued: 5e8}, hog, InTime},
		"the queue has used nothing": {busy, Share{Weight: 1, TotalWeight: 2}, WithinShare},
		"capacity left for late":     {Load{Capacity: capacity, Queued: 2e9, Rate: capacity / 2}, hog, InPart},
		"none left for late":         {busy, hog, Hopeless},
	} {
		decision := Decide(c.load, c.share, testJob())
		assert.Equal(t, decision.Reason, c.want, name)
		assert.Equal(t, decision.Refused(), c.want == Hopeless, name)
	}
}

// Guards against jobs that are refused for their own size while hardly anything waits: their
// image takes longer than the caller's estimate, or they need the whole fleet for long.
func TestJobThatIsLateOnIdleFleetIsAccepted(t *testing.T) {
	load := Load{Capacity: capacity, Running: 1e8, Queued: 1e7, Rate: capacity}
	slow, large := testJob(), testJob()
	slow.Chain = 10 * slow.Objective
	large.Work = 100 * capacity * float64(large.Objective.Milliseconds())
	for _, job := range []Job{slow, large} {
		assert.Assert(t, !Decide(load, alone(), job).Refused())
		job.Returned = true
		load.Queued, load.Running = 0, 0
		assert.Assert(t, !Decide(load, alone(), job).Refused())
	}
}

// Guards against waits that are longer than callers are told to expect, or shorter than the
// unit of Retry-After, whatever is refused.
func TestWaitsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Pacer
		now := time.UnixMilli(1_000_000)
		for range rapid.IntRange(1, 50).Draw(t, "refusals") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "pause")))
			excess := time.Duration(rapid.Int64Range(-int64(time.Hour), int64(MaxExpected)).Draw(t, "excess"))
			need := time.Duration(rapid.Int64Range(0, int64(MaxExpected)).Draw(t, "need"))
			wait := p.Wait(now, excess, need, rapid.Uint64().Draw(t, "spread"))
			if wait < MinWait || wait > MaxWait {
				t.Fatalf("wait of %v", wait)
			}
		}
	})
}

// Guards against callers that are refused together and return together.
func TestRefusedCallersReturnSpreadOut(t *testing.T) {
	var p Pacer
	now := time.UnixMilli(1_000_000)
	bySecond := map[time.Duration]int{}
	const refusals = 2000
	for i := range refusals {
		bySecond[p.Wait(now, time.Second, 10*time.Millisecond, uint64(i)*0x9e3779b97f4a7c15)/time.Second]++
	}
	for second, callers := range bySecond {
		assert.Assert(t, callers <= refusals/5, "%d callers return in second %d", callers, second)
	}
}

// Guards against one size of job that is shut out for the whole of an overload, and against a
// floor that lets more through than its part of the capacity.
func TestFloorsLetSmallAndLargestJobsThrough(t *testing.T) {
	var f Floors
	now := time.UnixMilli(1_000_000)
	accepted, sizes := map[int]float64{}, []float64{1e6, 1e7, 1e7, 1e7, 1e7, 1e7, 1e7, 1e7, 1e7, 2e8}
	for i := range 20000 {
		now = now.Add(10 * time.Millisecond)
		work := sizes[i%len(sizes)]
		f.Observe(work)
		if f.Allow(now, work, capacity) {
			accepted[i%len(sizes)] += work
		}
	}
	assert.Assert(t, accepted[0] > 0 && accepted[9] > 0, "%v", accepted)
	total := 0.0
	for _, work := range accepted {
		total += work
	}
	assert.Assert(t, total <= 2*floorShare*capacity*200_000+2e8+2*floorShare*capacity*5000, "%.0f", total)
}
