package store

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// recordOfSize returns a record that counts the given number of bytes.
func recordOfSize(size int) Record {
	return Record{Key: "key", Value: []byte(strings.Repeat("v", size-len("key")-keyLengthBytes))}
}

// A record or a call that is one byte too large is refused by the log as a whole. The
// limits must be counted as the log counts them.
func TestLimitsHoldToTheByte(t *testing.T) {
	limits := Limits{RecordBytes: 100, CallBytes: 250}
	for size, want := range map[int]Reason{99: "", 100: "", 101: TooLarge} {
		err := limits.Check(recordOfSize(size))
		assert.Equal(t, err == nil, want == "", "%d bytes", size)
		if err != nil {
			assert.Equal(t, ReasonOf(err), want)
		}
	}
	for length, fits := range map[int]bool{MaxKeyBytes: true, MaxKeyBytes + 1: false} {
		err := Limits{RecordBytes: 1000}.Check(Record{Key: strings.Repeat("k", length)})
		assert.Equal(t, err == nil, fits, "a key of %d bytes", length)
	}
	// Two records of 100 bytes take 208 bytes with their lengths.
	for size, fitting := range map[int]int{37: 3, 38: 3, 39: 2} {
		records := []Record{recordOfSize(100), recordOfSize(100), recordOfSize(size)}
		assert.Equal(t, limits.FittingRecords(records), fitting, "%d bytes", size)
		assert.Equal(t, limits.CheckAppend(records) == nil, fitting == 3, "%d bytes", size)
	}
}
