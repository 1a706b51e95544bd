package fleet

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"
)

// Adviser emulates the advice service, which decides which workers a queue's
// policy allows and issues a ticket for each of them. A worker that checks
// tickets accepts a start only if the Adviser allows the worker and issued the
// start's ticket.
type Adviser struct {
	server  *httptest.Server
	allowed []string
	// validFor is the period for which an answer and its tickets are valid.
	validFor time.Duration

	mu           sync.Mutex
	requestCount int
}

// NewAdviser starts an advice service on loopback. It allows the named workers,
// and its answers are valid for the given period.
func NewAdviser(validFor time.Duration, allowed ...string) *Adviser {
	a := &Adviser{allowed: allowed, validFor: validFor}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/advise", a.serveAdvice)
	a.server = httptest.NewServer(mux)
	return a
}

// Address returns the IP:port that the service listens on.
func (a *Adviser) Address() string { return a.server.Listener.Addr().String() }

// Close stops the service.
func (a *Adviser) Close() { a.server.Close() }

// RequestCount returns the number of valid requests for advice so far.
func (a *Adviser) RequestCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requestCount
}

// serveAdvice answers a request for advice. It rejects a request that names no
// step or more than 100 workers.
func (a *Adviser) serveAdvice(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.Step == "" || len(request.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestCount++
	allowedRows := [][]string{}
	for _, worker := range request.Workers {
		if slices.Contains(a.allowed, worker) {
			allowedRows = append(allowedRows, []string{worker, a.ticketFor(request.Step, worker)})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"allowed": allowedRows, "valid_ms": a.validFor.Milliseconds()})
}

// ticketFor returns the ticket for the tasks of a step on a worker.
func (a *Adviser) ticketFor(step, worker string) string { return step + "/" + worker }

// acceptsTicket reports whether a start of the task on the worker is allowed with
// that ticket. The step is the task's identifier up to its last dot.
func (a *Adviser) acceptsTicket(task, worker, ticket string) bool {
	step := task[:max(0, strings.LastIndexByte(task, '.'))]
	return slices.Contains(a.allowed, worker) && ticket == a.ticketFor(step, worker)
}
