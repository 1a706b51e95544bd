package codec

import (
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
)

// The operations of a Job message, with the types of its body and its reply.
const (
	// OpSubmit: work.Job, answered by work.JobStatus.
	OpSubmit = "submit"
	// OpStatus: JobRef, answered by work.JobStatus.
	OpStatus = "status"
	// OpCancel: JobRef, answered by work.JobStatus.
	OpCancel = "cancel"
	// OpBegin: BeginAttempt, answered by AttemptReports with one report.
	OpBegin = "begin"
	// OpAsk: AttemptRefs, answered by AttemptReports.
	OpAsk = "ask"
	// OpStop: AttemptRef, answered by AttemptReports with one report.
	OpStop = "stop"
	// OpEnded: AttemptReports, sent by a worker's owner to a job's home.
	OpEnded = "ended"
	// OpOutcome: RequestOutcome, sent to the home of its key. No answer body.
	OpOutcome = "outcome"
	// OpRecorded: KeyRef, answered by RequestOutcome.
	OpRecorded = "recorded"
)

// JobRef names a job.
type JobRef struct {
	Job ident.JobID `cbor:"1,keyasint"`
}

// BeginAttempt asks the owner of a worker to begin one attempt.
type BeginAttempt struct {
	Ref        AttemptRef        `cbor:"1,keyasint"`
	Service    ident.ServiceName `cbor:"2,keyasint"`
	Class      work.Class        `cbor:"3,keyasint"`
	Body       []byte            `cbor:"4,keyasint,omitempty"`
	Checkpoint []byte            `cbor:"5,keyasint,omitempty"`
	Demand     resource.Vector   `cbor:"6,keyasint"`
}

// AttemptRef names an attempt and the worker where it was placed, with its
// zone and region, since the worker may no longer be listed.
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

// Standing says what the owner of a worker knows of an attempt. Numbers are
// never reused.
type Standing uint8

const (
	// AttemptUnknown: the attempt may run now or later.
	AttemptUnknown Standing = 0
	// AttemptRunning: the attempt runs.
	AttemptRunning Standing = 1
	// AttemptOver: the attempt ran or may have run, and never runs again.
	AttemptOver Standing = 2
	// AttemptNeverStarted: the attempt did not run and never will.
	AttemptNeverStarted Standing = 3
)

// AttemptReport is what is known of one attempt.
type AttemptReport struct {
	Ref      AttemptRef     `cbor:"1,keyasint"`
	Standing Standing       `cbor:"2,keyasint"`
	State    work.TaskState `cbor:"3,keyasint,omitempty"`
	Result   []byte         `cbor:"4,keyasint,omitempty"`
	// Checkpoint is the state from which the next attempt resumes.
	Checkpoint []byte `cbor:"5,keyasint,omitempty"`
	// Reason says why an attempt was not started.
	Reason fault.Kind `cbor:"6,keyasint,omitempty"`
}

// AttemptReports holds reports in the order of the question.
type AttemptReports struct {
	Reports []AttemptReport `cbor:"1,keyasint"`
}

// KeyRef names an idempotency key or a request token.
type KeyRef struct {
	Caller ident.CallerName `cbor:"1,keyasint"`
	Key    string           `cbor:"2,keyasint"`
}

// RequestOutcome is how the request of a key or token ended.
type RequestOutcome struct {
	Ref     KeyRef        `cbor:"1,keyasint"`
	Outcome fault.Outcome `cbor:"2,keyasint"`
	Body    []byte        `cbor:"3,keyasint,omitempty"`
	Failure fault.Kind    `cbor:"4,keyasint,omitempty"`
	// Intent is the offset of the intent that it settles; zero for a token.
	Intent ident.Offset `cbor:"5,keyasint,omitempty"`
	// Found is false in the answer to a question for which none is recorded.
	Found bool `cbor:"6,keyasint,omitempty"`
}

// EncodeJob returns the Job message of an operation.
func EncodeJob(operation string, body any) (Job, error) {
	encoded, err := encodeJobBody(body)
	return Job{Operation: operation, Body: encoded}, err
}

// EncodeJobDone returns the reply with a body, which may be nil.
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
		return nil, fault.Wrap(fault.Internal, err, "encoding a job message").WithOutcome(fault.NotRun)
	}
	if len(encoded) > MaxPeerFrameBytes {
		return nil, fault.New(fault.TooLarge, "job message of %d bytes", len(encoded))
	}
	return encoded, nil
}

// DecodeJobBody reads the body of a Job or JobDone. The failure is Malformed.
func DecodeJobBody[T any](encoded []byte) (T, error) {
	var body T
	if err := peerDecoder.Unmarshal(encoded, &body); err != nil {
		return body, fault.Wrap(fault.Malformed, err, "job message")
	}
	return body, nil
}
