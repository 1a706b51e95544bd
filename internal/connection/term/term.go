// Package term elects the leader of a cell through the platform's log.
//
// A term begins with a claim. The claim is appended on condition that the
// partition still ends where the claimant saw it end, so only one of several
// claimants wins. The epoch of a term is the offset of its claim plus one, which
// is unique and increases from term to term. The holder renews its claim in the
// same partition; other instances claim the cell when the renewals stop.
//
// A new term does not by itself stop the holder of an earlier one. Writes to
// the log are fenced by the epoch, which the log gets as the producer's epoch,
// and orders to workers by a fencing token above those of all earlier terms.
package term

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/election"
)

// Topic is the topic of the term records. It has one partition for each cell.
const Topic = "terms"

// leaderKey is the key of the term records, the only key in a partition.
const leaderKey = "leader"

// termRecord is the stored form of a claim, a renewal or a release. Epoch is 0
// in a claim, because it follows from the claim's offset.
type termRecord struct {
	Epoch           int64           `cbor:"1,keyasint,omitempty"`
	Holder          election.Holder `cbor:"2,keyasint"`
	Released        bool            `cbor:"3,keyasint,omitempty"`
	LargestCPUShare float64         `cbor:"4,keyasint,omitempty"`
	// Voters is missing in a record of a version before it.
	Voters []election.Voter `cbor:"5,keyasint,omitempty"`
	// Previous is missing in a record of a version before it.
	Previous int64 `cbor:"6,keyasint,omitempty"`
}

func termPartition(cell int) store.Partition { return store.Partition{Topic: Topic, Part: cell} }

// Read returns the newest term of a cell. An Epoch of 0 means that the cell has
// had no term yet.
func Read(ctx context.Context, log store.Log, cell int) (election.Term, error) {
	records, end, err := log.Newest(ctx, termPartition(cell))
	if err != nil {
		return election.Term{}, fmt.Errorf("reading the term of cell %d: %w", cell, err)
	}
	if len(records) == 0 {
		return election.Term{Cell: cell, EndOffset: end}, nil
	}
	newest := records[len(records)-1]
	var content termRecord
	err = newest.Err
	if err == nil {
		err = cbor.Unmarshal(newest.Value, &content)
	}
	if err != nil {
		return election.Term{}, fault.Wrap(fault.Malformed, err, "decoding the term record of cell %d", cell)
	}
	term := election.Term{Cell: cell, Epoch: content.Epoch, Holder: content.Holder, Released: content.Released,
		LargestCPUShare: content.LargestCPUShare, Voters: content.Voters, Previous: content.Previous, EndOffset: newest.Offset + 1}
	if term.Epoch == 0 {
		term.Epoch = newest.Offset + 1
	}
	return term, nil
}

// Claim tries to begin the term that follows seen. It fails with reason
// EndMismatch if the partition has changed since seen was read. If the reply is
// lost, a later Read shows whether the holder won. The claim keeps the voters of seen:
// the holder may not change them before enough of them have confirmed its term.
func Claim(ctx context.Context, log store.Log, seen election.Term, holder election.Holder) (election.Term, error) {
	offset, err := appendRecord(ctx, log, seen.Cell, seen.EndOffset, termRecord{Holder: holder, LargestCPUShare: seen.LargestCPUShare, Voters: seen.Voters, Previous: seen.Epoch})
	if err != nil {
		return election.Term{}, fmt.Errorf("claiming cell %d: %w", seen.Cell, err)
	}
	return election.Term{Cell: seen.Cell, Epoch: offset + 1, Holder: holder, LargestCPUShare: seen.LargestCPUShare, Voters: seen.Voters, Previous: seen.Epoch, EndOffset: offset + 1}, nil
}

// Renew appends a renewal of a held term and returns the term with its new
// EndOffset. An error with reason EndMismatch means that another claim was
// appended in between, or an earlier renewal whose reply was lost; Read shows
// which.
func Renew(ctx context.Context, log store.Log, held election.Term) (election.Term, error) {
	return replaceRecord(ctx, log, held, termRecord{Epoch: held.Epoch, Holder: held.Holder, LargestCPUShare: held.LargestCPUShare, Voters: held.Voters, Previous: held.Previous})
}

// Release gives up a held term, so that other instances can claim the cell
// without waiting for missing renewals.
func Release(ctx context.Context, log store.Log, held election.Term) error {
	_, err := replaceRecord(ctx, log, held, termRecord{Epoch: held.Epoch, Holder: held.Holder, LargestCPUShare: held.LargestCPUShare, Voters: held.Voters, Previous: held.Previous, Released: true})
	return err
}

// replaceRecord appends a new record of a held term, if the partition still ends
// at held.EndOffset, and returns the term with its new EndOffset.
func replaceRecord(ctx context.Context, log store.Log, held election.Term, content termRecord) (election.Term, error) {
	offset, err := appendRecord(ctx, log, held.Cell, held.EndOffset, content)
	if err != nil {
		return held, fmt.Errorf("renewing or releasing the term of cell %d: %w", held.Cell, err)
	}
	held.EndOffset = offset + 1
	return held, nil
}

// appendRecord appends a term record if the partition of the cell ends at the
// offset end. It returns the offset of the record.
func appendRecord(ctx context.Context, log store.Log, cell int, end int64, content termRecord) (int64, error) {
	encoded, err := cbor.Marshal(content)
	if err != nil {
		return 0, fault.Wrap(fault.Internal, err, "encoding a term record")
	}
	records := []store.Record{{Key: leaderKey, Value: encoded}}
	return log.Append(ctx, termPartition(cell), records, store.Condition{EndOffset: &end})
}
