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

// The seed is fixed so that every run gives the same verdict; -rapid.seed
// replaces it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

var (
	homeA = ident.Incarnation{Instance: "a", Nonce: 1}
	homeB = ident.Incarnation{Instance: "b", Nonce: 2}
)

const start = int64(1_700_000_000_000)

// uuidAt returns a UUID of version 7 with a time and a number.
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

// naive is the fold written as plain rules over mutable maps. It forgets
// nothing, so it is compared only within the window.
type naive struct {
	home    ident.Incarnation
	homeAt  ident.Offset
	epoch   ident.Epoch
	jobs    map[ident.JobID]*naiveJob
	intents map[string]ident.Offset
	settled map[string]fault.Outcome
	first   map[string]string
}

type naiveJob struct {
	state     work.JobState
	attempt   ident.Attempt
	seen      bool
	evictions int
	saved     string
}

func (n *naive) apply(offset ident.Offset, envelope record.Envelope) {
	if body, isHome := envelope.Record.(record.Home); isHome && body.After == n.homeAt && body.Epoch >= n.epoch {
		n.home, n.homeAt, n.epoch = envelope.Writer, offset, body.Epoch
	}
	if envelope.Writer != n.home {
		return
	}
	switch body := envelope.Record.(type) {
	case record.Accepted:
		if n.jobs[body.Job.ID] == nil {
			n.jobs[body.Job.ID] = &naiveJob{}
		}
	case record.Placing:
		if job := n.jobs[body.Job]; job != nil && job.state == work.JobWaiting && body.Attempt == job.attempt+1 {
			job.state, job.attempt, job.seen = work.JobRunning, body.Attempt, false
		}
	case record.Started:
		if job := n.jobs[body.Job]; job != nil && job.state == work.JobRunning && body.Attempt == job.attempt {
			job.seen = true
		}
	case record.Evicted:
		if job := n.jobs[body.Job]; job != nil && job.state == work.JobRunning && body.Attempt == job.attempt {
			job.state = work.JobWaiting
			job.evictions++
			if len(body.Checkpoint) > 0 {
				job.saved = string(body.Checkpoint)
			}
		}
	case record.Done:
		if job := n.jobs[body.Job]; job != nil && !job.state.Over() && body.Attempt == job.attempt {
			job.state, job.saved = work.JobSucceeded, ""
		}
	case record.Canceled:
		if job := n.jobs[body.Job]; job != nil && !job.state.Over() && body.Attempt == job.attempt {
			job.state, job.saved = work.JobCanceled, ""
		}
	case record.Intent:
		settled, over := n.settled[body.Key]
		again := over && settled == fault.NotRun && n.intents[body.Key] == body.After && n.first[body.Key] == string(body.Digest)
		if fresh := n.intents[body.Key] == 0 && body.After == 0; fresh || again {
			n.intents[body.Key] = offset
			n.first[body.Key] = string(body.Digest)
			delete(n.settled, body.Key)
		}
	case record.Outcome:
		if _, over := n.settled[body.Key]; !over && n.intents[body.Key] == body.Intent && body.Intent != 0 {
			n.settled[body.Key] = body.Outcome
		}
	}
}

// drawRecord returns a record that is plausible or stale.
func drawRecord(t *rapid.T, n *naive) record.Record {
	id := jobID(rapid.Byte().Draw(t, "job") % 4)
	key := uuidAt(start, rapid.Byte().Draw(t, "key")%3)
	attempt := ident.Attempt(rapid.IntRange(0, 4).Draw(t, "attempt"))
	if job := n.jobs[id]; job != nil && rapid.Bool().Draw(t, "newest") {
		attempt = job.attempt
	}
	after := ident.Offset(rapid.IntRange(0, 60).Draw(t, "after"))
	exact := rapid.Bool().Draw(t, "exact")
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		if exact {
			after = n.homeAt
		}
		return record.Home{After: after, Epoch: ident.Epoch(rapid.IntRange(0, 3).Draw(t, "epoch"))}
	case 1:
		return record.Accepted{Job: work.Job{ID: id, Service: "s", Body: []byte("b")}}
	case 2:
		return record.Placing{Job: id, Attempt: attempt + 1, Worker: "w"}
	case 3:
		return record.Started{Job: id, Attempt: attempt}
	case 4:
		return record.Evicted{Job: id, Attempt: attempt, Checkpoint: rapid.SliceOfN(rapid.Byte(), 0, 2).Draw(t, "saved"), Ran: true}
	case 5:
		return record.Done{Job: id, Attempt: attempt, Outcome: fault.Ran}
	case 6:
		return record.Canceled{Job: id, Attempt: attempt}
	case 7:
		if exact {
			after = n.intents[key]
		}
		return record.Intent{Caller: "c", Key: key, Digest: []byte{rapid.Byte().Draw(t, "digest") % 2}, After: after}
	default:
		outcome := rapid.SampledFrom([]fault.Outcome{fault.NotRun, fault.Ran}).Draw(t, "outcome")
		if exact {
			after = n.intents[key]
		}
		return record.Outcome{Caller: "c", Key: key, Outcome: outcome, Intent: max(after, 1)}
	}
}

