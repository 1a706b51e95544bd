package cellcodec

import (
	"testing"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/cell"
)

// storeAndDecode returns the state that the next leader reads after a write.
func storeAndDecode(t *testing.T, write cell.WriteBatch) CellState {
	t.Helper()
	records, tooLarge, err := EncodeWriteBatch(write, store.Limits{RecordBytes: 1 << 30, CallBytes: 1 << 30})
	assert.NilError(t, err)
	assert.Equal(t, len(tooLarge), 0)
	state, err := DecodeCell(records)
	assert.NilError(t, err)
	return state
}

// The progress of a job with more finished tasks than the decoder's default limit was
// stored but not read: every later leader failed, and the cell had none for good.
func TestStoredProgressOfLargeJobCanBeRead(t *testing.T) {
	tasks := make([]cell.TaskRecord, 64*4096)
	state := storeAndDecode(t, cell.WriteBatch{Progress: []cell.ProgressRecord{{ID: "00000000000000aa", Tasks: tasks}}})
	assert.Equal(t, len(state.Progress[0].Tasks), len(tasks))
}

// The name of a worker comes from a key that another writer chose. A name that is not
// valid text was stored but not read, and no later leader could restore the cell.
func TestStoredNameThatIsNotTextCanBeRead(t *testing.T) {
	write := cell.WriteBatch{
		Workers: []cell.WorkerInfo{{ID: "i-\xff", Zone: "\xfe"}},
		Learned: &cell.LearnedRecord{UnloadedTails: map[string]float64{"\xff": 1}},
	}
	state := storeAndDecode(t, write)
	assert.DeepEqual(t, state.Workers, write.Workers)
	assert.DeepEqual(t, state.Learned.UnloadedTails, write.Learned.UnloadedTails)
}
