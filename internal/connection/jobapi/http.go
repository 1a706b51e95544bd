package jobapi

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"poplarvalve/internal/connection/caller"
	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/jobspec"
)

// PathQueues is the prefix of all calls.
const PathQueues = "/v1/queues/"

// maxBodyBytes bounds the body of a submission.
const maxBodyBytes = 1 << 20

// Step is one step of a submitted job. Sizes are for one task.
type Step struct {
	Tasks         int     `json:"tasks"`
	CPUMillis     int     `json:"cpu_millis,omitempty"`
	MemoryMB      int     `json:"memory_mb,omitempty"`
	Accelerators  int     `json:"accelerators,omitempty"`
	EstimateMS    int64   `json:"estimate_ms,omitempty"`
	After         []int   `json:"after,omitempty"`
	Checkpointing bool    `json:"checkpointing,omitempty"`
	Gang          bool    `json:"gang,omitempty"`
	SameRack      bool    `json:"same_rack,omitempty"`
	Label         string  `json:"label,omitempty"`
	DataRack      string  `json:"data_rack,omitempty"`
	MaxPerWorker  int     `json:"max_per_worker,omitempty"`
	Speculative   bool    `json:"speculative,omitempty"`
	LongRunning   bool    `json:"long_running,omitempty"`
	Image         string  `json:"image,omitempty"`
	TargetMS      float64 `json:"response_target_ms,omitempty"`
	FillsIdle     bool    `json:"fills_idle,omitempty"`
	MayMiss       int     `json:"may_miss,omitempty"`
}

// Job is the body of a submission.
type Job struct {
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// FirstRun is in Unix milliseconds.
	FirstRun    int64 `json:"first_run_unix_ms,omitempty"`
	IntervalMS  int64 `json:"interval_ms,omitempty"`
	Occurrences int   `json:"occurrences,omitempty"`
}

// Decode returns the job that a body describes, or a failure of kind
// BadRequest.
func Decode(raw []byte) (*jobspec.Job, error) {
	var body Job
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "the body")
	}
	job := &jobspec.Job{Spec: body.Spec, FirstRunMillis: body.FirstRun, IntervalMillis: body.IntervalMS, Occurrences: body.Occurrences}
	for _, s := range body.Steps {
		job.Steps = append(job.Steps, jobspec.Step{
			Count: s.Tasks, CPU: s.CPUMillis, MemoryMB: s.MemoryMB, GPU: s.Accelerators, EstimateMillis: s.EstimateMS,
			After: s.After, Checkpointing: s.Checkpointing, Gang: s.Gang, SameRack: s.SameRack, Label: s.Label,
			DataRack: s.DataRack, Spread: s.MaxPerWorker, Speculative: s.Speculative, LongRunning: s.LongRunning,
			Image: s.Image, TargetMillis: s.TargetMS, Fills: s.FillsIdle, MayMiss: s.MayMiss,
		})
	}
	return job, nil
}

// NewHandler returns the handler of the calls on queues:
//
//	PUT, GET and DELETE /v1/queues/{queue}/jobs/{id}
//	GET /v1/queues/{queue}/pending
func NewHandler(server Server) http.Handler {
	mux := http.NewServeMux()
	h := &handler{server}
	mux.HandleFunc("PUT /v1/queues/{queue}/jobs/{id}", h.submit)
	mux.HandleFunc("GET /v1/queues/{queue}/jobs/{id}", h.operation(cellcodec.OpStatus))
	mux.HandleFunc("DELETE /v1/queues/{queue}/jobs/{id}", h.operation(cellcodec.OpCancel))
	mux.HandleFunc("GET /v1/queues/{queue}/pending", h.operation(cellcodec.OpPending))
	return mux
}

type handler struct{ server Server }

func (h *handler) submit(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		write(w, Answer{Verdict: Bad, Cause: fault.TooLarge})
		return
	}
	request := subject(r, cellcodec.OpSubmit)
	request.Job = func() (*jobspec.Job, error) { return Decode(raw) }
	write(w, h.server.Serve(r.Context(), request))
}

func (h *handler) operation(operation cellcodec.Operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		write(w, h.server.Serve(r.Context(), subject(r, operation)))
	}
}

// subject returns the request that the path and the headers name.
func subject(r *http.Request, operation cellcodec.Operation) Request {
	request := Request{Operation: operation, Queue: r.PathValue("queue"), ID: jobspec.ID(r.PathValue("id"))}
	if millis, err := strconv.ParseInt(r.Header.Get(caller.HeaderDeadline), 10, 64); err == nil && millis > 0 {
		request.Deadline = time.Now().Add(time.Duration(millis) * time.Millisecond)
	}
	return request
}

// answerBody is what a caller reads.
type answerBody struct {
	State   string     `json:"state,omitempty"`
	Pending *int       `json:"pending,omitempty"`
	Kind    fault.Kind `json:"kind,omitempty"`
}

// write encodes an answer. A refusal carries the outcome of the request.
func write(w http.ResponseWriter, answer Answer) {
	status, body := http.StatusOK, answerBody{Kind: answer.Cause}
	switch answer.Verdict {
	case OK:
		if answer.Job == "" {
			body.Pending = &answer.Pending
		} else if answer.State != 0 {
			body.State = answer.State.String()
		}
	case NoQueue:
		status = http.StatusNotFound
	case Absent:
		status = http.StatusGone
	case Bad:
		status = http.StatusBadRequest
	case NotRun:
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", strconv.FormatInt(int64(max(1, answer.RetryAfter/time.Second)), 10))
	default:
		status = http.StatusGatewayTimeout
	}
	outcome := fault.NotRun
	switch answer.Verdict {
	case OK:
		outcome = fault.Ran
	case Unknown:
		outcome = fault.Unknown
	}
	w.Header().Set(caller.HeaderOutcome, outcome.String())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has left can't be told.
	_ = json.NewEncoder(w).Encode(body)
}
