package cellcodec

import (
	"bytes"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/cell"
)

// shapedJob returns a job with texts and lists of the given sizes, and with numbers that
// take as many bytes as any.
func shapedJob(steps, count, spec, image, label, dependencies int, number int64) jobspec.Job {
	job := jobspec.Job{Spec: strings.Repeat("s", spec), FirstRunMillis: number, IntervalMillis: number, Occurrences: jobspec.MaxOccurrences}
	for i := range steps {
		step := jobspec.Step{Count: count, CPUMillis: int(number), MemoryMB: int(number), GPU: int(number), EstimateMillis: number, Checkpointing: true, Gang: true,
			SameRack: true, Label: strings.Repeat("l", label), DataRack: strings.Repeat("\xff", label), MaxPerWorker: int(number), Speculative: true, LongRunning: true,
			Image: strings.Repeat("i", image), LatencyTargetMillis: math.Pi, BestEffort: true, MaxUnavailable: int(number)}
		for n := range dependencies {
			if i > 0 {
				step.DependsOn = append(step.DependsOn, (i-1+n)%i)
			}
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

// checkAcceptedJobFits checks that a job that is accepted can be stored, whatever its
// queue, and that it is read as it was written.
func checkAcceptedJobFits(t *testing.T, job jobspec.Job, queue, pool string) (accepted bool) {
	t.Helper()
	terms := cell.QueueTerms{Queue: queue, Pool: pool, Priority: math.MinInt, Attempts: math.MaxInt, Stretch: math.Pi, ObjectiveMillis: math.MaxInt64,
		Advice: &cell.AdviceLatency{DecisionMillis: math.MaxInt64, PerWorkerMillis: math.MaxInt64}}
	if job.Check() != nil || terms.Check() != nil {
		return false
	}
	record := cell.JobRecord{ID: "00000000000000aa", Job: job, Terms: terms, AcceptedMillis: math.MaxInt64}
	records, tooLarge, err := EncodeWriteBatch(cell.WriteBatch{Jobs: []cell.JobRecord{record}}, store.DefaultLimits)
	assert.NilError(t, err)
	assert.Equal(t, len(tooLarge), 0, "the job takes %d bytes", job.Size())
	assert.Assert(t, records[0].Size() <= job.Size()+len(queue)+len(pool)+maxRecordOverhead, "%d bytes, for %d of the job", records[0].Size(), job.Size())
	state, err := DecodeCell(records)
	assert.NilError(t, err)
	assert.DeepEqual(t, state.Jobs[0], record)
	return true
}

// maxRecordOverhead is the most that the record of a job holds beside its job and the names
// of its queue and pool.
const maxRecordOverhead = 200

// A job that is accepted but that the log refuses is answered as unknown, and would be
// written again without end. The sizes are drawn around each limit; the seed is fixed.
func TestAcceptedJobFitsARecord(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 36))
	around := func(limit int) int {
		return max(0, []int{0, limit / 3, limit - 1, limit, limit + 1}[random.IntN(5)])
	}
	accepted := 0
	for range 1000 {
		steps := max(1, around(jobspec.MaxSteps))
		perStep := max(0, jobspec.MaxJobBytes/steps-1500)
		job := shapedJob(steps, 1+around(jobspec.MaxJobTasks/steps-1), around(jobspec.MaxSpecBytes), around(jobspec.MaxImageBytes),
			around(perStep/2), random.IntN(jobspec.MaxSteps), math.MaxInt64>>random.IntN(60))
		// What is left of the limit is filled to the byte, or exceeded by one.
		if left := jobspec.MaxJobBytes - job.Size() + random.IntN(3) - 1; left > 0 {
			job.Steps[0].Label += strings.Repeat("m", left)
		}
		queue := strings.Repeat("q", around(cell.MaxTermsBytes))
		if checkAcceptedJobFits(t, job, queue, strings.Repeat("p", max(0, cell.MaxTermsBytes-len(queue)))) {
			accepted++
		}
	}
	assert.Assert(t, accepted > 100, "%d jobs were accepted", accepted)
}

func FuzzAcceptedJobFitsARecord(f *testing.F) {
	random := rand.New(rand.NewPCG(2, 36))
	for range 50 {
		f.Add(uint8(random.IntN(70)), uint16(random.IntN(5000)), uint16(random.IntN(5000)), uint16(random.IntN(1100)), uint16(random.IntN(5000)), uint8(random.IntN(200)), random.Int64(), "q", "p")
	}
	f.Fuzz(func(t *testing.T, steps uint8, count, spec, image, label uint16, dependencies uint8, number int64, queue, pool string) {
		checkAcceptedJobFits(t, shapedJob(int(steps), int(count), int(spec), int(image), int(label), int(dependencies), number), queue, pool)
	})
}

// A record that was damaged must be an error or a state, never a panic, which would end
// each term in turn.
func FuzzDecodeCell(f *testing.F) {
	part := cell.PartID{Occurrence: 1, Step: 2, Block: 3}
	write := cell.WriteBatch{
		Jobs:     []cell.JobRecord{{ID: "00000000000000aa", Job: shapedJob(2, 3, 4, 5, 6, 1, 7)}},
		Progress: []cell.ProgressRecord{{ID: "00000000000000aa", Tasks: []cell.TaskRecord{{Done: true, FailedRuns: []int64{1}}}}, {ID: "00000000000000aa", Part: &part, Crashes: []cell.CrashRecord{{Crashes: 1}}, Suspects: []cell.SuspectRecord{{Run: 1}}}},
		Workers:  []cell.WorkerInfo{{ID: "w", Labels: []string{"a"}}},
		Learned:  &cell.LearnedRecord{Pairs: []cell.PressureRecord{{ServiceImage: "a"}}, DurationRatios: map[string]float64{"a": 1}},
	}
	records, _, err := EncodeWriteBatch(write, store.DefaultLimits)
	assert.NilError(f, err)
	random := rand.New(rand.NewPCG(3, 36))
	for _, record := range records {
		f.Add(record.Key, record.Value)
		for range 40 {
			altered := bytes.Clone(record.Value)
			altered[random.IntN(len(altered))] = byte(random.Uint32())
			f.Add(record.Key, altered[:1+random.IntN(len(altered))])
		}
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		record := store.Record{Key: key, Value: value}
		_ = OwnerOf(record) // Must not panic.
		state, err := DecodeCell([]store.Record{record})
		if err != nil {
			return
		}
		c := cell.New(cell.Config{Epoch: 1, RemoteFactor: 1})
		_, _, err = EncodeWriteBatch(cell.WriteBatch{Jobs: state.Jobs, Progress: state.Progress, Workers: state.Workers, Learned: &state.Learned}, store.DefaultLimits)
		assert.NilError(t, err)
		c.RestoreLearned(state.Learned)
	})
}
