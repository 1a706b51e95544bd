package jobs

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
	"poplarvalve/internal/process/work"
)

// The seed of rapid is fixed so that all runs draw the same cases. The flag
// -rapid.seed overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

var (
	homeA = ident.Incarnation{Instance: "a", Nonce: 1}
	homeB = ident.Incarnation{Instance: "b", Nonce: 2}
)

const start = int64(1_700_000_000_000)

// uuidAt returns a UUID of version 7 with the given time and a number that
// distinguishes it from others of that time.
func uuidAt(millis int64, number byte) string {
	var id uuid.UUID
	for i := range 6 {
		id[i] = byte(millis >> (8 * (5 - i)))
	}
	id[6], id[8], id[15] = 0x70, 0x80, number
	return id.String()
}

func jobID(number byte) ident.JobID {
	return ident.JobID("team." + uuidAt(start, number))
}

// referenceTable is a simple implementation of Table with mutable maps. It never
// drops an entry, so it can be compared with a Table only within Retention.
type referenceTable struct {
	home     ident.Incarnation
	homeAt   ident.Offset
	epoch    ident.Epoch
	jobs     map[ident.JobID]*referenceJob
	intents  map[string]ident.Offset
	outcomes map[string]fault.Outcome
	digests  map[string]string
}

type referenceJob struct {
	state      work.JobState
	attempt    ident.Attempt
	started    bool
	evictions  int
	checkpoint string
}

func (r *referenceTable) apply(offset ident.Offset, envelope record.Envelope) {
	if body, isClaim := envelope.Record.(record.HomeClaim); isClaim && body.After == r.homeAt && body.Epoch >= r.epoch {
		r.home, r.homeAt, r.epoch = envelope.Writer, offset, body.Epoch
	}
	if envelope.Writer != r.home {
		return
	}
	switch body := envelope.Record.(type) {
	case record.JobAccepted:
		if r.jobs[body.Job.ID] == nil {
			r.jobs[body.Job.ID] = &referenceJob{}
		}
	case record.AttemptPlaced:
		if job := r.jobs[body.Job]; job != nil && job.state == work.JobWaiting && body.Attempt == job.attempt+1 {
			job.state, job.attempt, job.started = work.JobRunning, body.Attempt, false
		}
	case record.AttemptStarted:
		if job := r.jobs[body.Job]; job != nil && job.state == work.JobRunning && body.Attempt == job.attempt {
			job.started = true
		}
	case record.AttemptEnded:
		if job := r.jobs[body.Job]; job != nil && job.state == work.JobRunning && body.Attempt == job.attempt {
			job.state = work.JobWaiting
			job.evictions++
			if len(body.Checkpoint) > 0 {
				job.checkpoint = string(body.Checkpoint)
			}
		}
	case record.JobDone:
		if job := r.jobs[body.Job]; job != nil && !job.state.IsFinal() && body.Attempt == job.attempt {
			job.state, job.checkpoint = work.JobSucceeded, ""
		}
	case record.JobCanceled:
		if job := r.jobs[body.Job]; job != nil && !job.state.IsFinal() && body.Attempt == job.attempt {
			job.state, job.checkpoint = work.JobCanceled, ""
		}
	case record.Intent:
		outcome, resolved := r.outcomes[body.Key]
		reusable := resolved && outcome == fault.NotRun && r.intents[body.Key] == body.After && r.digests[body.Key] == string(body.Digest)
		if isNew := r.intents[body.Key] == 0 && body.After == 0; isNew || reusable {
			r.intents[body.Key] = offset
			r.digests[body.Key] = string(body.Digest)
			delete(r.outcomes, body.Key)
		}
	case record.Outcome:
		if _, resolved := r.outcomes[body.Key]; !resolved && r.intents[body.Key] == body.Intent && body.Intent != 0 {
			r.outcomes[body.Key] = body.Outcome
		}
	}
}

// drawRecord draws a record that is either valid in the current state or stale.
func drawRecord(t *rapid.T, reference *referenceTable) record.Record {
	id := jobID(rapid.Byte().Draw(t, "job") % 4)
	key := uuidAt(start, rapid.Byte().Draw(t, "key")%3)
	attempt := ident.Attempt(rapid.IntRange(0, 4).Draw(t, "attempt"))
	if job := reference.jobs[id]; job != nil && rapid.Bool().Draw(t, "newest") {
		attempt = job.attempt
	}
	after := ident.Offset(rapid.IntRange(0, 60).Draw(t, "after"))
	exact := rapid.Bool().Draw(t, "exact")
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		if exact {
			after = reference.homeAt
		}
		return record.HomeClaim{After: after, Epoch: ident.Epoch(rapid.IntRange(0, 3).Draw(t, "epoch"))}
	case 1:
		return record.JobAccepted{Job: work.Job{ID: id, Service: "s", Body: []byte("b")}}
	case 2:
		return record.AttemptPlaced{Job: id, Attempt: attempt + 1, Worker: "w"}
	case 3:
		return record.AttemptStarted{Job: id, Attempt: attempt}
	case 4:
		return record.AttemptEnded{Job: id, Attempt: attempt, Checkpoint: rapid.SliceOfN(rapid.Byte(), 0, 2).Draw(t, "saved"), Ran: true}
	case 5:
		return record.JobDone{Job: id, Attempt: attempt, Outcome: fault.Ran}
	case 6:
		return record.JobCanceled{Job: id, Attempt: attempt}
	case 7:
		if exact {
			after = reference.intents[key]
		}
		return record.Intent{Caller: "c", Key: key, Digest: []byte{rapid.Byte().Draw(t, "digest") % 2}, After: after}
	default:
		outcome := rapid.SampledFrom([]fault.Outcome{fault.NotRun, fault.Ran}).Draw(t, "outcome")
		if exact {
			after = reference.intents[key]
		}
		return record.Outcome{Caller: "c", Key: key, Outcome: outcome, Intent: max(after, 1)}
	}
}

