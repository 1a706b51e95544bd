package codec

import (
	"bytes"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/work"
)

// Peers may send any bytes. The decoder must not panic on them, and a frame that
// it accepts must be the same after it was encoded and decoded again.
func FuzzDecodePeer(f *testing.F) {
	for kind := KindHello; kind <= KindRefused; kind++ {
		seed, err := EncodePeer(PeerFrame{Kind: kind, Sequence: 7, Message: newPeerMessage(kind)})
		assert.NilError(f, err)
		f.Add(seed)
		f.Add(seed[:len(seed)-1])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := DecodePeer(data)
		if err != nil {
			assert.Assert(t, errors.Is(err, fault.New(fault.Malformed, "")))
			return
		}
		first, err := EncodePeer(frame)
		assert.NilError(t, err)
		decodedAgain, err := DecodePeer(first)
		assert.NilError(t, err)
		second, err := EncodePeer(decodedAgain)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(first, second))
	})
}

// A message with an unknown field, version or kind must be refused, because the
// receiver could only guess what it means.
func TestPeerMessagesOfUnknownFormAreRefused(t *testing.T) {
	body, err := peerEncoder.Marshal(map[int]any{1: "r", 9: true})
	assert.NilError(t, err)
	for name, envelope := range map[string]peerEnvelope{
		"unknown field":   {Version: PeerVersion, Kind: KindCancel, Body: body},
		"unknown version": {Version: PeerVersion + 1, Kind: KindCancel, Body: body},
		"unknown kind":    {Version: PeerVersion, Kind: 200, Body: body},
	} {
		data, err := peerEncoder.Marshal(envelope)
		assert.NilError(t, err)
		_, err = DecodePeer(data)
		assert.Equal(t, fault.KindOf(err), fault.Malformed, name)
	}
	_, err = EncodePeer(PeerFrame{Kind: KindForward, Message: &Forward{Request: work.Request{Body: make([]byte, MaxPeerFrameBytes)}}})
	assert.Equal(t, fault.KindOf(err), fault.TooLarge)
}
