package store

import "fmt"

const (
	// MaxKeyBytes is the maximum length of a key.
	MaxKeyBytes = 255
	// RecordLengthBytes is what the log counts for the length of a record, and
	// keyLengthBytes what it counts for that of a key.
	RecordLengthBytes = 4
	keyLengthBytes    = 1
)

// Limits are the sizes above which the log refuses an append.
type Limits struct {
	// RecordBytes is the maximum size of one record, as Record.Size returns it.
	RecordBytes int
	// CallBytes is the maximum size of all records of one append with their lengths.
	CallBytes int
}

// DefaultLimits are the limits of a log whose deployment states none.
var DefaultLimits = Limits{RecordBytes: 256 << 10, CallBytes: 2 << 20}

// Size returns the bytes of the record that count towards Limits.RecordBytes.
func (r Record) Size() int { return keyLengthBytes + len(r.Key) + len(r.Value) }

// Check returns an *Error with reason TooLarge if the log would refuse the record for
// its size.
func (l Limits) Check(record Record) error {
	if len(record.Key) > MaxKeyBytes {
		return tooLarge("a key has %d bytes; the limit is %d bytes", len(record.Key), MaxKeyBytes)
	}
	if record.Size() > l.RecordBytes {
		return tooLarge("the record %s has %d bytes; the limit is %d bytes", record.Key, record.Size(), l.RecordBytes)
	}
	return nil
}

// CheckAppend returns an *Error with reason TooLarge if the log would refuse an append of
// the records for their size.
func (l Limits) CheckAppend(records []Record) error {
	for _, record := range records {
		if err := l.Check(record); err != nil {
			return err
		}
	}
	if fitting := l.FittingRecords(records); fitting < len(records) {
		return tooLarge("the first %d of %d records fill an append of %d bytes", fitting, len(records), l.CallBytes)
	}
	return nil
}

// FittingRecords returns how many of the first records one append takes.
func (l Limits) FittingRecords(records []Record) int {
	total := 0
	for i, record := range records {
		total += RecordLengthBytes + record.Size()
		if total > l.CallBytes {
			return i
		}
	}
	return len(records)
}

func tooLarge(format string, args ...any) error {
	return &Error{Reason: TooLarge, Detail: fmt.Sprintf(format, args...)}
}
