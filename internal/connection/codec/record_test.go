package codec

import (
	"bytes"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
)

func newEnvelope(body record.Record) record.Envelope {
	return record.Envelope{ID: "r1", Writer: ident.Incarnation{Instance: "a", Nonce: 7}, Record: body}
}

func encodeEmptyFrame(version, kind uint64) []byte {
	return must(recordEncoder.Marshal(map[int]any{1: version, 2: kind, 3: "r", 4: map[int]any{}, 5: map[int]any{}}))
}

// An entry that can't be decoded must give an error that says why, so that a
// reader can report the reason for which it skipped the entry.
func TestUndecodableEntriesHaveSpecificErrors(t *testing.T) {
	entry, err := EncodeRecord(newEnvelope(record.Heartbeat{AppliedOffset: 9}))
	assert.NilError(t, err)
	for length := range entry {
		_, err := DecodeRecord(entry[:length])
		var invalid *InvalidRecordError
		assert.Assert(t, errors.As(err, &invalid), "the first %d bytes of a record: got %v, want an InvalidRecordError", length, err)
		assert.Equal(t, fault.KindOf(err), fault.Malformed)
	}
	_, err = DecodeRecord(append(bytes.Clone(entry), 0))
	assert.ErrorContains(t, err, "torn")
	_, err = DecodeRecord(encodeEmptyFrame(record.FormatVersion, 99))
	var unknown *UnknownKindError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	_, err = DecodeRecord(encodeEmptyFrame(record.FormatVersion+1, 99))
	var newer *NewerVersionError
	assert.Assert(t, errors.As(err, &newer), "%v", err)
}

// The log may hold any bytes. The decoder must not panic on them, and an entry
// that it accepts must be the same record after it was encoded and decoded
// again.
func FuzzDecodeRecord(f *testing.F) {
	for _, body := range []record.Record{
		record.Join{PeerAddress: "127.0.0.1:1", Zone: "z", Region: "r"}, record.Heartbeat{AppliedOffset: 3}, record.Leave{},
		record.Suspect{Member: ident.Incarnation{Instance: "b"}, Last: 4}, record.RulesChange{Base: 1, Rules: "x"}, record.HomeClaim{},
		record.JobAccepted{}, record.AttemptPlaced{Job: "j"}, record.AttemptStarted{}, record.AttemptEnded{Checkpoint: []byte{1}}, record.JobDone{},
		record.JobCanceled{}, record.Intent{Key: "k"}, record.Outcome{Body: []byte("b")}, record.Snapshot{At: 5, State: []byte{1}},
	} {
		f.Add(must(EncodeRecord(newEnvelope(body))))
	}
	f.Add(encodeEmptyFrame(2, 1))
	f.Add(encodeEmptyFrame(1, 200))
	f.Fuzz(func(t *testing.T, entry []byte) {
		envelope, err := DecodeRecord(entry)
		if err != nil {
			assert.Equal(t, fault.KindOf(err), fault.Malformed)
			return
		}
		decodedAgain, err := DecodeRecord(must(EncodeRecord(envelope)))
		assert.NilError(t, err)
		assert.DeepEqual(t, decodedAgain, envelope)
	})
}
