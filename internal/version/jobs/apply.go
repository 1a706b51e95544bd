package jobs

import (
	"encoding/binary"
	"slices"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
	"poplarvalve/internal/process/work"
)

// ApplyResult is the effect of a record on the table.
type ApplyResult uint8

const (
	// Rejected means that the record is invalid, because its writer was not the
	// home of the shard or because it does not fit the state left by earlier
	// records.
	Rejected ApplyResult = iota
	// Unchanged means that the record contains nothing new.
	Unchanged
	// Applied means that the record changed the table.
	Applied
)

// expiryEntry identifies a job or a key that is dropped once its retention is over.
// Exactly one of job and key is set.
type expiryEntry struct {
	job ident.JobID
	key []byte
	// idTime is the time in the identifier, in milliseconds since 1970, or zero if it
	// has none.
	idTime int64
}

// Apply returns the table after the record at offset, and the effect of the record.
// It does not modify table. A nil table stands for an empty one. If offset is then
// above 1, the records before it are lost, and no identifier from before the next
// HomeClaim record is accepted.
func Apply(table *Table, offset ident.Offset, envelope record.Envelope) (*Table, ApplyResult) {
	if table == nil {
		table = NewTable()
		table.Incomplete = offset > 1
	}
	if offset <= table.Offset {
		return table, Unchanged
	}
	next := *table
	next.Offset = offset
	result := next.applyRecord(offset, envelope)
	if result == Applied {
		next.LatestRecordTime = max(next.LatestRecordTime, envelope.At)
		next.dropExpired()
	}
	return &next, result
}

func (t *Table) applyRecord(offset ident.Offset, envelope record.Envelope) ApplyResult {
	if body, isClaim := envelope.Record.(record.HomeClaim); isClaim {
		return t.applyHomeClaim(offset, envelope, body)
	}
	if envelope.Writer != t.Home || t.Home.IsZero() {
		return Rejected
	}
	switch body := envelope.Record.(type) {
	case record.JobAccepted:
		return t.applyJobAccepted(envelope, body)
	case record.AttemptPlaced:
		return t.applyAttemptPlaced(envelope, body)
	case record.AttemptStarted:
		return t.applyAttemptStarted(envelope, body)
	case record.AttemptEnded:
		return t.applyAttemptEnded(envelope, body)
	case record.JobDone:
		return t.applyJobDone(envelope, body)
	case record.JobCanceled:
		return t.applyJobCanceled(envelope, body)
	case record.Intent:
		return t.applyIntent(offset, envelope, body)
	case record.Outcome:
		return t.applyOutcome(envelope, body)
	case record.Snapshot:
		return Unchanged
	default:
		return Rejected
	}
}

// applyHomeClaim makes the writer the home of the shard. The epoch of the record
// must not be lower than that of the last HomeClaim record, and its After must be
// the offset of that last record, unless records were lost. In that case
// applyHomeClaim also raises DroppedUpTo above the time of any identifier that the
// lost records could contain.
func (t *Table) applyHomeClaim(offset ident.Offset, envelope record.Envelope, body record.HomeClaim) ApplyResult {
	if envelope.Writer.IsZero() {
		return Rejected
	}
	if body.After != t.HomeAt && !t.Incomplete || body.Epoch < t.Epoch {
		return Rejected
	}
	if t.Incomplete {
		t.Incomplete = false
		t.DroppedUpTo = max(t.DroppedUpTo, envelope.At+MaxClockAhead.Milliseconds()+clockSkewAllowance.Milliseconds())
	}
	t.Home = envelope.Writer
	t.HomeAt = offset
	t.Epoch = body.Epoch
	return Applied
}

func (t *Table) applyJobAccepted(envelope record.Envelope, body record.JobAccepted) ApplyResult {
	if _, known := t.Find(body.Job.ID); known {
		return Unchanged
	}
	idTime, wellFormed := JobTime(body.Job.ID)
	if !wellFormed || idTime <= t.DroppedUpTo {
		return Rejected
	}
	t.putOpenJob(&Job{Spec: body.Job, Accepted: envelope.At, Changed: envelope.At})
	return Applied
}

// putOpenJob adds or replaces a job that has not ended.
func (t *Table) putOpenJob(job *Job) {
	var replaced *Job
	t.openJobs, replaced, _ = t.openJobs.Insert([]byte(job.Spec.ID), job)
	t.Bytes += job.Cost() - costOf(replaced)
}

