// Package codec is the only encoder and decoder of log records and peer
// messages. Both are CBOR with integer keys.
//
// A value that decodes without an error has a supported version, only known
// fields, no repeated field, and sizes within the limits stated by the
// constants.
package codec

import (
	"github.com/fxamacker/cbor/v2"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
)

const (
	// MaxRecordBytes bounds one encoded record.
	MaxRecordBytes = 1 << 20
	// maxElements bounds the elements of one array and the pairs of one map.
	maxElements = 1 << 16
	// maxNesting bounds the depth of nested arrays and maps.
	maxNesting = 16
)

// recordHeader is the part of a record that is the same in all versions of the
// format.
type recordHeader struct {
	Version uint64 `cbor:"1,keyasint"`
	Kind    uint64 `cbor:"2,keyasint"`
}

// recordFrame is the encoded form of an envelope in the log.
type recordFrame struct {
	Version uint64            `cbor:"1,keyasint"`
	Kind    uint64            `cbor:"2,keyasint"`
	ID      ident.RecordID    `cbor:"3,keyasint"`
	Writer  ident.Incarnation `cbor:"4,keyasint"`
	Body    cbor.RawMessage   `cbor:"5,keyasint"`
	At      int64             `cbor:"6,keyasint,omitempty"`
}

var (
	recordEncoder = must(cbor.CoreDetEncOptions().EncMode())
	strictDecoder = must(decoderOptions(cbor.ExtraDecErrorUnknownField).DecMode())
	// tolerantDecoder ignores unknown fields. It decodes only the header.
	tolerantDecoder = must(decoderOptions(cbor.ExtraDecErrorNone).DecMode())
)

func decoderOptions(unknownFields cbor.ExtraDecErrorCond) cbor.DecOptions {
	return cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
		MaxNestedLevels:   maxNesting,
		ExtraReturnErrors: unknownFields,
	}
}

// must panics on an error. An error here means that the constant options above
// are invalid.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// EncodeRecord returns the log entry of an envelope. Equal envelopes give equal
// bytes. It fails with BadRequest for an envelope without identifier or record,
// and with TooLarge above MaxRecordBytes.
func EncodeRecord(envelope record.Envelope) ([]byte, error) {
	if envelope.ID == "" || envelope.Record == nil {
		return nil, fault.New(fault.BadRequest, "a record must have an identifier and a body")
	}
	body, err := recordEncoder.Marshal(envelope.Record)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encoding record %s", envelope.ID)
	}
	entry, err := recordEncoder.Marshal(recordFrame{
		Version: record.FormatVersion,
		Kind:    uint64(envelope.Record.RecordKind()),
		ID:      envelope.ID,
		Writer:  envelope.Writer,
		Body:    body,
		At:      envelope.At,
	})
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encoding record %s", envelope.ID)
	}
	if len(entry) > MaxRecordBytes {
		return nil, fault.New(fault.TooLarge, "record %s has %d bytes, which exceeds the size limit of a record", envelope.ID, len(entry))
	}
	return entry, nil
}

// DecodeRecord returns the envelope of a log entry. Each error is a failure of
// kind Malformed whose cause is an *InvalidRecordError, an *UnknownKindError or
// a *NewerVersionError.
func DecodeRecord(entry []byte) (record.Envelope, error) {
	if len(entry) > MaxRecordBytes {
		return record.Envelope{}, malformed(&InvalidRecordError{Reason: "the entry exceeds the size limit of a record"})
	}
	var header recordHeader
	if err := tolerantDecoder.Unmarshal(entry, &header); err != nil {
		return record.Envelope{}, malformed(&InvalidRecordError{Reason: err.Error()})
	}
	if header.Version > record.FormatVersion {
		return record.Envelope{}, malformed(&NewerVersionError{Version: header.Version})
	}
	if header.Version == 0 || header.Kind == 0 {
		return record.Envelope{}, malformed(&InvalidRecordError{Reason: "the version or the kind is missing or zero"})
	}
	decode, known := bodyDecoders[header.Kind]
	if !known {
		return record.Envelope{}, malformed(&UnknownKindError{Kind: header.Kind})
	}
	return decodeFrame(entry, decode)
}

func decodeFrame(entry []byte, decode bodyDecoder) (record.Envelope, error) {
	var frame recordFrame
	if err := strictDecoder.Unmarshal(entry, &frame); err != nil {
		return record.Envelope{}, malformed(&InvalidRecordError{Reason: err.Error()})
	}
	if frame.ID == "" {
		return record.Envelope{}, malformed(&InvalidRecordError{Reason: "the record identifier is missing"})
	}
	body, err := decode(frame.Body)
	if err != nil {
		return record.Envelope{}, malformed(&InvalidRecordError{Reason: err.Error()})
	}
	return record.Envelope{ID: frame.ID, Writer: frame.Writer, At: frame.At, Record: body}, nil
}

type bodyDecoder func(body []byte) (record.Record, error)

// bodyDecoders holds a decoder for each record kind that this program reads.
var bodyDecoders = map[uint64]bodyDecoder{
	uint64(record.KindJoin):           decodeBody[record.Join],
	uint64(record.KindHeartbeat):      decodeBody[record.Heartbeat],
	uint64(record.KindLeave):          decodeBody[record.Leave],
	uint64(record.KindSuspect):        decodeBody[record.Suspect],
	uint64(record.KindRulesChange):    decodeBody[record.RulesChange],
	uint64(record.KindHomeClaim):      decodeBody[record.HomeClaim],
	uint64(record.KindJobAccepted):    decodeBody[record.JobAccepted],
	uint64(record.KindAttemptPlaced):  decodeBody[record.AttemptPlaced],
	uint64(record.KindAttemptStarted): decodeBody[record.AttemptStarted],
	uint64(record.KindAttemptEnded):   decodeBody[record.AttemptEnded],
	uint64(record.KindJobDone):        decodeBody[record.JobDone],
	uint64(record.KindJobCanceled):    decodeBody[record.JobCanceled],
	uint64(record.KindIntent):         decodeBody[record.Intent],
	uint64(record.KindOutcome):        decodeBody[record.Outcome],
	uint64(record.KindSnapshot):       decodeBody[record.Snapshot],
}

func decodeBody[T record.Record](body []byte) (record.Record, error) {
	var decoded T
	if err := strictDecoder.Unmarshal(body, &decoded); err != nil {
		return nil, err
	}
	return decoded, nil
}

// EncodeState returns the encoding of a state, replayed from records, for a
// Snapshot record.
func EncodeState(state any) ([]byte, error) {
	encoded, err := recordEncoder.Marshal(state)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encoding the state of a snapshot")
	}
	return encoded, nil
}

// DecodeState decodes the state of a Snapshot record into state, which must be
// a pointer. It fails with Malformed.
func DecodeState(encoded []byte, state any) error {
	if err := strictDecoder.Unmarshal(encoded, state); err != nil {
		return malformed(&InvalidRecordError{Reason: err.Error()})
	}
	return nil
}
