// Package term elects the leader of a cell through the platform's log.
//
// A term begins with a claim, appended on condition that the partition ends
// where the claimant saw it end, so of several claimants one wins. The number
// of a term is the offset of its claim plus one: it is unique and rises. The
// holder renews its claim in the same partition; others claim when it doesn't.
// A term alone does not stop an earlier holder: writes are fenced by the
// number of the term as the producer's epoch, and orders by a fencing token
// above those of all earlier terms.
package term

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/election"
)

// Topic is where terms are kept, one partition for each cell.
const Topic = "terms"

// key is the only one in a partition.
const key = "leader"

// record is what is stored. Epoch is 0 in a claim.
type record struct {
	Epoch    int64           `cbor:"1,keyasint,omitempty"`
	Holder   election.Holder `cbor:"2,keyasint"`
	Released bool            `cbor:"3,keyasint,omitempty"`
	Largest  float64         `cbor:"4,keyasint,omitempty"`
}

func partition(cell int) store.Partition { return store.Partition{Topic: Topic, Part: cell} }

// Read returns the newest term of a cell. The zero Epoch means that there is
// none yet.
func Read(ctx context.Context, log store.Log, cell int) (election.Term, error) {
	records, end, err := log.Newest(ctx, partition(cell))
	if err != nil {
		return election.Term{}, fmt.Errorf("reading the term of cell %d: %w", cell, err)
	}
	if len(records) == 0 {
		return election.Term{Cell: cell, End: end}, nil
	}
	newest := records[len(records)-1]
	var content record
	if err := cbor.Unmarshal(newest.Value, &content); err != nil {
		return election.Term{}, fault.Wrap(fault.Malformed, err, "the term record of cell %d", cell)
	}
	term := election.Term{Cell: cell, Epoch: content.Epoch, Holder: content.Holder, Released: content.Released,
		Largest: content.Largest, End: newest.Offset + 1}
	if term.Epoch == 0 {
		term.Epoch = newest.Offset + 1
	}
	return term, nil
}

// Claim tries to begin a term after seen. A lost reply is settled by a later
// Read, which shows whether the holder won.
func Claim(ctx context.Context, log store.Log, seen election.Term, holder election.Holder) (election.Term, error) {
	offset, err := appendRecord(ctx, log, seen.Cell, seen.End, record{Holder: holder, Largest: seen.Largest})
	if err != nil {
		return election.Term{}, fmt.Errorf("claiming cell %d: %w", seen.Cell, err)
	}
	return election.Term{Cell: seen.Cell, Epoch: offset + 1, Holder: holder, Largest: seen.Largest, End: offset + 1}, nil
}

// Renew shows that the holder still leads. A failure with reason Moved means
// that another claim or an earlier renewal without a reply came between; Read
// tells which.
func Renew(ctx context.Context, log store.Log, held election.Term) (election.Term, error) {
	return replace(ctx, log, held, record{Epoch: held.Epoch, Holder: held.Holder, Largest: held.Largest})
}

// Release gives the term up, so that others claim at once.
func Release(ctx context.Context, log store.Log, held election.Term) error {
	_, err := replace(ctx, log, held, record{Epoch: held.Epoch, Holder: held.Holder, Largest: held.Largest, Released: true})
	return err
}

func replace(ctx context.Context, log store.Log, held election.Term, content record) (election.Term, error) {
	offset, err := appendRecord(ctx, log, held.Cell, held.End, content)
	if err != nil {
		return held, fmt.Errorf("renewing the term of cell %d: %w", held.Cell, err)
	}
	held.End = offset + 1
	return held, nil
}

func appendRecord(ctx context.Context, log store.Log, cell int, end int64, content record) (int64, error) {
	encoded, err := cbor.Marshal(content)
	if err != nil {
		return 0, fault.Wrap(fault.Internal, err, "encoding a term record")
	}
	records := []store.Record{{Key: key, Value: encoded}}
	return log.Append(ctx, partition(cell), records, store.Condition{End: &end})
}
