// Package cellcodec encodes the stored records of a cell and the messages between
// the front of one instance and the leader of a cell on another.
package cellcodec

import (
	"strings"

	"github.com/fxamacker/cbor/v2"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/manifest"
)

// Keys of the records of a cell: a job and its progress are apart, so that
// progress is written without the content of the job.
const (
	jobKey      = "j/"
	progressKey = "p/"
	workerKey   = "w/"
	learnedKey  = "learned"
)

// CellState is what the records of a cell say.
type CellState struct {
	Jobs     []cell.JobRecord
	Progress []cell.ProgressRecord
	Workers  []cell.WorkerInfo
	Learned  cell.LearnedRecord
}

// EncodeWrite returns the records of a write, in order.
func EncodeWrite(write cell.Write) ([]store.Record, error) {
	var records []store.Record
	add := func(key string, value any) error {
		encoded, err := cbor.Marshal(value)
		if err != nil {
			return fault.Wrap(fault.Internal, err, "encoding the record %s", key)
		}
		records = append(records, store.Record{Key: key, Value: encoded})
		return nil
	}
	for _, job := range write.Jobs {
		if err := add(jobKey+string(job.ID), job); err != nil {
			return nil, err
		}
	}
	for _, progress := range write.Progress {
		if err := add(progressKey+string(progress.ID), progress); err != nil {
			return nil, err
		}
	}
	for _, worker := range write.Workers {
		if err := add(workerKey+string(worker.ID), worker); err != nil {
			return nil, err
		}
	}
	if write.Learned != nil {
		if err := add(learnedKey, write.Learned); err != nil {
			return nil, err
		}
	}
	return append(records, removals(write)...), nil
}

func removals(write cell.Write) []store.Record {
	var records []store.Record
	for _, worker := range write.Gone {
		records = append(records, store.Record{Key: workerKey + string(worker)})
	}
	for _, id := range write.Dropped {
		records = append(records, store.Record{Key: progressKey + string(id)}, store.Record{Key: jobKey + string(id)})
	}
	return records
}

// DecodeCell returns the state that the newest records of a cell describe. A
// record that can't be decoded is an error, because leaving it out could lose
// a job.
func DecodeCell(records []store.Record) (CellState, error) {
	var state CellState
	for _, record := range records {
		if len(record.Value) == 0 {
			continue
		}
		if err := state.add(record); err != nil {
			return CellState{}, err
		}
	}
	return state, nil
}

func (s *CellState) add(record store.Record) error {
	var err error
	switch {
	case strings.HasPrefix(record.Key, jobKey):
		var job cell.JobRecord
		err = cbor.Unmarshal(record.Value, &job)
		s.Jobs = append(s.Jobs, job)
	case strings.HasPrefix(record.Key, progressKey):
		var progress cell.ProgressRecord
		err = cbor.Unmarshal(record.Value, &progress)
		s.Progress = append(s.Progress, progress)
	case strings.HasPrefix(record.Key, workerKey):
		var worker cell.WorkerInfo
		err = cbor.Unmarshal(record.Value, &worker)
		s.Workers = append(s.Workers, worker)
	case record.Key == learnedKey:
		err = cbor.Unmarshal(record.Value, &s.Learned)
	}
	if err != nil {
		return fault.Wrap(fault.Malformed, err, "the record %s", record.Key)
	}
	return nil
}

// Message is one message on a link between a front and a leader.
type Message struct {
	// Sequence joins a call and its reply; 0 is a pulse.
	Sequence uint64 `cbor:"1,keyasint,omitempty"`
	Call     *Call  `cbor:"2,keyasint,omitempty"`
	Reply    *Reply `cbor:"3,keyasint,omitempty"`
	Pulse    *Pulse `cbor:"4,keyasint,omitempty"`
}

// Operation is what a call asks for.
type Operation uint8

const (
	OpSubmit Operation = iota + 1
	OpStatus
	OpCancel
	OpPending
)