// assertMatches checks that a table equals the reference.
func assertMatches(t *rapid.T, table *Table, reference *referenceTable) {
	assert.Equal(t, table.Home, reference.home)
	for id, want := range reference.jobs {
		job, found := table.Find(id)
		assert.Assert(t, found, "job %s is missing from the table", id)
		got := referenceJob{job.State, job.Attempt, job.Started, job.Evictions, string(job.Checkpoint)}
		assert.Assert(t, got == *want, "job %s: got %+v, want %+v", id, got, *want)
	}
	for name, intent := range reference.intents {
		key, found := table.Key("c", name)
		assert.Assert(t, found, "key %s is missing from the table", name)
		assert.Equal(t, key.Intent, intent)
		outcome, resolved := reference.outcomes[name]
		assert.Equal(t, key.Resolved, resolved)
		assert.Equal(t, key.Outcome, outcome)
	}
}

// countBytes adds up what the jobs and keys of a table cost.
func countBytes(table *Table) (bytes int64) {
	parts, _ := table.Snapshot(1 << 30)
	for _, part := range parts {
		for _, job := range part.Jobs {
			bytes += job.Cost()
		}
		for _, key := range part.Keys {
			bytes += key.Cost()
		}
	}
	return bytes
}

// snapshotText returns the snapshot of a table as text, for comparison.
func snapshotText(table *Table) string {
	parts, complete := table.Snapshot(1 << 30)
	return fmt.Sprintf("%v %+v", complete, parts)
}

// The table must match a reference implementation when records of a replaced home,
// repeated records and late records occur: none of them may have an effect. Apply
// must not modify a table that readers may hold, and a table restored from a
// snapshot must equal the original.
func TestTableMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reference := &referenceTable{jobs: map[ident.JobID]*referenceJob{}, intents: map[string]ident.Offset{}, outcomes: map[string]fault.Outcome{}, digests: map[string]string{}}
		table := NewTable()
		restored := table
		var written []record.Envelope
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			envelope := record.Envelope{Writer: homeA, At: start + int64(step), Record: drawRecord(t, reference)}
			if rapid.IntRange(0, 4).Draw(t, "other") == 0 {
				envelope.Writer = homeB
			}
			if len(written) > 0 && rapid.IntRange(0, 4).Draw(t, "repeat") == 0 {
				envelope = rapid.SampledFrom(written).Draw(t, "repeated")
			}
			written = append(written, envelope)
			before := snapshotText(table)
			offset := table.Offset + 1
			next, result := Apply(table, offset, envelope)
			assert.Equal(t, snapshotText(table), before, "Apply modified the table that it was given")
			again, repeated := Apply(next, offset, envelope)
			assert.Assert(t, again == next && repeated == Unchanged)
			reference.apply(offset, envelope)
			assertMatches(t, next, reference)
			if !next.Incomplete {
				assert.Equal(t, next.Bytes, countBytes(next), "the count of bytes differs from a recount")
			}
			restored, _ = Apply(restored, offset, envelope)
			assert.Equal(t, snapshotText(restored), snapshotText(next))
			if result == Applied && rapid.Bool().Draw(t, "restore") {
				parts, _ := next.Snapshot(1)
				var err error
				restored, err = Restore(parts)
				assert.NilError(t, err)
				assert.Equal(t, restored.Bytes, next.Bytes)
			}
			table = next
		}
	})
}

// mustApply applies a record of homeA, which must change the table.
func mustApply(t *testing.T, table *Table, at time.Duration, body record.Record) *Table {
	t.Helper()
	next, result := Apply(table, table.Offset+1, record.Envelope{Writer: homeA, At: start + at.Milliseconds(), Record: body})
	assert.Equal(t, result, Applied)
	if !next.Incomplete {
		assert.Equal(t, next.Bytes, countBytes(next))
	}
	return next
}