// compare checks a table against the naive fold.
func compare(t *rapid.T, table *Table, n *naive) {
	assert.Equal(t, table.Home, n.home)
	for id, want := range n.jobs {
		job, found := table.Find(id)
		assert.Assert(t, found, "job %s is lost", id)
		got := naiveJob{job.State, job.Attempt, job.Seen, job.Evictions, string(job.Checkpoint)}
		assert.Assert(t, got == *want, "job %s: %+v instead of %+v", id, got, *want)
	}
	for name, intent := range n.intents {
		key, found := table.Key("c", name)
		assert.Assert(t, found, "key %s is lost", name)
		assert.Equal(t, key.Intent, intent)
		outcome, over := n.settled[name]
		assert.Equal(t, key.Settled, over)
		assert.Equal(t, key.Outcome, outcome)
	}
}

func dump(table *Table) string {
	parts, known := table.Snapshot(1 << 30)
	return fmt.Sprintf("%v %+v", known, parts)
}

// Guards against a fold that counts records of a replaced home, repeated or
// late records, that modifies a published table, or whose snapshot isn't equal
// to the state.
func TestFoldMatchesNaiveRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &naive{jobs: map[ident.JobID]*naiveJob{}, intents: map[string]ident.Offset{}, settled: map[string]fault.Outcome{}, first: map[string]string{}}
		table := Empty()
		restored := table
		var written []record.Envelope
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			envelope := record.Envelope{Writer: homeA, At: start + int64(step), Record: drawRecord(t, n)}
			if rapid.IntRange(0, 4).Draw(t, "other") == 0 {
				envelope.Writer = homeB
			}
			if len(written) > 0 && rapid.IntRange(0, 4).Draw(t, "repeat") == 0 {
				envelope = rapid.SampledFrom(written).Draw(t, "repeated")
			}
			written = append(written, envelope)
			before := dump(table)
			offset := table.Offset + 1
			next, verdict := Apply(table, offset, envelope)
			assert.Equal(t, dump(table), before, "the argument was modified")
			again, repeated := Apply(next, offset, envelope)
			assert.Assert(t, again == next && repeated == Unchanged)
			n.apply(offset, envelope)
			compare(t, next, n)
			restored, _ = Apply(restored, offset, envelope)
			assert.Equal(t, dump(restored), dump(next))
			if verdict == Applied && rapid.Bool().Draw(t, "restore") {
				parts, _ := next.Snapshot(1)
				var err error
				restored, err = Restore(parts)
				assert.NilError(t, err)
			}
			table = next
		}
	})
}

func applied(t *testing.T, table *Table, at time.Duration, body record.Record) *Table {
	t.Helper()
	next, verdict := Apply(table, table.Offset+1, record.Envelope{Writer: homeA, At: start + at.Milliseconds(), Record: body})
	assert.Equal(t, verdict, Applied)
	return next
}

