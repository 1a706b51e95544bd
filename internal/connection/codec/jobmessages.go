package codec

import (
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
)

// The operations of a Job message. Each comment names the type of the body and
// that of the reply. The home of a job or key is the instance that keeps it and
// acts on it.
const (
	// OpSubmit submits a job: work.Job, answered by work.JobStatus.
	OpSubmit = "submit"
	// OpStatus asks for the status of a job: JobRef, answered by
	// work.JobStatus.
	OpStatus = "status"
	// OpCancel cancels a job: JobRef, answered by work.JobStatus.
	OpCancel = "cancel"
	// OpStartAttempt starts an attempt: StartAttempt, answered by
	// AttemptReports with one report.
	OpStartAttempt = "begin"
	// OpAttemptStatus asks for the status of attempts: AttemptRefs, answered by
	// AttemptReports.
	OpAttemptStatus = "ask"
	// OpStop stops an attempt: AttemptRef, answered by AttemptReports with one
	// report.
	OpStop = "stop"
	// OpEnded reports ended attempts: AttemptReports, sent by the owner of a
	// worker to the home of the job.
	OpEnded = "ended"
	// OpOutcome reports the outcome of a request: RequestOutcome, sent to the
	// home of its key. The reply has no body.
	OpOutcome = "outcome"
	// OpRecorded asks for the recorded outcome of a key: KeyRef, answered by
	// RequestOutcome.
	OpRecorded = "recorded"
)

// JobRef names a job.
type JobRef struct {
	Job ident.JobID `cbor:"1,keyasint"`
}

// StartAttempt asks the owner of a worker to start one attempt.
type StartAttempt struct {
	Ref        AttemptRef        `cbor:"1,keyasint"`
	Service    ident.ServiceName `cbor:"2,keyasint"`
	Class      work.Class        `cbor:"3,keyasint"`
	Body       []byte            `cbor:"4,keyasint,omitempty"`
	Checkpoint []byte            `cbor:"5,keyasint,omitempty"`
	Demand     resource.Vector   `cbor:"6,keyasint"`
}

// AttemptRef names an attempt and the worker where it was placed. It includes
// the worker's zone and region, because the worker may no longer be listed.
type AttemptRef struct {
	Job     ident.JobID      `cbor:"1,keyasint"`
	Attempt ident.Attempt    `cbor:"2,keyasint"`
	Worker  ident.WorkerID   `cbor:"3,keyasint"`
	Zone    ident.ZoneName   `cbor:"4,keyasint,omitempty"`
	Region  ident.RegionName `cbor:"5,keyasint,omitempty"`
}

// AttemptRefs names several attempts.
type AttemptRefs struct {
	Refs []AttemptRef `cbor:"1,keyasint"`
}

// TaskStatus is what the owner of a worker knows about an attempt. Numbers are
// never reused.
type TaskStatus uint8

const (
	// TaskStatusUnknown: the attempt may be running now or may run later.
	TaskStatusUnknown TaskStatus = 0
	// TaskStatusRunning: the attempt is running.
	TaskStatusRunning TaskStatus = 1
	// TaskStatusEnded: the attempt ran or may have run, and will never run
	// again.
	TaskStatusEnded TaskStatus = 2
	// TaskStatusNeverStarted: the attempt did not run and never will.
	TaskStatusNeverStarted TaskStatus = 3
)

// AttemptReport is what the owner of a worker knows about one attempt.
type AttemptReport struct {
	Ref        AttemptRef     `cbor:"1,keyasint"`
	TaskStatus TaskStatus     `cbor:"2,keyasint"`
	State      work.TaskState `cbor:"3,keyasint,omitempty"`
	Result     []byte         `cbor:"4,keyasint,omitempty"`
	// Checkpoint is the state from which the next attempt resumes.
	Checkpoint []byte `cbor:"5,keyasint,omitempty"`
	// Reason is the reason why the attempt was not started.
	Reason fault.Kind `cbor:"6,keyasint,omitempty"`
}

// AttemptReports holds reports in the order of the refs in the request.
type AttemptReports struct {
	Reports []AttemptReport `cbor:"1,keyasint"`
}

// KeyRef names an idempotency key or a request token of a caller.
type KeyRef struct {
	Caller ident.CallerName `cbor:"1,keyasint"`
	Key    string           `cbor:"2,keyasint"`
}

// RequestOutcome is the outcome of the request of a key or token.
type RequestOutcome struct {
	Ref     KeyRef        `cbor:"1,keyasint"`
	Outcome fault.Outcome `cbor:"2,keyasint"`
	Body    []byte        `cbor:"3,keyasint,omitempty"`
	Failure fault.Kind    `cbor:"4,keyasint,omitempty"`
	// IntentOffset is the offset of the intent record that this outcome
	// resolves. It is zero for a token.
	IntentOffset ident.Offset `cbor:"5,keyasint,omitempty"`
	// Recorded is false in the answer to a question for which no outcome is
	// recorded.
	Recorded bool `cbor:"6,keyasint,omitempty"`
}

// EncodeJob returns the Job message of an operation. It fails with TooLarge if
// the encoded body exceeds MaxPeerFrameBytes.
func EncodeJob(operation string, body any) (Job, error) {
	encoded, err := encodeJobBody(body)
	return Job{Operation: operation, Body: encoded}, err
}

// EncodeJobDone returns the reply with a body, which may be nil. It fails with
// TooLarge if the encoded body exceeds MaxPeerFrameBytes.
func EncodeJobDone(body any) (JobDone, error) {
	if body == nil {
		return JobDone{}, nil
	}
	encoded, err := encodeJobBody(body)
	return JobDone{Body: encoded}, err
}

func encodeJobBody(body any) ([]byte, error) {
	encoded, err := peerEncoder.Marshal(body)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encoding the body of a job message").WithOutcome(fault.NotRun)
	}
	if len(encoded) > MaxPeerFrameBytes {
		return nil, fault.New(fault.TooLarge, "job message of %d bytes exceeds the size limit", len(encoded))
	}
	return encoded, nil
}

// DecodeJobBody decodes the body of a Job or JobDone message. It fails with
// Malformed.
func DecodeJobBody[T any](encoded []byte) (T, error) {
	var body T
	if err := peerDecoder.Unmarshal(encoded, &body); err != nil {
		return body, fault.Wrap(fault.Malformed, err, "decoding the body of a job message")
	}
	return body, nil
}
