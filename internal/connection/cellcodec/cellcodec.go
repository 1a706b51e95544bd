// Package cellcodec encodes and decodes the records that a cell keeps in the log,
// and the messages that an instance which receives requests exchanges with the
// instance that leads a cell. Both use CBOR.
package cellcodec

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/election"
)

// Keys of the records of a cell. A job and its progress have separate records,
// so that progress can be written without rewriting the job's content.
const (
	jobKeyPrefix      = "j/"
	progressKeyPrefix = "p/"
	workerKeyPrefix   = "w/"
	learnedKey        = "learned"
	leaseBoundsKey    = "leases"
	confinedKeyPrefix = "c/"
)

// CellState is the state of a cell as decoded from its records.
type CellState struct {
	Jobs     []cell.JobRecord
	Progress []cell.ProgressRecord
	Workers  []cell.WorkerInfo
	Learned  cell.LearnedRecord
	// LeaseBounds is empty if no leader has stored any.
	LeaseBounds  cell.LeaseBoundsRecord
	Confinements []cell.ConfinementRecord
}

// EncodeWriteBatch returns the log records for a write, in the order in which
// they must be appended, and apart from them those that exceed the limits of the log.
// Its errors are of kind Internal.
func EncodeWriteBatch(write cell.WriteBatch, limits store.Limits) (records, tooLarge []store.Record, err error) {
	all, err := encodeWriteBatch(write)
	if err != nil {
		return nil, nil, err
	}
	for _, record := range all {
		if limits.Check(record) != nil {
			tooLarge = append(tooLarge, record)
		} else {
			records = append(records, record)
		}
	}
	return records, tooLarge, nil
}

// OwnerOf returns what a stored record is about. It is the zero RecordOwner for the
// learned estimates.
func OwnerOf(record store.Record) cell.RecordOwner {
	if record.Key == leaseBoundsKey || strings.HasPrefix(record.Key, confinedKeyPrefix) {
		return cell.RecordOwner{LeaseBounds: true}
	}
	if strings.HasPrefix(record.Key, workerKeyPrefix) {
		var worker cell.WorkerInfo
		if storedDecoding.Unmarshal(record.Value, &worker) != nil {
			return cell.RecordOwner{} // The removal of a record.
		}
		return cell.RecordOwner{Worker: worker.ID}
	}
	for _, prefix := range []string{jobKeyPrefix, progressKeyPrefix} {
		if rest, found := strings.CutPrefix(record.Key, prefix); found {
			id, _, _ := strings.Cut(rest, "/")
			return cell.RecordOwner{Job: jobspec.ID(id)}
		}
	}
	return cell.RecordOwner{}
}

func encodeWriteBatch(write cell.WriteBatch) ([]store.Record, error) {
	var records []store.Record
	addRecord := func(key string, value any) error {
		encoded, err := cbor.Marshal(value)
		if err != nil {
			return fault.Wrap(fault.Internal, err, "encoding the stored record %s", key)
		}
		records = append(records, store.Record{Key: key, Value: encoded})
		return nil
	}
	for _, job := range write.Jobs {
		if err := addRecord(jobKeyPrefix+string(job.ID), job); err != nil {
			return nil, err
		}
	}
	for _, progress := range write.Progress {
		if err := addRecord(progressKey(progress.ID, progress.Part), progress); err != nil {
			return nil, err
		}
	}
	for _, worker := range write.Workers {
		if err := addRecord(workerKey(workerKeyPrefix, worker.ID), worker); err != nil {
			return nil, err
		}
	}
	if write.Learned != nil {
		if err := addRecord(learnedKey, write.Learned); err != nil {
			return nil, err
		}
	}
	for _, confinement := range write.Confinements {
		key := workerKey(confinedKeyPrefix, confinement.Worker)
		if len(confinement.Tasks) == 0 {
			records = append(records, store.Record{Key: key})
			continue
		}
		if err := addRecord(key, confinement); err != nil {
			return nil, err
		}
	}
	if write.LeaseBounds != nil {
		if err := addRecord(leaseBoundsKey, write.LeaseBounds); err != nil {
			return nil, err
		}
	}
	return append(records, removalRecords(write)...), nil
}

