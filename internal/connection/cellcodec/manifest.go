package cellcodec

import (
	"bytes"
	"compress/flate"
	"io"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/version/manifest"
)

const (
	// MaxManifestBytes bounds an encoded manifest that instances send each other.
	MaxManifestBytes = 1 << 20
	// maxManifestPartBytes bounds a part of one. The other messages of a link wait while a
	// part is sent, 9 ms at 30 Mbit/s.
	maxManifestPartBytes = 32 << 10
	// maxManifestPlainBytes bounds a manifest before its compression.
	maxManifestPlainBytes = 16 << 20
)

// manifestDecoding decodes whatever EncodeManifest encodes. maxManifestPlainBytes bounds the
// number of its elements.
var manifestDecoding = mustDecMode(cbor.DecOptions{MaxArrayElements: math.MaxInt32, UTF8: cbor.UTF8DecodeInvalid})

// EncodeManifest returns the encoding in which instances send each other a manifest: CBOR,
// compressed, since the routes of a manifest are alike. It returns an error of kind Internal,
// also if the manifest is too large to be sent.
func EncodeManifest(m *manifest.Manifest) ([]byte, error) {
	var encoded bytes.Buffer
	compressor, err := flate.NewWriter(&encoded, flate.BestSpeed)
	if err == nil {
		err = cbor.NewEncoder(compressor).Encode(m)
	}
	if err == nil {
		err = compressor.Close()
	}
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encoding a manifest")
	}
	if encoded.Len() > MaxManifestBytes {
		return nil, fault.New(fault.Internal, "the manifest takes %d bytes, more than the %d that are handed on", encoded.Len(), MaxManifestBytes)
	}
	return encoded.Bytes(), nil
}

// Next returns the part of an encoded manifest that follows what is wanted, from its first
// byte if another manifest is wanted.
func (w ManifestWanted) Next(sum uint64, encoded []byte) *ManifestPart {
	from := w.Offset
	if w.Sum != sum || from < 0 || from >= int64(len(encoded)) {
		from = 0
	}
	to := min(from+maxManifestPartBytes, int64(len(encoded)))
	return &ManifestPart{Request: w.Request, Sum: sum, Offset: from, Total: int64(len(encoded)), Data: encoded[from:to]}
}

// ManifestAssembly joins the parts of a manifest. Its zero value has none.
type ManifestAssembly struct {
	request uint64
	sum     uint64
	data    []byte
}

// Ask returns the next request.
func (a *ManifestAssembly) Ask() *ManifestWanted {
	a.request++
	return &ManifestWanted{Request: a.request, Sum: a.sum, Offset: int64(len(a.data))}
}

// Add adds a part and reports whether it was of use. It returns the encoded manifest once it
// is complete, and an error of kind Malformed if the parts do not fit together. A part of
// another manifest replaces those before it if it answers the newest request: one that answers
// an earlier request, sent again because the answer was late, must not undo what has arrived
// meanwhile.
func (a *ManifestAssembly) Add(part ManifestPart) (encoded []byte, used bool, err error) {
	if part.Total <= 0 || part.Total > MaxManifestBytes || len(part.Data) == 0 || part.Offset < 0 || part.Offset > part.Total-int64(len(part.Data)) {
		return nil, false, fault.New(fault.Malformed, "a part of %d bytes at %d of a manifest of %d bytes", len(part.Data), part.Offset, part.Total)
	}
	if part.Offset == 0 && part.Sum != a.sum && part.Request == a.request {
		a.sum, a.data = part.Sum, nil
	}
	if part.Sum != a.sum || part.Offset != int64(len(a.data)) {
		return nil, false, nil
	}
	a.data = append(a.data, part.Data...)
	if int64(len(a.data)) < part.Total {
		return nil, true, nil
	}
	encoded, a.sum, a.data = a.data, 0, nil
	if ManifestSum(encoded) != part.Sum {
		return nil, false, fault.New(fault.Malformed, "the checksum of a manifest of %d bytes differs", len(encoded))
	}
	return encoded, true, nil
}

// ManifestSum returns the checksum of an encoded manifest. It is never 0.
func ManifestSum(encoded []byte) uint64 { return max(1, xxhash.Sum64(encoded)) }

// DecodeManifest decodes a manifest that another instance sent and indexes it.
// Its errors are of kind Malformed.
func DecodeManifest(data []byte) (*manifest.Manifest, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxManifestPlainBytes))
	if err != nil {
		return nil, fault.Wrap(fault.Malformed, err, "decompressing a manifest of %d bytes", len(data))
	}
	var decoded manifest.Manifest
	if err := manifestDecoding.Unmarshal(plain, &decoded); err != nil {
		return nil, fault.Wrap(fault.Malformed, err, "decoding a manifest of %d bytes", len(data))
	}
	return manifest.New(decoded.Version, decoded.Queues), nil
}
