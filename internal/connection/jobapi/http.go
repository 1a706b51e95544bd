package jobapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"poplarvalve/internal/connection/caller"
	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/clientlimit"
	"poplarvalve/internal/connection/jobjson"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/jobspec"
)

// PathQueues is the prefix of the paths that the handler serves.
const PathQueues = "/v1/queues/"

// Step is one step of a submitted job. CPUMillis, MemoryMB and Accelerators are
// the resources of one task.
type Step struct {
	Tasks                int     `json:"tasks"`
	CPUMillis            int     `json:"cpu_millis,omitempty"`
	MemoryMB             int     `json:"memory_mb,omitempty"`
	Accelerators         int     `json:"accelerators,omitempty"`
	EstimateMillis       int64   `json:"estimate_ms,omitempty"`
	DependsOn            []int   `json:"after,omitempty"`
	Checkpointing        bool    `json:"checkpointing,omitempty"`
	Gang                 bool    `json:"gang,omitempty"`
	SameRack             bool    `json:"same_rack,omitempty"`
	Label                string  `json:"label,omitempty"`
	DataRack             string  `json:"data_rack,omitempty"`
	MaxPerWorker         int     `json:"max_per_worker,omitempty"`
	Speculative          bool    `json:"speculative,omitempty"`
	LongRunning          bool    `json:"long_running,omitempty"`
	Image                string  `json:"image,omitempty"`
	ResponseTargetMillis float64 `json:"response_target_ms,omitempty"`
	BestEffort           bool    `json:"fills_idle,omitempty"`
	MaxUnavailable       int     `json:"may_miss,omitempty"`
}

// Job is the JSON body of a submission.
type Job struct {
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// FirstRunUnixMillis is the time of the first occurrence in Unix milliseconds.
	FirstRunUnixMillis int64 `json:"first_run_unix_ms,omitempty"`
	IntervalMillis     int64 `json:"interval_ms,omitempty"`
	Occurrences        int   `json:"occurrences,omitempty"`
}

// Decode returns the job that a JSON body describes. Its errors are of kind
// BadRequest. The values in the body are not checked. Decode may change raw.
func Decode(raw []byte) (*jobspec.Job, error) {
	var body Job
	if err := json.Unmarshal(jobjson.Trim(raw), &body); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decoding the job in the request body")
	}
	job := &jobspec.Job{Spec: body.Spec, FirstRunMillis: body.FirstRunUnixMillis, IntervalMillis: body.IntervalMillis, Occurrences: body.Occurrences}
	if len(body.Steps) > 0 {
		job.Steps = make([]jobspec.Step, 0, len(body.Steps))
	}
	for _, s := range body.Steps {
		job.Steps = append(job.Steps, jobspec.Step{
			Count: s.Tasks, CPUMillis: s.CPUMillis, MemoryMB: s.MemoryMB, GPU: s.Accelerators, EstimateMillis: s.EstimateMillis,
			DependsOn: s.DependsOn, Checkpointing: s.Checkpointing, Gang: s.Gang, SameRack: s.SameRack, Label: s.Label,
			DataRack: s.DataRack, MaxPerWorker: s.MaxPerWorker, Speculative: s.Speculative, LongRunning: s.LongRunning,
			Image: s.Image, LatencyTargetMillis: s.ResponseTargetMillis, BestEffort: s.BestEffort, MaxUnavailable: s.MaxUnavailable,
		})
	}
	return job, nil
}

// NewHandler returns an HTTP handler for requests about the jobs of a queue. bodies reads the
// bodies of submissions.
//
//	PUT, GET and DELETE /v1/queues/{queue}/jobs/{id}
//	GET /v1/queues/{queue}/pending
func NewHandler(server Server, bodies *clientlimit.Bodies) http.Handler {
	mux := http.NewServeMux()
	h := &handler{server, bodies}
	mux.HandleFunc("PUT /v1/queues/{queue}/jobs/{id}", h.handleSubmit)
	mux.HandleFunc("GET /v1/queues/{queue}/jobs/{id}", h.operation(cellcodec.OpStatus))
	mux.HandleFunc("DELETE /v1/queues/{queue}/jobs/{id}", h.operation(cellcodec.OpCancel))
	mux.HandleFunc("GET /v1/queues/{queue}/pending", h.operation(cellcodec.OpPending))
	return mux
}

type handler struct {
	server Server
	bodies *clientlimit.Bodies
}

func (h *handler) handleSubmit(w http.ResponseWriter, r *http.Request) {
	body, refusal := h.bodies.Read(r)
	if refusal != clientlimit.None {
		writeRefusal(w, refusal)
		return
	}
	defer body.Release()
	request := newRequest(r, cellcodec.OpSubmit)
	request.Source = clientlimit.SourceOf(r)
	request.Job = func() (*jobspec.Job, error) {
		job, err := Decode(body.Raw)
		if err == nil {
			body.Decoded(job.Size())
		}
		return job, err
	}
	writeAnswer(w, h.server.Serve(r.Context(), request))
}

// operation returns a handler for an operation without a body.
func (h *handler) operation(operation cellcodec.Operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		writeAnswer(w, h.server.Serve(r.Context(), newRequest(r, operation)))
	}
}

// newRequest returns a request with the queue and the job that the path names and
// the deadline that the header sets.
func newRequest(r *http.Request, operation cellcodec.Operation) Request {
	request := Request{Operation: operation, Queue: r.PathValue("queue"), ID: jobspec.ID(r.PathValue("id"))}
	if millis, err := strconv.ParseInt(r.Header.Get(caller.HeaderDeadline), 10, 64); err == nil && millis > 0 {
		request.Deadline = time.Now().Add(time.Duration(millis) * time.Millisecond)
	}
	return request
}

// answerBody is the JSON body of an answer.
type answerBody struct {
	State   string     `json:"state,omitempty"`
	Pending *int       `json:"pending,omitempty"`
	Kind    fault.Kind `json:"kind,omitempty"`
	Detail  string     `json:"detail,omitempty"`
}

// writeRefusal answers a request that exceeds a limit of the process. It has not been passed on,
// so that it has no effect.
func writeRefusal(w http.ResponseWriter, refusal clientlimit.Reason) {
	kind := fault.Overloaded
	switch refusal {
	case clientlimit.TooLarge:
		kind = fault.TooLarge
	case clientlimit.TooSlow, clientlimit.BadBody:
		kind = fault.BadRequest
	}
	w.Header().Set(caller.HeaderOutcome, fault.NotRun.String())
	w.Header().Set("Content-Type", "application/json")
	refusal.WriteHeader(w)
	// A write fails if the caller has disconnected; nobody is left to notify.
	_ = json.NewEncoder(w).Encode(answerBody{Kind: kind})
}

// writeAnswer encodes an answer. Every answer, a refusal too, has a header that
// tells the caller whether the request took effect.
func writeAnswer(w http.ResponseWriter, answer Answer) {
	status, body := http.StatusOK, answerBody{Kind: answer.FailureKind, Detail: answer.Detail}
	switch answer.Verdict {
	case OK:
		if answer.Job == "" {
			body.Pending = &answer.Pending
		} else if answer.State != 0 {
			body.State = answer.State.String()
		}
	case NoQueue:
		status = http.StatusNotFound
	case NotFound:
		status = http.StatusGone
	case BadRequest:
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
	// A write fails if the caller has disconnected; nobody is left to notify.
	_ = json.NewEncoder(w).Encode(body)
}