// workerKey returns the key of a record about a worker. A hash takes the place of the end of a
// name that is too long for a key; the record itself holds the whole name.
func workerKey(prefix string, id cell.WorkerID) string {
	key := prefix + string(id)
	if len(key) <= store.MaxKeyBytes {
		return key
	}
	hash := sha256.Sum256([]byte(id))
	end := hex.EncodeToString(hash[:])
	return key[:store.MaxKeyBytes-len(end)] + end
}

// progressKey returns the key of the record of a job's progress, or of one part of it.
func progressKey(id jobspec.ID, part *cell.PartID) string {
	key := progressKeyPrefix + string(id)
	if part == nil {
		return key
	}
	return fmt.Sprintf("%s/%d.%d.%d", key, part.Occurrence, part.Step, part.Block)
}

// removalRecords returns records with an empty value, which remove the keys of
// workers and jobs that the write removes.
func removalRecords(write cell.WriteBatch) []store.Record {
	var records []store.Record
	for _, worker := range write.RemovedWorkers {
		records = append(records, store.Record{Key: workerKey(workerKeyPrefix, worker)})
	}
	for _, id := range write.RemovedJobs {
		// Without its progress, a job that is still stored would run again.
		records = append(records, store.Record{Key: jobKeyPrefix + string(id)}, store.Record{Key: progressKey(id, nil)})
	}
	for _, removed := range write.RemovedParts {
		records = append(records, store.Record{Key: progressKey(removed.Job, &removed.Part)})
	}
	return records
}

// storedDecoding decodes whatever EncodeWriteBatch encodes. The size of a record bounds
// the number of its elements.
var storedDecoding = mustDecMode(cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32, UTF8: cbor.UTF8DecodeInvalid})