// Once an ended job or a key was dropped from the table, its identifier must not be
// accepted as new, since the request would run a second time. Jobs that have not
// ended, and ended jobs and keys of the last 24 hours, must not be dropped.
func TestDroppedIdentifiersAreNotAcceptedAgain(t *testing.T) {
	ended, open, key := jobID(1), jobID(2), uuidAt(start, 3)
	table := mustApply(t, NewTable(), 0, record.HomeClaim{})
	table = mustApply(t, table, 0, record.JobAccepted{Job: work.Job{ID: ended}})
	table = mustApply(t, table, 0, record.JobAccepted{Job: work.Job{ID: open}})
	table = mustApply(t, table, 0, record.Intent{Caller: "c", Key: key})
	table = mustApply(t, table, time.Hour, record.JobDone{Job: ended, Outcome: fault.Ran})
	acceptJobAt := func(at time.Duration, number byte) {
		table = mustApply(t, table, at, record.JobAccepted{Job: work.Job{ID: ident.JobID("team." + uuidAt(start+at.Milliseconds(), number))}})
	}
	acceptJobAt(Retention, 4)
	_, found := table.Key("c", key)
	assert.Assert(t, found)
	acceptJobAt(Retention+clockSkewAllowance+time.Minute, 5)
	_, found = table.Key("c", key)
	assert.Assert(t, !found)
	_, found = table.Find(ended)
	assert.Assert(t, found, "an ended job must be kept for 24 hours from its end")
	acceptJobAt(Retention+clockSkewAllowance+time.Hour+time.Minute, 6)
	_, found = table.Find(ended)
	assert.Assert(t, !found)
	_, found = table.Find(open)
	assert.Assert(t, found)
	for _, body := range []record.Record{record.JobAccepted{Job: work.Job{ID: ended}}, record.Intent{Caller: "c", Key: key}} {
		_, result := Apply(table, table.Offset+1, record.Envelope{Writer: homeA, Record: body})
		assert.Equal(t, result, Rejected)
	}
	parts, _ := table.Snapshot(1000)
	assert.Assert(t, len(parts) > 1)
	restored, err := Restore(parts)
	assert.NilError(t, err)
	assert.Equal(t, snapshotText(restored), snapshotText(table))
	_, err = Restore(parts[1:])
	assert.Equal(t, fault.KindOf(err), fault.Malformed)
}

// A reader that lacks the beginning of the stream does not know which identifiers
// were used there. It must not accept an identifier from that time as new.
func TestOldIdentifiersAreRefusedAfterLostRecords(t *testing.T) {
	table, _ := Apply(nil, 7, record.Envelope{Writer: homeA, At: start, Record: record.HomeClaim{After: 3}})
	assert.Equal(t, table.Home, homeA)
	_, result := Apply(table, 8, record.Envelope{Writer: homeA, At: start, Record: record.JobAccepted{Job: work.Job{ID: jobID(1)}}})
	assert.Equal(t, result, Rejected)
}

// Identifiers without a valid time must be refused, since a home can't tell whether
// they were used and dropped. Identifiers whose time is too old or too far in the
// future must be refused, too.
func TestTimeOfIdentifierIsChecked(t *testing.T) {
	millis, valid := JobTime(jobID(9))
	assert.Assert(t, valid)
	assert.Equal(t, millis, start)
	for _, bad := range []string{"", "x", uuid.NewString(), "{" + uuidAt(start, 1) + "}", "URN:UUID:" + uuidAt(start, 1)} {
		_, valid := KeyTime(bad)
		assert.Assert(t, !valid, "%q", bad)
	}
	now := time.UnixMilli(start)
	table := NewTable()
	assert.NilError(t, table.CheckTime(start, now))
	assert.Equal(t, fault.KindOf(table.CheckTime(start+MaxClockAhead.Milliseconds()+1, now)), fault.BadRequest)
	old := table.CheckTime(start-Retention.Milliseconds()-1, now)
	assert.Equal(t, fault.KindOf(old), fault.KeyExpired)
	assert.Equal(t, fault.From(old).Outcome, fault.Unknown)
}

// BenchmarkApply measures the time to apply one record to a table with as many jobs
// as one shard is expected to have in two years.
func BenchmarkApply(b *testing.B) {
	const jobs = 1800
	table, _ := Apply(NewTable(), 1, record.Envelope{Writer: homeA, At: start, Record: record.HomeClaim{}})
	ids := make([]ident.JobID, jobs)
	for i := range ids {
		ids[i] = ident.JobID(fmt.Sprintf("team%d.%s", i%17, uuidAt(start+int64(i), byte(i))))
		table, _ = Apply(table, table.Offset+1, record.Envelope{Writer: homeA, At: start, Record: record.JobAccepted{Job: work.Job{ID: ids[i]}}})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		attempt := ident.Attempt(i/(2*jobs) + 1)
		var body record.Record = record.AttemptPlaced{Job: ids[i/2%jobs], Attempt: attempt, Worker: "w"}
		if i%2 == 1 {
			body = record.AttemptEnded{Job: ids[i/2%jobs], Attempt: attempt}
		}
		next, result := Apply(table, table.Offset+1, record.Envelope{Writer: homeA, At: start, Record: body})
		if result != Applied {
			b.Fatal("the record did not change the table")
		}
		table = next
	}
}
