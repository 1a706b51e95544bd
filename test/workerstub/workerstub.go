// Package workerstub stands in for a worker of the platform in tests.
package workerstub

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

// Worker keeps leases and runs calls by echoing their body.
type Worker struct {
	mu     sync.Mutex
	leases map[ident.LeaseID]time.Time
	starts map[ident.TaskID]int
	mux    *http.ServeMux
}

// New returns a worker with no leases and no tasks.
func New() *Worker {
	w := &Worker{
		leases: map[ident.LeaseID]time.Time{},
		starts: map[ident.TaskID]int{},
		mux:    http.NewServeMux(),
	}
	w.mux.HandleFunc("POST /v1/leases", w.grant)
	w.mux.HandleFunc("POST /v1/leases/{lease}/renew", w.renew)
	w.mux.HandleFunc("POST /v1/tasks", w.start)
	return w
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mux.ServeHTTP(rw, r)
}

// Starts returns how often a task was started.
func (w *Worker) Starts(task ident.TaskID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[task]
}

type leaseRequest struct {
	Lease  ident.LeaseID `json:"lease"`
	Period time.Duration `json:"period_ns"`
}

func (w *Worker) grant(rw http.ResponseWriter, r *http.Request) {
	var request leaseRequest
	if !decode(rw, r, &request) {
		return
	}
	w.mu.Lock()
	w.leases[request.Lease] = time.Now().Add(request.Period)
	w.mu.Unlock()
	reply(rw, struct{}{})
}

func (w *Worker) renew(rw http.ResponseWriter, r *http.Request) {
	var request leaseRequest
	if !decode(rw, r, &request) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	lease := ident.LeaseID(r.PathValue("lease"))
	if !w.valid(lease) {
		refuse(rw, fault.LeaseLapsed)
		return
	}
	w.leases[lease] = time.Now().Add(request.Period)
	reply(rw, struct{}{})
}

func (w *Worker) valid(lease ident.LeaseID) bool {
	return time.Now().Before(w.leases[lease])
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	var command worker.StartCommand
	if !decode(rw, r, &command) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.valid(command.StartLease) {
		refuse(rw, fault.LeaseLapsed)
		return
	}
	w.starts[command.Task]++
	reply(rw, worker.TaskReport{
		Task:    command.Task,
		State:   work.TaskSucceeded,
		Service: command.Service,
		Result:  command.Body,
	})
}

func decode(rw http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		refuse(rw, fault.BadRequest)
		return false
	}
	return true
}

func refuse(rw http.ResponseWriter, kind fault.Kind) {
	rw.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(rw).Encode(map[string]fault.Kind{"kind": kind})
}

func reply(rw http.ResponseWriter, value any) {
	_ = json.NewEncoder(rw).Encode(value)
}
