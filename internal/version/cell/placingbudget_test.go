package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

// newWaitingCell returns a cell of 350 workers without free capacity, with ready tasks in jobs of
// ten.
func newWaitingCell(tasks int, refuseHopeless bool) (*Cell, time.Time) {
	now := testStart
	c := New(Config{Epoch: 1, RecoveryWait: 8 * time.Second, MaxEarlierLease: testLease, EndedJobRetention: time.Minute, RemoteFactor: 1, RefuseHopeless: refuseHopeless})
	var infos []WorkerInfo
	for i := range 350 {
		info := testInfo(WorkerID(fmt.Sprintf("w%04d", i)))
		info.Capacity = Size{CPU: 64000, MemoryMB: 128000}
		infos = append(infos, info)
	}
	c.UpdateWorkers(now, infos)
	for _, info := range infos {
		c.ApplyReport(now, newReport(info.ID, now))
	}
	c.markAllStored(now)
	submit := func(i, count, cpu int) {
		step := jobspec.Step{Count: count, CPUMillis: cpu, MemoryMB: 1, EstimateMillis: 600_000, Image: "image"}
		c.SubmitInDoubt(now, 1, jobspec.ID(fmt.Sprintf("%016x", i)), &jobspec.Job{Steps: []jobspec.Step{step}}, QueueTerms{Queue: "q", Pool: "pool", Stretch: 2})
	}
	submit(0, 350, 64000)
	c.markAllStored(now)
	for i := range tasks / 10 {
		submit(i+1, 10, 8000)
	}
	c.markAllStored(now)
	return c, now
}

// Guards against tasks that could start but are never tried, because those ranked before them
// take all attempts of each pass.
func TestTasksBehindManyThatFindNoPlaceStart(t *testing.T) {
	c, now := newWaitingCell(0, true)
	submit := func(i int, label string, priority int) jobspec.ID {
		id := jobspec.ID(fmt.Sprintf("%016x", i+1))
		step := jobspec.Step{Count: 1, CPUMillis: 8000, MemoryMB: 1, EstimateMillis: 600_000, Label: label}
		c.SubmitInDoubt(now, 1, id, &jobspec.Job{Steps: []jobspec.Step{step}}, QueueTerms{Queue: "q", Pool: "pool", Priority: priority, Stretch: 2})
		return id
	}
	for i := range 2000 {
		submit(i, "none has it", 0)
	}
	last := submit(2000, "", 2)
	c.UpdateWorkers(now, append(c.Workers(), WorkerInfo{ID: "free", Pool: "pool", Capacity: Size{CPU: 8000, MemoryMB: 100}}))
	c.ApplyReport(now, newReport("free", now))
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		c.markAllStored(now)
	}
	assert.Equal(t, len(c.jobs[last].occurrences[0].steps[0].tasks[0].runs), 1)
}

// benchmarkWaiting measures a part of a pass with 6,000 and 60,000 ready tasks that can't start.
func benchmarkWaiting(b *testing.B, measured func(c *Cell, now time.Time)) {
	for _, refuses := range []bool{false, true} {
		for _, tasks := range []int{6000, 60000} {
			b.Run(fmt.Sprintf("refuses=%v/tasks=%d", refuses, tasks), func(b *testing.B) {
				c, now := newWaitingCell(tasks, refuses)
				b.ResetTimer()
				for range b.N {
					now = now.Add(40 * time.Millisecond)
					measured(c, now)
				}
			})
		}
	}
}

func BenchmarkRankReady(b *testing.B) {
	benchmarkWaiting(b, func(c *Cell, now time.Time) { c.rankReady(now) })
}

// BenchmarkStartReadyTasks measures passes without the ranking, each after the pause of the steps.
func BenchmarkStartReadyTasks(b *testing.B) {
	benchmarkWaiting(b, func(c *Cell, now time.Time) {
		c.rankedAt, c.needsRanking = now, false
		c.startReadyTasks(now)
	})
}

// BenchmarkSubmitDecision measures the forecast for one submission.
func BenchmarkSubmitDecision(b *testing.B) {
	for _, tasks := range []int{6000, 60000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			c, now := newWaitingCell(tasks, true)
			record := JobRecord{ID: "00000000000000ff", Terms: QueueTerms{Queue: "q", Pool: "pool", Stretch: 2},
				Job: jobspec.Job{Steps: []jobspec.Step{{Count: 10, CPUMillis: 8000, EstimateMillis: 800}}}}
			b.ResetTimer()
			for range b.N {
				now = now.Add(16 * time.Second)
				c.refuses(now, record)
			}
		})
	}
}