// Changes says whether the operation changes what is stored, so that a call
// without a reply has an open outcome.
func (o Operation) Changes() bool { return o == OpSubmit || o == OpCancel }

// Call is one request to the leader of a cell.
type Call struct {
	Operation Operation    `cbor:"1,keyasint"`
	Cell      int          `cbor:"2,keyasint,omitempty"`
	ID        jobspec.ID   `cbor:"3,keyasint,omitempty"`
	Queue     string       `cbor:"4,keyasint,omitempty"`
	Job       *jobspec.Job `cbor:"5,keyasint,omitempty"`
	Terms     *cell.Terms  `cbor:"6,keyasint,omitempty"`
}

// Result says what became of a call.
type Result uint8

const (
	// Unproven means that nothing is known.
	Unproven Result = iota
	// OK means that the call had its effect, stored.
	OK
	// Absent means that there is no such job.
	Absent
	// NotLeader means that nothing was done because the instance doesn't lead
	// the cell.
	NotLeader
	// Refused means that nothing was done.
	Refused
)

// Reply answers a call.
type Reply struct {
	Result  Result     `cbor:"1,keyasint"`
	State   cell.State `cbor:"2,keyasint,omitempty"`
	Pending int        `cbor:"3,keyasint,omitempty"`
}

// Pulse shows that the sender lives and what it knows.
type Pulse struct {
	// Leaders are the newest terms known.
	Leaders []Leader `cbor:"1,keyasint,omitempty"`
	// Nonce is that of the sending process.
	Nonce uint64 `cbor:"5,keyasint"`
	// Manifest is the version in force, Content the encoded manifest if the
	// receiver showed an older one.
	Manifest int64  `cbor:"2,keyasint,omitempty"`
	Content  []byte `cbor:"3,keyasint,omitempty"`
	// Cells is the number of cells of the deployment; 0 if unknown.
	Cells int `cbor:"4,keyasint,omitempty"`
	// Led are the cells that the sender leads.
	Led []Led `cbor:"6,keyasint,omitempty"`
	// Share is the part of a core that the sender may use.
	Share float64 `cbor:"7,keyasint,omitempty"`
}

// Led shows how a leader's term stands.
type Led struct {
	_     struct{} `cbor:",toarray"`
	Cell  int
	Epoch int64
	// End is the offset after the newest renewal, RenewedMillis its age.
	End           int64
	RenewedMillis int64
}

// Leader says who leads a cell in which term.
type Leader struct {
	_     struct{} `cbor:",toarray"`
	Cell  int
	Epoch int64
	// Address is where the leader accepts links, Nonce that of its process.
	Address string
	Nonce   uint64
}

// EncodeMessage returns the bytes of a message.
func EncodeMessage(message Message) ([]byte, error) {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encoding a link message")
	}
	return encoded, nil
}

// DecodeMessage returns a message, or a failure of kind Malformed.
func DecodeMessage(data []byte) (Message, error) {
	var message Message
	if err := cbor.Unmarshal(data, &message); err != nil {
		return Message{}, fault.Wrap(fault.Malformed, err, "a link message of %d bytes", len(data))
	}
	return message, nil
}

// EncodeManifest returns a manifest as peers pass it on.
func EncodeManifest(m *manifest.Manifest) ([]byte, error) {
	encoded, err := cbor.Marshal(m)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encoding a manifest")
	}
	return encoded, nil
}

// DecodeManifest returns the manifest of a peer, or a failure of kind
// Malformed.
func DecodeManifest(data []byte) (*manifest.Manifest, error) {
	var decoded manifest.Manifest
	if err := cbor.Unmarshal(data, &decoded); err != nil {
		return nil, fault.Wrap(fault.Malformed, err, "a manifest of %d bytes", len(data))
	}
	return manifest.New(decoded.Version, decoded.Queues), nil
}
