package entry

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/celllink"
	"poplarvalve/internal/process/boottime"
	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/election"
	"poplarvalve/internal/version/statebudget"
	"poplarvalve/test/virtualtime"
)

// startRoomTest returns the leadership of a cell with the limits of an instance of 64 MB, whose
// events are applied until the test ends. Its writes are stored unless the log is slow.
func startRoomTest(t *testing.T, logIsSlow bool) *leadership {
	l := testLeadership(t)
	l.cell = cell.New(cell.Config{EndedJobRetention: time.Minute, Budget: statebudget.New(statebudget.LimitsFor(64))})
	now := boottime.Now()
	l.lastRenewal.Store(&now)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() {
		for {
			select {
			case e := <-l.events:
				e(time.Now(), l.cell)
			case <-ctx.Done():
				return
			}
			for effects := l.cell.TakeEffects(time.Now()); ; effects = l.cell.TakeEffects(time.Now()) {
				for _, request := range effects.AnswerableRequests {
					l.completeRequest(request)
				}
				if logIsSlow || effects.Write == nil {
					break
				}
				l.cell.MarkStored(time.Now(), effects.Write.Number)
			}
		}
	}()
	return l
}

// largeCall returns the submission of a job of about 100 KB by a source.
func largeCall(id jobspec.ID, source byte) cellcodec.Call {
	call := testCall(id)
	call.Source = []byte{10, 0, 0, source}
	call.Job = &jobspec.Job{Steps: []jobspec.Step{{Count: 1, CPUMillis: 8000, Label: strings.Repeat("a", 100<<10)}}}
	return call
}

func jobID(number byte) jobspec.ID {
	const digits = "0123456789abcdef"
	return jobspec.ID("00000000000000" + string(digits[number>>4]) + string(digits[number&15]))
}

// Guards against a leader that accepts jobs until its memory is used up, that refuses without a
// wait, that refuses the repeat of an accepted job, or that shuts out callers from other addresses.
func TestLeaderWithoutRoomRefusesNewJobsOnly(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		l := startRoomTest(t, false)
		accepted := byte(0)
		reply := cellcodec.Reply{Result: cellcodec.OK}
		for reply.Result == cellcodec.OK && accepted < 255 {
			accepted++
			reply = l.serve(t.Context(), largeCall(jobID(accepted), 1))
		}
		assert.Equal(t, reply.Result, cellcodec.Refused)
		assert.Assert(t, reply.RetryAfterMillis >= 1000 && reply.RetryAfterMillis <= 15000, "%d ms", reply.RetryAfterMillis)
		assert.Assert(t, accepted > 20, "%d jobs are accepted", accepted)
		assert.Equal(t, l.serve(t.Context(), largeCall(jobID(1), 1)).Result, cellcodec.OK, "a repeat")
		assert.Equal(t, l.serve(t.Context(), largeCall(jobID(1), 2)).Result, cellcodec.OK, "a repeat from another address")
		other := largeCall(jobID(254), 2)
		assert.Equal(t, l.serve(t.Context(), other).Result, cellcodec.OK, "another caller")
		inDoubt := largeCall(jobID(255), 1)
		inDoubt.InDoubt = true
		assert.Equal(t, l.serve(t.Context(), inDoubt).Result, cellcodec.Refused)

		time.Sleep(election.TermLease + time.Millisecond)
		assert.Equal(t, l.serve(t.Context(), largeCall(jobID(253), 1)).Result, cellcodec.NotLeader, "a later leader may have the job")
	})
}

// Guards against memory for jobs that arrive faster than the log stores them, against a repeat that
// is refused while its first attempt is being stored, and against room that stays reserved after
// its call has ended.
func TestJobsThatAreBeingStoredAreBounded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		l := startRoomTest(t, true)
		results := make(chan cellcodec.Reply, 256)
		for number := range byte(40) {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				results <- l.serve(ctx, largeCall(jobID(number), number))
			}()
		}
		time.Sleep(time.Second)
		refused := len(results)
		assert.Assert(t, refused > 20 && refused < 40, "%d of 40 calls are refused", refused)
		for range refused {
			reply := <-results
			assert.Equal(t, reply.Result, cellcodec.Refused)
			assert.Assert(t, reply.RetryAfterMillis >= 1000)
		}
		state := l.cell.Budget().State()
		assert.Assert(t, state.HeldBytes <= state.LimitBytes/4+100<<10, "%+v", state)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		repeated := 0
		for number := range byte(40) {
			if _, stored := l.cell.Lookup(jobID(number)); stored {
				t.Error("a job is stored in a log that stores nothing")
			}
			if reply := l.serve(ctx, largeCall(jobID(number), number)); reply.Result == cellcodec.InDoubt {
				repeated++ // It waits like the first attempt, until ctx ends.
				break
			}
		}
		assert.Equal(t, repeated, 1)
		time.Sleep(2 * time.Second)
		assert.Equal(t, l.cell.Budget().State().InFlightBytes, int64(0))
	})
}

// Guards against a leader on a large machine that accepts more than the smallest instance can
// restore, and against a job that is accepted though no instance can open it.
func TestLimitsFollowSmallestInstanceHeardOf(t *testing.T) {
	l := startRoomTest(t, false)
	l.entry.options.MemoryMB = 536
	l.entry.leaders.smallestMemoryMB.Store(536)
	heartbeat, _ := l.entry.leaders.NextHeartbeat(celllink.RemoteManifest{Version: -1}, 0)
	assert.Equal(t, heartbeat.MemoryMB, l.entry.options.MemoryMB)
	for _, memoryMB := range []int{184, 536, 0, 64} {
		l.entry.leaders.HandleHeartbeat(cellcodec.LinkHeartbeat{Nonce: 7, MemoryMB: memoryMB}, time.Time{})
	}
	l.updateRoom()
	assert.Equal(t, l.cell.Budget().Limits(), statebudget.LimitsFor(64))
	call := testCall(jobID(1))
	call.Job = &jobspec.Job{}
	for range 8 {
		call.Job.Steps = append(call.Job.Steps, jobspec.Step{Count: jobspec.MaxTasks, CPUMillis: 1})
	}
	reply := l.serve(t.Context(), call)
	assert.Equal(t, reply.Result, cellcodec.TooLarge)
	assert.Assert(t, reply.Limit > 4096 && reply.Limit < call.Job.Tasks())
}
