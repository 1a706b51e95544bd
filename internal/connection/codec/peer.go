package codec

import (
	"github.com/fxamacker/cbor/v2"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
)

const (
	// PeerVersion is the format version of peer messages.
	PeerVersion = 1
	// MaxPeerFrameBytes bounds one encoded peer message. It leaves room for a
	// request with a body of 1 MiB and its headers.
	MaxPeerFrameBytes = 1<<20 + 64<<10
	// maxPeerNesting bounds the depth of nested arrays and maps in a message.
	maxPeerNesting = 8
	// maxPeerElements bounds each array in a message, for example the workers
	// of one summary.
	maxPeerElements = 4096
	// maxPeerFields bounds the fields of each map in a message.
	maxPeerFields = 32
)

// PeerFrame is one decoded message with its envelope.
type PeerFrame struct {
	Kind PeerKind
	// Sequence matches a reply to its request on one connection.
	Sequence uint64
	// To is the incarnation for which a request is meant. It is zero in
	// replies.
	To ident.Incarnation
	// Message is a pointer to the message type of Kind.
	Message any
}

// peerEnvelope is the encoded form of a frame.
type peerEnvelope struct {
	Version  uint8             `cbor:"1,keyasint"`
	Kind     PeerKind          `cbor:"2,keyasint"`
	Sequence uint64            `cbor:"3,keyasint,omitempty"`
	To       ident.Incarnation `cbor:"4,keyasint,omitzero"`
	Body     cbor.RawMessage   `cbor:"5,keyasint"`
}

var (
	peerEncoder = mustPeerEncoder()
	peerDecoder = mustPeerDecoder()
)

func mustPeerEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustPeerDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   maxPeerNesting,
		MaxArrayElements:  maxPeerElements,
		MaxMapPairs:       maxPeerFields,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodePeer returns the encoded frame. It fails with TooLarge if the result
// exceeds MaxPeerFrameBytes.
func EncodePeer(frame PeerFrame) ([]byte, error) {
	body, err := peerEncoder.Marshal(frame.Message)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encoding a peer message of kind %d", frame.Kind).WithOutcome(fault.NotRun)
	}
	data, err := peerEncoder.Marshal(peerEnvelope{
		Version:  PeerVersion,
		Kind:     frame.Kind,
		Sequence: frame.Sequence,
		To:       frame.To,
		Body:     body,
	})
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encoding the envelope of a peer message of kind %d", frame.Kind).WithOutcome(fault.NotRun)
	}
	if len(data) > MaxPeerFrameBytes {
		return nil, fault.New(fault.TooLarge, "peer message of %d bytes exceeds the size limit", len(data))
	}
	return data, nil
}

// DecodePeer returns the frame in data. It fails with Malformed.
func DecodePeer(data []byte) (PeerFrame, error) {
	if len(data) > MaxPeerFrameBytes {
		return PeerFrame{}, fault.New(fault.Malformed, "peer message of %d bytes exceeds the size limit", len(data))
	}
	var envelope peerEnvelope
	if err := peerDecoder.Unmarshal(data, &envelope); err != nil {
		return PeerFrame{}, fault.Wrap(fault.Malformed, err, "decoding the envelope of a peer message")
	}
	if envelope.Version != PeerVersion {
		return PeerFrame{}, fault.New(fault.Malformed, "unsupported peer format version %d", envelope.Version)
	}
	message := newPeerMessage(envelope.Kind)
	if message == nil {
		return PeerFrame{}, fault.New(fault.Malformed, "unknown peer message kind %d", envelope.Kind)
	}
	if err := peerDecoder.Unmarshal(envelope.Body, message); err != nil {
		return PeerFrame{}, fault.Wrap(fault.Malformed, err, "decoding a peer message of kind %d", envelope.Kind)
	}
	return PeerFrame{
		Kind:     envelope.Kind,
		Sequence: envelope.Sequence,
		To:       envelope.To,
		Message:  message,
	}, nil
}
