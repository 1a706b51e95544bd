package cell

import (
	"math"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/process/store"
)

// What is stored of a task is limited, and with it a record: one that the log refuses would
// be lost. Each task of the block has reached every limit, or gone beyond it.
func TestPartWithLargestTasksFitsRecord(t *testing.T) {
	info := WorkerInfo{ID: WorkerID(strings.Repeat("w", MaxWorkerIDBytes)), Address: strings.Repeat("a", MaxWorkerAddressBytes), Incarnation: math.MaxInt64}
	assert.NilError(t, info.Check())
	for beyond := range 3 {
		record := testRecord(1 << 30)
		record.Job.Steps[0] = jobspec.Step{Count: BlockTasks, Checkpointing: true}
		c := newRestoredCell(record)
		j := c.jobs[jobA]
		last := jobspec.MaxOccurrences - 1
		s := j.ensureOccurrence(0).steps[0]
		s.index, s.occurrence.number = jobspec.MaxSteps-1, last
		for _, task := range s.tasks {
			c.keepCheckpoint(task, strings.Repeat("c", MaxCheckpointBytes))
			c.keepCheckpoint(task, strings.Repeat("d", MaxCheckpointBytes+beyond))
			for n := range MaxAttempts - 1 {
				task.countFailure(math.MaxInt64 - int64(n))
			}
			task.index += jobspec.MaxTasks - BlockTasks
			task.lastRun, task.crashes, task.confirmedCrashes = math.MaxInt64, maxCrashes, maxCrashes
			for n := range maxStoredSuspects - 1 + beyond {
				task.suspects = append(task.suspects, &run{task: task, worker: newWorker(info), number: math.MaxInt64 - int64(n), phase: running})
			}
		}
		part := j.progressHead()
		part.addTasks(s, s.tasks)
		part.Part = &PartID{Occurrence: last, Step: s.index, Block: jobspec.MaxTasks / BlockTasks}
		part.EndedMillis, part.NextOccurrence = math.MaxInt64, last
		assert.Equal(t, len(part.Tasks), BlockTasks)
		encoded, err := cbor.Marshal(part)
		assert.NilError(t, err)
		size := store.Record{Key: strings.Repeat("k", store.MaxKeyBytes), Value: encoded}.Size()
		assert.Assert(t, size <= store.DefaultLimits.RecordBytes, "%d bytes", size)
	}
}

// A queue may allow any number of attempts, and each failed run is stored.
func TestAttemptsHaveALimit(t *testing.T) {
	c := newRestoredCell(testRecord(1 << 30))
	for n := range MaxAttempts {
		assert.Assert(t, !c.jobs[jobA].state.IsFinal(), "%d failures", n)
		report := newReport(testWorker, testStart)
		report.Ended = []RunEnd{{Number: int64(n + 1), Task: firstTaskID(), Run: int64(n + 1), Reason: EndFailed}}
		c.ApplyReport(testStart, report)
	}
	assert.Equal(t, c.jobs[jobA].state, Failed)
}

// Records of a job that was forgotten are left behind if the leader ended in between. They
// would stay for good, and apply to a later job with the same ID.
func TestProgressOfUnknownJobIsRemoved(t *testing.T) {
	part := PartID{Step: 1, Block: 2}
	final := testRecord(3)
	final.ID = jobB
	c := New(Config{Epoch: 5, RemoteFactor: 1})
	c.Restore(testStart, []JobRecord{final}, []ProgressRecord{
		{ID: jobA, State: Completed}, {ID: jobA, Part: &part}, {ID: jobB, State: Completed}, {ID: jobB, Part: &part}}, nil)
	write := c.TakeEffects(testStart).Write
	assert.DeepEqual(t, write.RemovedJobs, []jobspec.ID{jobA})
	assert.Assert(t, len(write.RemovedParts) == 2 && write.RemovedParts[0] == RemovedPart{jobA, part} && write.RemovedParts[1] == RemovedPart{jobB, part})
}
