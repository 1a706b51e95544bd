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

// Adviser emulates the service that knows which workers the policy of a queue
// allows. Workers that it allows take only starts with its ticket.
type Adviser struct {
	server  *httptest.Server
	allowed []string
	// Valid is how long a ticket holds.
	valid time.Duration

	mu    sync.Mutex
	calls int
}

// NewAdviser starts a service that allows the workers of those names.
func NewAdviser(valid time.Duration, allowed ...string) *Adviser {
	a := &Adviser{allowed: allowed, valid: valid}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/advise", a.advise)
	a.server = httptest.NewServer(mux)
	return a
}

// Address returns IP:port.
func (a *Adviser) Address() string { return a.server.Listener.Addr().String() }

// Close stops the service.
func (a *Adviser) Close() { a.server.Close() }

// Calls returns how often the service was asked.
func (a *Adviser) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

func (a *Adviser) advise(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || call.Step == "" || len(call.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	rows := [][]string{}
	for _, worker := range call.Workers {
		if slices.Contains(a.allowed, worker) {
			rows = append(rows, []string{worker, a.ticket(call.Step, worker)})
		}
	}
	answer(w, http.StatusOK, map[string]any{"allowed": rows, "valid_ms": a.valid.Milliseconds()})
}

func (a *Adviser) ticket(step, worker string) string { return step + "/" + worker }

// takes says whether a start of a task on a worker carries the ticket.
func (a *Adviser) takes(task, worker, ticket string) bool {
	step := task[:max(0, strings.LastIndexByte(task, '.'))]
	return slices.Contains(a.allowed, worker) && ticket == a.ticket(step, worker)
}