// costOf returns the cost of a job, or 0 for nil.
func costOf(job *Job) int64 {
	if job == nil {
		return 0
	}
	return job.Cost()
}

// copyOpenJob returns a copy of a job for modification, with the time of the record
// as its last change. It reports false if the job is unknown or has ended, or if
// attempt is not its newest attempt.
func (t *Table) copyOpenJob(envelope record.Envelope, id ident.JobID, attempt ident.Attempt) (*Job, bool) {
	job, found := t.openJobs.Get([]byte(id))
	if !found || job.Attempt != attempt {
		return nil, false
	}
	changed := *job
	changed.Changed = envelope.At
	return &changed, true
}

func (t *Table) applyAttemptPlaced(envelope record.Envelope, body record.AttemptPlaced) ApplyResult {
	job, valid := t.copyOpenJob(envelope, body.Job, body.Attempt-1)
	if !valid || job.State != work.JobWaiting {
		return Rejected
	}
	job.State = work.JobRunning
	job.Attempt = body.Attempt
	job.Location = WorkerLocation{Worker: body.Worker, Address: body.Address, Zone: body.Zone, Region: body.Region}
	job.PlacedBy = envelope.Writer
	job.Started = false
	t.putOpenJob(job)
	return Applied
}

func (t *Table) applyAttemptStarted(envelope record.Envelope, body record.AttemptStarted) ApplyResult {
	job, valid := t.copyOpenJob(envelope, body.Job, body.Attempt)
	if !valid || job.State != work.JobRunning {
		return Rejected
	}
	if job.Started {
		return Unchanged
	}
	job.Started = true
	job.FailuresInARow = 0
	t.putOpenJob(job)
	return Applied
}

func (t *Table) applyAttemptEnded(envelope record.Envelope, body record.AttemptEnded) ApplyResult {
	job, valid := t.copyOpenJob(envelope, body.Job, body.Attempt)
	if !valid || job.State != work.JobRunning {
		return Rejected
	}
	job.State = work.JobWaiting
	job.Reason = body.Reason
	job.LastFailedWorker = ""
	if len(body.Checkpoint) > 0 {
		job.Checkpoint = body.Checkpoint
	}
	if body.Ran {
		job.Evictions++
	}
	if body.Reason != "" {
		job.FailuresInARow++
		job.LastFailedWorker = job.Location.Worker
	}
	if body.CountsAgainstJob {
		job.countFailure()
	}
	t.putOpenJob(job)
	return Applied
}

// countFailure counts the failure of the newest attempt against the job.
func (j *Job) countFailure() {
	j.Failures++
	if !slices.Contains(j.FailedOn, j.Location.Worker) {
		j.FailedOn = append(slices.Clone(j.FailedOn), j.Location.Worker)
	}
}

func (t *Table) applyJobDone(envelope record.Envelope, body record.JobDone) ApplyResult {
	job, valid := t.copyOpenJob(envelope, body.Job, body.Attempt)
	if !valid {
		return Rejected
	}
	job.State = work.JobFailed
	if body.Outcome == fault.Ran && (body.Reason == "" || body.Reason == fault.AnswerIncomplete) {
		job.State = work.JobSucceeded
	}
	job.Outcome = body.Outcome
	job.Reason = body.Reason
	job.Result = body.Result
	t.endJob(job)
	return Applied
}

func (t *Table) applyJobCanceled(envelope record.Envelope, body record.JobCanceled) ApplyResult {
	job, valid := t.copyOpenJob(envelope, body.Job, body.Attempt)
	if !valid {
		return Rejected
	}
	job.State = work.JobCanceled
	job.Reason = fault.Canceled
	t.endJob(job)
	return Applied
}

// endJob moves a job to the ended jobs. It drops the body and the checkpoint, since
// the job never runs again.
func (t *Table) endJob(job *Job) {
	job.Spec.Body = nil
	job.Checkpoint = nil
	name := []byte(job.Spec.ID)
	var open *Job
	t.openJobs, open, _ = t.openJobs.Delete(name)
	t.Bytes -= costOf(open)
	t.putEndedJob(job)
}

// putEndedJob adds a job that has ended and schedules its expiry.
func (t *Table) putEndedJob(job *Job) {
	var replaced *Job
	t.endedJobs, replaced, _ = t.endedJobs.Insert([]byte(job.Spec.ID), job)
	t.Bytes += job.Cost() - costOf(replaced)
	t.scheduleExpiry(job.newExpiryEntry())
}