// mustDecMode panics on invalid options, which are constants of this package.
func mustDecMode(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// DecodeCell returns the state that the newest records of a cell describe.
// Records with an empty value mark removed keys and are skipped. A record that
// can't be decoded is an error of kind Malformed, because skipping it could lose
// a job.
func DecodeCell(records []store.Record) (CellState, error) {
	var state CellState
	if err := state.AddRecords(records); err != nil {
		return CellState{}, err
	}
	return state, nil
}

// AddRecords adds a part of the newest records of a cell to the state, with the errors of
// DecodeCell. The state refers to none of the records.
func (s *CellState) AddRecords(records []store.Record) error {
	for _, record := range records {
		if record.Err != nil {
			return fault.Wrap(fault.Malformed, record.Err, "decoding the stored record %s", record.Key)
		}
		if len(record.Value) == 0 {
			continue
		}
		if err := s.addRecord(record); err != nil {
			return err
		}
	}
	return nil
}

func (s *CellState) addRecord(record store.Record) error {
	var err error
	switch {
	case strings.HasPrefix(record.Key, jobKeyPrefix):
		var job cell.JobRecord
		err = storedDecoding.Unmarshal(record.Value, &job)
		s.Jobs = append(s.Jobs, job)
	case strings.HasPrefix(record.Key, progressKeyPrefix):
		var progress cell.ProgressRecord
		err = storedDecoding.Unmarshal(record.Value, &progress)
		s.Progress = append(s.Progress, progress)
	case strings.HasPrefix(record.Key, workerKeyPrefix):
		var worker cell.WorkerInfo
		err = storedDecoding.Unmarshal(record.Value, &worker)
		s.Workers = append(s.Workers, worker)
	case record.Key == learnedKey:
		err = storedDecoding.Unmarshal(record.Value, &s.Learned)
	case strings.HasPrefix(record.Key, confinedKeyPrefix):
		var confinement cell.ConfinementRecord
		err = storedDecoding.Unmarshal(record.Value, &confinement)
		s.Confinements = append(s.Confinements, confinement)
	case record.Key == leaseBoundsKey:
		err = storedDecoding.Unmarshal(record.Value, &s.LeaseBounds)
	}
	if err != nil {
		return fault.Wrap(fault.Malformed, err, "decoding the stored record %s", record.Key)
	}
	return nil
}

// Message is one message on a link between two instances. Exactly one of Call,
// Reply and Heartbeat is set.
type Message struct {
	// Sequence matches a reply to its call. It is 0 for a heartbeat.
	Sequence  uint64         `cbor:"1,keyasint,omitempty"`
	Call      *Call          `cbor:"2,keyasint,omitempty"`
	Reply     *Reply         `cbor:"3,keyasint,omitempty"`
	Heartbeat *LinkHeartbeat `cbor:"4,keyasint,omitempty"`
}

// Operation is the kind of request that a call makes.
type Operation uint8

const (
	// OpSubmit stores a job.
	OpSubmit Operation = iota + 1
	// OpStatus asks for the state of a job.
	OpStatus
	// OpCancel cancels a job.
	OpCancel
	// OpPending asks for the number of pending jobs of a queue.
	OpPending
)

// ChangesState reports whether the operation changes stored state. If it does, a
// call without a reply is in doubt: the change may or may not have been made.
func (o Operation) ChangesState() bool { return o == OpSubmit || o == OpCancel }

// Call is one request to the leader of a cell. Job and Terms are set for OpSubmit.
type Call struct {
	Operation Operation        `cbor:"1,keyasint"`
	Cell      int              `cbor:"2,keyasint,omitempty"`
	ID        jobspec.ID       `cbor:"3,keyasint,omitempty"`
	Queue     string           `cbor:"4,keyasint,omitempty"`
	Job       *jobspec.Job     `cbor:"5,keyasint,omitempty"`
	Terms     *cell.QueueTerms `cbor:"6,keyasint,omitempty"`
	// InDoubt is set if an earlier attempt at the same call may have had its effect. Such a
	// submission is not refused for lack of capacity.
	InDoubt bool `cbor:"7,keyasint,omitempty"`
	// Source identifies the client address that sent a submission, or is empty if it is not
	// known.
	Source []byte `cbor:"8,keyasint,omitempty"`
}

// Cost returns the bytes that the job of a submission is charged.
func (c *Call) Cost() int64 {
	record := cell.JobRecord{ID: c.ID, Job: *c.Job, Terms: *c.Terms, Source: c.Source}
	return record.Cost()
}

// Result is the outcome of a call.
type Result uint8

const (
	// InDoubt means that the outcome is unknown: the call may have had its effect.
	InDoubt Result = iota
	// OK means that the call was carried out and its effect is stored.
	OK
	// NotFound means that the job does not exist.
	NotFound
	// NotLeader means that the call had no effect because the instance that
	// received it doesn't lead the cell.
	NotLeader
	// Refused means that the receiver rejected the call and it had no effect.
	Refused
	// TooLarge means that the job has more tasks than the leader can open. It was not accepted.
	TooLarge
)

// Reply is the leader's answer to a call. State is set for OpStatus, Pending for
// OpPending.
type Reply struct {
	Result  Result     `cbor:"1,keyasint"`
	State   cell.State `cbor:"2,keyasint,omitempty"`
	Pending int        `cbor:"3,keyasint,omitempty"`
	// RetryAfterMillis is set with Refused if the job was refused for lack of capacity. It is
	// when its caller should return.
	RetryAfterMillis int64 `cbor:"4,keyasint,omitempty"`
	// Limit is the largest number of tasks of a job, set with TooLarge.
	Limit int `cbor:"5,keyasint,omitempty"`
}

// LinkHeartbeat is the message that instances send periodically on a link. It also
// carries what the sender knows about leaders, the manifest and the cells.
type LinkHeartbeat struct {
	// Leaders holds the leaders of the newest terms that the sender knows.
	Leaders []Leader `cbor:"1,keyasint,omitempty"`
	// Nonce identifies the sending process; a restart changes it.
	Nonce uint64 `cbor:"5,keyasint"`
	// ManifestVersion is the version of the manifest in force at the sender.
	// ManifestPart is a part of an encoded manifest, if the receiver has asked for it.
	// Versions before the parts use the keys 3 and 8.
	ManifestVersion int64         `cbor:"2,keyasint,omitempty"`
	ManifestPart    *ManifestPart `cbor:"13,keyasint,omitempty"`
	// ManifestCheck says when the sender's manifest was the newest one, or is nil if the
	// sender doesn't know.
	ManifestCheck *ManifestCheck `cbor:"14,keyasint,omitempty"`
	// Evacuations are the evacuated zones by the configuration up to the end that
	// ManifestCheck names, or nil if the sender doesn't follow them.
	Evacuations *Evacuations `cbor:"17,keyasint,omitempty"`
	// ManifestSources is set if it has changed since the last heartbeat of the link.
	ManifestSources *ManifestSources `cbor:"15,keyasint,omitempty"`
	// ManifestWanted asks the receiver for a part of its manifest.
	ManifestWanted *ManifestWanted `cbor:"16,keyasint,omitempty"`
	// Cells is the number of cells of the deployment, or 0 if the sender doesn't
	// know it.
	Cells int `cbor:"4,keyasint,omitempty"`
	// LedTerms lists the terms of the cells that the sender leads.
	LedTerms []LedTerm `cbor:"6,keyasint,omitempty"`
	// CPUShare is the part of a core that the sender may use.
	CPUShare float64 `cbor:"7,keyasint,omitempty"`
	// SentMillis is set if the receiver should confirm the heartbeat. It is when the
	// heartbeat was sent, in milliseconds of a clock of the sender's end of the link.
	// EchoMillis confirms the newest heartbeat received: it is the SentMillis of that.
	SentMillis int64 `cbor:"9,keyasint,omitempty"`
	EchoMillis int64 `cbor:"10,keyasint,omitempty"`
	// KnownTerms holds the newest term of each cell that the sender knows, if EchoMillis
	// is set. A cell is left out until the sender's process has read its term from the
	// log.
	KnownTerms []KnownTerm `cbor:"11,keyasint,omitempty"`
	// Sender describes the sending instance. It is set in the first heartbeat of a link.
	Sender *election.Voter `cbor:"12,keyasint,omitempty"`
	// MemoryMB is the memory of the sending process in megabytes, or 0 if it doesn't say.
	MemoryMB int `cbor:"18,keyasint,omitempty"`
}

// ManifestCheck says that AgeMillis before the heartbeat was sent no manifest was newer than
// the sender's, and that the configuration in the log ended at EndOffset. SentMillis is when
// the heartbeat was sent, counted from when its sender opened the link.
type ManifestCheck struct {
	_          struct{} `cbor:",toarray"`
	AgeMillis  int64
	EndOffset  int64
	SentMillis int64
}

// Evacuations holds, by availability zone, the offset of the operators' request to evacuate it
// that is in force by all records before Offset.
type Evacuations struct {
	_        struct{} `cbor:",toarray"`
	Offset   int64
	Requests map[string]int64
}

// ManifestWanted says that the sender has Offset bytes of the encoded manifest with a
// checksum, and asks for those that follow. Offset is 0 if it has none. Request numbers what
// the sender asks for.
type ManifestWanted struct {
	_       struct{} `cbor:",toarray"`
	Request uint64
	Sum     uint64
	Offset  int64
}

// ManifestPart answers a request with the bytes from Offset on of an encoded manifest that has
// Total bytes and a checksum.
type ManifestPart struct {
	_       struct{} `cbor:",toarray"`
	Request uint64
	Sum     uint64
	Offset  int64
	Total   int64
	Data    []byte
}

// ManifestSources holds the instance of each availability zone that hands manifests on. The
// leader of cell 0 chooses them. Of two lists the newer one has the higher epoch, or in the
// same epoch the higher revision.
type ManifestSources struct {
	_        struct{} `cbor:",toarray"`
	Epoch    int64
	Revision int64
	// ByZone holds addresses by availability zone.
	ByZone map[string]string
}

// KnownTerm is the epoch of the newest term of a cell that an instance knows.
type KnownTerm struct {
	_     struct{} `cbor:",toarray"`
	Cell  int
	Epoch int64
}

// LedTerm describes the term of a cell that the sender of a heartbeat leads.
type LedTerm struct {
	_     struct{} `cbor:",toarray"`
	Cell  int
	Epoch int64
	// EndOffset is the log offset after the newest renewal of the term.
	// RenewalAgeMillis is the age of that renewal in milliseconds.
	EndOffset        int64
	RenewalAgeMillis int64
}

// Leader names the leader of a cell in one term.
type Leader struct {
	_     struct{} `cbor:",toarray"`
	Cell  int
	Epoch int64
	// Address is where the leader accepts links. Nonce identifies its process.
	Address string
	Nonce   uint64
}

// EncodeMessage returns the encoding of a message, or an error of kind Internal.
func EncodeMessage(message Message) ([]byte, error) {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encoding a link message")
	}
	return encoded, nil
}

// DecodeMessage decodes a message. Its errors are of kind Malformed.
func DecodeMessage(data []byte) (Message, error) {
	var message Message
	if err := cbor.Unmarshal(data, &message); err != nil {
		return Message{}, fault.Wrap(fault.Malformed, err, "decoding a link message of %d bytes", len(data))
	}
	return message, nil
}
