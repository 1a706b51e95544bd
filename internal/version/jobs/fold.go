package jobs

import (
	"encoding/binary"
	"slices"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
	"poplarvalve/internal/process/work"
)

// Verdict says what a record did.
type Verdict uint8

const (
	// Void: the record does not count, because its writer was not the home or
	// because another record came before it.
	Void Verdict = iota
	// Unchanged: the record says nothing new.
	Unchanged
	// Applied: the record changed the table.
	Applied
)

// expiring names an entry that is forgotten at a time.
type expiring struct {
	job ident.JobID
	key []byte
	// stated is the time in the identifier, or zero.
	stated int64
}

// Apply returns the table after the record at offset and what the record did.
// It does not modify its argument. A nil table is empty; if offset is then not
// the first of the stream, no identifier from before the next Home is accepted.
func Apply(table *Table, offset ident.Offset, envelope record.Envelope) (*Table, Verdict) {
	if table == nil {
		table = Empty()
		table.Lost = offset > 1
	}
	if offset <= table.Offset {
		return table, Unchanged
	}
	next := *table
	next.Offset = offset
	verdict := next.apply(offset, envelope)
	if verdict == Applied {
		next.Clock = max(next.Clock, envelope.At)
		next.forget()
	}
	return &next, verdict
}

func (t *Table) apply(offset ident.Offset, envelope record.Envelope) Verdict {
	if body, isHome := envelope.Record.(record.Home); isHome {
		return t.home(offset, envelope, body)
	}
	if envelope.Writer != t.Home || t.Home.IsZero() {
		return Void
	}
	switch body := envelope.Record.(type) {
	case record.Accepted:
		return t.accepted(envelope, body)
	case record.Placing:
		return t.placing(envelope, body)
	case record.Started:
		return t.started(envelope, body)
	case record.Evicted:
		return t.evicted(envelope, body)
	case record.Done:
		return t.done(envelope, body)
	case record.Canceled:
		return t.canceled(envelope, body)
	case record.Intent:
		return t.intent(offset, envelope, body)
	case record.Outcome:
		return t.outcome(envelope, body)
	case record.Snapshot:
		return Unchanged
	default:
		return Void
	}
}

func (t *Table) home(offset ident.Offset, envelope record.Envelope, body record.Home) Verdict {
	if envelope.Writer.IsZero() {
		return Void
	}
	if body.After != t.HomeAt && !t.Lost || body.Epoch < t.Epoch {
		return Void
	}
	if t.Lost {
		t.Lost = false
		t.Floor = max(t.Floor, envelope.At+MaxAhead.Milliseconds()+slack.Milliseconds())
	}
	t.Home = envelope.Writer
	t.HomeAt = offset
	t.Epoch = body.Epoch
	return Applied
}

func (t *Table) accepted(envelope record.Envelope, body record.Accepted) Verdict {
	if _, known := t.Find(body.Job.ID); known {
		return Unchanged
	}
	stated, wellFormed := TimeOfJob(body.Job.ID)
	if !wellFormed || stated <= t.Floor {
		return Void
	}
	t.put(&Job{Spec: body.Job, Accepted: envelope.At, Changed: envelope.At})
	return Applied
}

func (t *Table) put(job *Job) {
	t.open, _, _ = t.open.Insert([]byte(job.Spec.ID), job)
}

// current returns a copy of a job that is not over, if attempt is its newest.
func (t *Table) current(envelope record.Envelope, id ident.JobID, attempt ident.Attempt) (*Job, bool) {
	job, found := t.open.Get([]byte(id))
	if !found || job.Attempt != attempt {
		return nil, false
	}
	changed := *job
	changed.Changed = envelope.At
	return &changed, true
}

func (t *Table) placing(envelope record.Envelope, body record.Placing) Verdict {
	job, valid := t.current(envelope, body.Job, body.Attempt-1)
	if !valid || job.State != work.JobWaiting {
		return Void
	}
	job.State = work.JobRunning
	job.Attempt = body.Attempt
	job.At = Place{Worker: body.Worker, Address: body.Address, Zone: body.Zone, Region: body.Region}
	job.Placer = envelope.Writer
	job.Seen = false
	t.put(job)
	return Applied
}

func (t *Table) started(envelope record.Envelope, body record.Started) Verdict {
	job, valid := t.current(envelope, body.Job, body.Attempt)
	if !valid || job.State != work.JobRunning {
		return Void
	}
	if job.Seen {
		return Unchanged
	}
	job.Seen = true
	job.Refusals = 0
	t.put(job)
	return Applied
}