// Guards against an ended job or key that runs again once the table has
// forgotten it, and against forgetting one that is not over or within 24 hours.
func TestForgottenIdentifiersAreNeverNewAgain(t *testing.T) {
	ended, open, key := jobID(1), jobID(2), uuidAt(start, 3)
	table := applied(t, Empty(), 0, record.Home{})
	table = applied(t, table, 0, record.Accepted{Job: work.Job{ID: ended}})
	table = applied(t, table, 0, record.Accepted{Job: work.Job{ID: open}})
	table = applied(t, table, 0, record.Intent{Caller: "c", Key: key})
	table = applied(t, table, time.Hour, record.Done{Job: ended, Outcome: fault.Ran})
	touch := func(at time.Duration, number byte) {
		table = applied(t, table, at, record.Accepted{Job: work.Job{ID: ident.JobID("team." + uuidAt(start+at.Milliseconds(), number))}})
	}
	touch(Window, 4)
	_, found := table.Key("c", key)
	assert.Assert(t, found)
	touch(Window+slack+time.Minute, 5)
	_, found = table.Key("c", key)
	assert.Assert(t, !found)
	_, found = table.Find(ended)
	assert.Assert(t, found, "a job is kept for 24 hours from its end")
	touch(Window+slack+time.Hour+time.Minute, 6)
	_, found = table.Find(ended)
	assert.Assert(t, !found)
	_, found = table.Find(open)
	assert.Assert(t, found)
	for _, body := range []record.Record{record.Accepted{Job: work.Job{ID: ended}}, record.Intent{Caller: "c", Key: key}} {
		_, verdict := Apply(table, table.Offset+1, record.Envelope{Writer: homeA, Record: body})
		assert.Equal(t, verdict, Void)
	}
	parts, _ := table.Snapshot(1000)
	assert.Assert(t, len(parts) > 1)
	restored, err := Restore(parts)
	assert.NilError(t, err)
	assert.Equal(t, dump(restored), dump(table))
	_, err = Restore(parts[1:])
	assert.Equal(t, fault.KindOf(err), fault.Malformed)
}

// Guards against a reader that lost the stream's beginning and takes an
// identifier for new that ran before the loss.
func TestLostStreamAcceptsNoOldIdentifier(t *testing.T) {
	table, _ := Apply(nil, 7, record.Envelope{Writer: homeA, At: start, Record: record.Home{After: 3}})
	assert.Equal(t, table.Home, homeA)
	_, verdict := Apply(table, 8, record.Envelope{Writer: homeA, At: start, Record: record.Accepted{Job: work.Job{ID: jobID(1)}}})
	assert.Equal(t, verdict, Void)
}

// Guards against identifiers that a home can't date.
func TestTimeOfIdentifiers(t *testing.T) {
	millis, valid := TimeOfJob(jobID(9))
	assert.Assert(t, valid)
	assert.Equal(t, millis, start)
	for _, bad := range []string{"", "x", uuid.NewString(), "{" + uuidAt(start, 1) + "}", "URN:UUID:" + uuidAt(start, 1)} {
		_, valid := TimeOfKey(bad)
		assert.Assert(t, !valid, "%q", bad)
	}
	now := time.UnixMilli(start)
	table := Empty()
	assert.NilError(t, table.CheckTime(start, now))
	assert.Equal(t, fault.KindOf(table.CheckTime(start+MaxAhead.Milliseconds()+1, now)), fault.BadRequest)
	old := table.CheckTime(start-Window.Milliseconds()-1, now)
	assert.Equal(t, fault.KindOf(old), fault.KeyExpired)
	assert.Equal(t, fault.From(old).Outcome, fault.Unknown)
}

// BenchmarkApply measures one fold at the jobs of one shard in two years.
func BenchmarkApply(b *testing.B) {
	const jobs = 1800
	table, _ := Apply(Empty(), 1, record.Envelope{Writer: homeA, At: start, Record: record.Home{}})
	ids := make([]ident.JobID, jobs)
	for i := range ids {
		ids[i] = ident.JobID(fmt.Sprintf("team%d.%s", i%17, uuidAt(start+int64(i), byte(i))))
		table, _ = Apply(table, table.Offset+1, record.Envelope{Writer: homeA, At: start, Record: record.Accepted{Job: work.Job{ID: ids[i]}}})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		attempt := ident.Attempt(i/(2*jobs) + 1)
		var body record.Record = record.Placing{Job: ids[i/2%jobs], Attempt: attempt, Worker: "w"}
		if i%2 == 1 {
			body = record.Evicted{Job: ids[i/2%jobs], Attempt: attempt}
		}
		next, verdict := Apply(table, table.Offset+1, record.Envelope{Writer: homeA, At: start, Record: body})
		if verdict != Applied {
			b.Fatal("the record was void")
		}
		table = next
	}
}
