package statebudget

import (
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testBytes = 1 << 20

func testBudget() *Budget { return New(Limits{Bytes: testBytes, TaskShare: 1}) }

func sourceNumber(number uint32) []byte { return binary.BigEndian.AppendUint32(nil, number) }

// fill lets a source submit jobs of a size until one is refused, and returns how many bytes it holds.
func fill(b *Budget, source []byte, bytes int64) (held int64, refusal Refusal) {
	for {
		reservation, refusal := b.Reserve(source, bytes)
		if refusal != None {
			return held, refusal
		}
		b.Charge(source, bytes)
		reservation.Release()
		held += bytes
	}
}

// Guards against a budget that one source uses up, so that no other caller's jobs are accepted, and
// against one that shuts a source out which is alone.
func TestSourceLeavesRoomForOthers(t *testing.T) {
	const shared = testBytes * (1 - reservedShare)
	for _, bytes := range []int64{100, 5000, 50000} {
		b := testBudget()
		held, refusal := fill(b, sourceNumber(1), bytes)
		assert.Equal(t, refusal, SourceFull)
		assert.Assert(t, float64(held) > shared*0.8 && float64(held) < shared*0.91, "%d bytes of %d", held, testBytes)
		held, _ = fill(b, sourceNumber(2), 1000)
		assert.Assert(t, held >= 50000, "%d bytes", held)
	}
}

// Guards against callers that are shut out by many sources each of which is within its part, whether
// these submit large jobs or as many small ones as they can.
func TestManySourcesLeaveRoomForOrdinaryJob(t *testing.T) {
	for _, bytes := range []int64{1500, 80000} {
		b := New(LimitsFor(184))
		for range 3 {
			for number := range uint32(600) {
				fill(b, sourceNumber(number), bytes)
				fill(b, sourceNumber(number), 1500)
			}
		}
		assert.Assert(t, float64(b.Held()) > 0.74*float64(b.Limits().Bytes))
		served := 0
		for number := range uint32(100) {
			reservation, refusal := b.Reserve(sourceNumber(5000+number), 1500)
			if refusal == None {
				served++
			}
			reservation.Release()
		}
		assert.Assert(t, served >= 90, "%d of 100 sources are served; some share the entry of another one", served)
	}
}

// Guards against memory for jobs that are accepted faster than the log stores them: they are held
// beside their encoded form.
func TestJobsInFlightTakePartOfBudget(t *testing.T) {
	b := testBudget()
	accepted := 0
	for number := range uint32(1000) {
		if _, refusal := b.Reserve(sourceNumber(number), 10000); refusal == None {
			accepted++
		} else {
			assert.Equal(t, refusal, InFlight)
		}
	}
	assert.Equal(t, accepted, int(inFlightShare*testBytes)/10000)
	largest := testBudget()
	_, refusal := largest.Reserve(nil, testBytes/2)
	assert.Equal(t, refusal, None, "a large job is refused although nothing else is in flight")
}

// Guards against room that is lost, or counted twice, when many calls are refused, accepted and
// forgotten at the same time: either nothing would be accepted after some time, or anything.
func TestConcurrentReservationsLoseNothing(t *testing.T) {
	b := testBudget()
	var calls sync.WaitGroup
	for seed := range uint64(8) {
		calls.Go(func() {
			random := rand.New(rand.NewPCG(seed, 1))
			for range 5000 {
				source, bytes := sourceNumber(random.Uint32N(20)), random.Int64N(20000)
				reservation, refusal := b.Reserve(source, bytes)
				if refusal == None {
					b.Charge(source, bytes)
					if b.Held() > testBytes+20000*8 {
						t.Errorf("%d bytes are held", b.Held())
					}
					b.Refund(source, bytes)
				}
				reservation.Release()
				reservation.Release()
			}
		})
	}
	calls.Wait()
	assert.Equal(t, b.Held(), int64(0))
	assert.Equal(t, b.inFlight.Load(), int64(0))
	for i := range b.sources {
		assert.Equal(t, b.sources[i].Load(), int64(0))
	}
}

// Guards against waits that end before there is room, that let all callers return together, or that
// are longer than a caller's patience.
func TestWaitEndsWhenRoomIsExpected(t *testing.T) {
	b := testBudget()
	now := time.Unix(1000, 0)
	different := map[time.Duration]bool{}
	for hash := range uint64(50) {
		spread := hash * 1_000_003_777
		b.SetRoomAt(time.Time{})
		assert.Assert(t, b.Wait(now, Full, spread) >= MaxWait-waitSpread && b.Wait(now, Full, spread) <= MaxWait)
		b.SetRoomAt(now.Add(5 * time.Second))
		wait := b.Wait(now, SourceFull, spread)
		assert.Assert(t, wait >= 5*time.Second && wait <= 5*time.Second+waitSpread, "%v", wait)
		different[wait.Round(time.Second)] = true
		assert.Assert(t, b.Wait(now, InFlight, spread) >= MinWait && b.Wait(now, InFlight, spread) <= MinWait+waitSpread)
		b.SetRoomAt(now.Add(-time.Hour))
		assert.Assert(t, b.Wait(now, Full, spread) >= MinWait)
	}
	assert.Assert(t, len(different) >= 3)
}

// Guards against a limit that the largest load of a deployment meets, on its smallest machines: 30
// jobs a second of 2 KB each that are kept for 2 minutes after their end, three times over.
func TestLimitsHoldLargestLoadOfDeployments(t *testing.T) {
	const jobs, jobBytes = 30 * 130, 2 << 10
	limits := LimitsFor(160)
	assert.Assert(t, limits.Bytes >= 3*jobs*jobBytes, "%d bytes", limits.Bytes)
	assert.Equal(t, limits.TaskShare, 1.0)
	assert.Assert(t, LimitsFor(1<<20).Bytes == maxBytes)
	for memory := 17; memory < 1000; memory++ {
		smaller, larger := LimitsFor(memory-1), LimitsFor(memory)
		assert.Assert(t, smaller.Bytes > 0 && smaller.Bytes <= larger.Bytes && smaller.TaskShare <= larger.TaskShare)
	}
}