// newExpiryEntry returns the time at which the retention of an ended job begins, in
// milliseconds since 1970, and the job's expiry entry.
func (j *Job) newExpiryEntry() (int64, expiryEntry) {
	idTime, _ := JobTime(j.Spec.ID)
	return max(j.Changed, idTime), expiryEntry{job: j.Spec.ID, idTime: idTime}
}

// applyIntent grants a key to the writer of the record: a new key, or once more a
// reusable one for the same request.
func (t *Table) applyIntent(offset ident.Offset, envelope record.Envelope, body record.Intent) ApplyResult {
	known, found := t.Key(body.Caller, body.Key)
	if found && !(known.Reusable() && known.Intent == body.After && slices.Equal(known.Digest, body.Digest)) {
		return Rejected
	}
	idTime, wellFormed := KeyTime(body.Key)
	if !found && (body.After != 0 || !wellFormed || idTime <= t.DroppedUpTo) {
		return Rejected
	}
	key := &Key{
		Caller:       body.Caller,
		Key:          body.Key,
		Digest:       body.Digest,
		Intent:       offset,
		IntentWriter: envelope.Writer,
		Added:        envelope.At,
	}
	if found {
		key.Added = known.Added
	}
	t.putKey(key, !found)
	return Applied
}

// applyOutcome resolves the intent that the record names, or a request token if it
// names none. The first outcome of a token is final.
func (t *Table) applyOutcome(envelope record.Envelope, body record.Outcome) ApplyResult {
	known, found := t.Key(body.Caller, body.Key)
	if body.Intent != 0 && (!found || known.Intent != body.Intent) {
		return Rejected
	}
	if found && (known.Resolved || body.Intent == 0) {
		return Unchanged
	}
	key := &Key{Caller: body.Caller, Key: body.Key, Added: envelope.At}
	if found {
		copied := *known
		key = &copied
	}
	key.Resolved = true
	key.Outcome = body.Outcome
	key.Body = body.Body
	key.Failure = body.Failure
	t.putKey(key, !found)
	return Applied
}

// putKey adds or replaces a key. added says that the key is new, so that its expiry
// must be scheduled.
func (t *Table) putKey(key *Key, added bool) {
	var replaced *Key
	t.keys, replaced, _ = t.keys.Insert(qualifiedKey(key.Caller, key.Key), key)
	t.Bytes += key.Cost()
	if replaced != nil {
		t.Bytes -= replaced.Cost()
	}
	if added {
		t.scheduleExpiry(key.newExpiryEntry())
	}
}

// newExpiryEntry returns the time at which the retention of a key begins, in
// milliseconds since 1970, and the key's expiry entry.
func (k *Key) newExpiryEntry() (int64, expiryEntry) {
	idTime, _ := KeyTime(k.Key)
	return max(k.Added, idTime), expiryEntry{key: qualifiedKey(k.Caller, k.Key), idTime: idTime}
}

// scheduleExpiry schedules an entry to be dropped after Retention plus
// clockSkewAllowance from the time since, in milliseconds since 1970.
func (t *Table) scheduleExpiry(since int64, entry expiryEntry) {
	at := since + Retention.Milliseconds() + clockSkewAllowance.Milliseconds()
	name := binary.BigEndian.AppendUint64(nil, uint64(at))
	name = append(name, entry.job...)
	name = append(name, entry.key...)
	t.expiries, _, _ = t.expiries.Insert(name, entry)
}

// dropExpired drops the entries whose retention is over at the time
// LatestRecordTime. It raises DroppedUpTo to the times in their identifiers, so
// that none of them is accepted as new later.
func (t *Table) dropExpired() {
	for {
		name, entry, found := t.expiries.Root().Minimum()
		if !found || int64(binary.BigEndian.Uint64(name)) >= t.LatestRecordTime {
			return
		}
		t.expiries, _, _ = t.expiries.Delete(name)
		t.DroppedUpTo = max(t.DroppedUpTo, entry.idTime)
		if entry.job != "" {
			var ended *Job
			t.endedJobs, ended, _ = t.endedJobs.Delete([]byte(entry.job))
			t.Bytes -= costOf(ended)
			continue
		}
		var key *Key
		t.keys, key, _ = t.keys.Delete(entry.key)
		if key != nil {
			t.Bytes -= key.Cost()
		}
	}
}