func (t *Table) evicted(envelope record.Envelope, body record.Evicted) Verdict {
	job, valid := t.current(envelope, body.Job, body.Attempt)
	if !valid || job.State != work.JobRunning {
		return Void
	}
	job.State = work.JobWaiting
	job.Reason = body.Reason
	job.LastFailed = ""
	if len(body.Checkpoint) > 0 {
		job.Checkpoint = body.Checkpoint
	}
	if body.Ran {
		job.Evictions++
	}
	if body.Reason != "" {
		job.Refusals++
		job.LastFailed = job.At.Worker
	}
	if body.Counts {
		job.countFailure()
	}
	t.put(job)
	return Applied
}

func (j *Job) countFailure() {
	j.Failures++
	if !slices.Contains(j.FailedOn, j.At.Worker) {
		j.FailedOn = append(slices.Clone(j.FailedOn), j.At.Worker)
	}
}

func (t *Table) done(envelope record.Envelope, body record.Done) Verdict {
	job, valid := t.current(envelope, body.Job, body.Attempt)
	if !valid {
		return Void
	}
	job.State = work.JobFailed
	if body.Outcome == fault.Ran && (body.Reason == "" || body.Reason == fault.AnswerCut) {
		job.State = work.JobSucceeded
	}
	job.Outcome = body.Outcome
	job.Reason = body.Reason
	job.Result = body.Result
	t.end(job)
	return Applied
}

func (t *Table) canceled(envelope record.Envelope, body record.Canceled) Verdict {
	job, valid := t.current(envelope, body.Job, body.Attempt)
	if !valid {
		return Void
	}
	job.State = work.JobCanceled
	job.Reason = fault.Canceled
	t.end(job)
	return Applied
}

// end moves a job to those that are over. Its body and checkpoint are dropped,
// since it never runs again.
func (t *Table) end(job *Job) {
	job.Spec.Body = nil
	job.Checkpoint = nil
	name := []byte(job.Spec.ID)
	t.open, _, _ = t.open.Delete(name)
	t.ended, _, _ = t.ended.Insert(name, job)
	t.expire(job.expiry())
}

func (j *Job) expiry() (int64, expiring) {
	stated, _ := TimeOfJob(j.Spec.ID)
	return max(j.Changed, stated), expiring{job: j.Spec.ID, stated: stated}
}

func (t *Table) intent(offset ident.Offset, envelope record.Envelope, body record.Intent) Verdict {
	known, found := t.Key(body.Caller, body.Key)
	if found && !(known.Reusable() && known.Intent == body.After && slices.Equal(known.Digest, body.Digest)) {
		return Void
	}
	stated, wellFormed := TimeOfKey(body.Key)
	if !found && (body.After != 0 || !wellFormed || stated <= t.Floor) {
		return Void
	}
	key := &Key{
		Caller: body.Caller,
		Key:    body.Key,
		Digest: body.Digest,
		Intent: offset,
		Writer: envelope.Writer,
		Added:  envelope.At,
	}
	if found {
		key.Added = known.Added
	}
	t.putKey(key, !found)
	return Applied
}

// outcome settles the intent that it names. The first outcome of a token holds.
func (t *Table) outcome(envelope record.Envelope, body record.Outcome) Verdict {
	known, found := t.Key(body.Caller, body.Key)
	if body.Intent != 0 && (!found || known.Intent != body.Intent) {
		return Void
	}
	if found && (known.Settled || body.Intent == 0) {
		return Unchanged
	}
	key := &Key{Caller: body.Caller, Key: body.Key, Added: envelope.At}
	if found {
		copied := *known
		key = &copied
	}
	key.Settled = true
	key.Outcome = body.Outcome
	key.Body = body.Body
	key.Failure = body.Failure
	t.putKey(key, !found)
	return Applied
}

func (t *Table) putKey(key *Key, added bool) {
	t.keys, _, _ = t.keys.Insert(keyName(key.Caller, key.Key), key)
	if added {
		t.expire(key.expiry())
	}
}

func (k *Key) expiry() (int64, expiring) {
	stated, _ := TimeOfKey(k.Key)
	return max(k.Added, stated), expiring{key: keyName(k.Caller, k.Key), stated: stated}
}

// expire makes an entry be forgotten once the window has passed since a time.
func (t *Table) expire(since int64, entry expiring) {
	at := since + Window.Milliseconds() + slack.Milliseconds()
	name := binary.BigEndian.AppendUint64(nil, uint64(at))
	name = append(name, entry.job...)
	name = append(name, entry.key...)
	t.expiry, _, _ = t.expiry.Insert(name, entry)
}

// forget drops the entries whose window has passed and raises the floor, so
// that none of them is taken for new later.
func (t *Table) forget() {
	for {
		name, entry, found := t.expiry.Root().Minimum()
		if !found || int64(binary.BigEndian.Uint64(name)) >= t.Clock {
			return
		}
		t.expiry, _, _ = t.expiry.Delete(name)
		t.Floor = max(t.Floor, entry.stated)
		if entry.job != "" {
			t.ended, _, _ = t.ended.Delete([]byte(entry.job))
			continue
		}
		t.keys, _, _ = t.keys.Delete(entry.key)
	}
}
