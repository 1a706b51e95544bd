package workerstub

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
)

// commandBody holds the fields of the bodies of all commands except a start.
type commandBody struct {
	Lease   ident.LeaseID  `json:"lease"`
	Tasks   []ident.TaskID `json:"tasks"`
	Period  time.Duration  `json:"period_ns"`
	Percent int            `json:"percent"`
}

// routes maps the worker's HTTP protocol to the methods of the API. The paths
// /history, /exceeded and /control/ are not part of that protocol: test drivers
// use them to read what the worker ran and to inject faults.
func (w *Worker) routes() *http.ServeMux {
	mux := http.NewServeMux()
	addRoute(mux, "POST /v1/leases", func(ctx context.Context, _ string, c commandBody) (any, error) {
		return empty{}, w.RequestLease(ctx, c.Lease, c.Period)
	})
	addRoute(mux, "POST /v1/leases/{id}/renew", func(ctx context.Context, id string, c commandBody) (any, error) {
		return empty{}, w.RenewLease(ctx, ident.LeaseID(id), c.Period)
	})
	addRoute(mux, "POST /v1/tasks", func(ctx context.Context, _ string, c worker.StartCommand) (any, error) { return w.Start(ctx, c) })
	addRoute(mux, "GET /v1/tasks", func(ctx context.Context, _ string, _ empty) (any, error) { return w.Inventory(ctx) })
	addRoute(mux, "GET /v1/tasks/{id}", func(ctx context.Context, id string, _ empty) (any, error) { return w.Task(ctx, ident.TaskID(id)) })
	addRoute(mux, "POST /v1/tasks/renew", func(ctx context.Context, _ string, c commandBody) (any, error) {
		missing, err := w.RenewTasks(ctx, c.Tasks, c.Period)
		return map[string][]ident.TaskID{"missing": missing}, err
	})
	addRoute(mux, "POST /v1/tasks/{id}/throttle", func(ctx context.Context, id string, c commandBody) (any, error) {
		return empty{}, w.Throttle(ctx, ident.TaskID(id), c.Percent)
	})
	addRoute(mux, "POST /v1/tasks/{id}/checkpoint", func(ctx context.Context, id string, _ empty) (any, error) {
		checkpoint, err := w.Checkpoint(ctx, ident.TaskID(id))
		return map[string][]byte{"checkpoint": checkpoint}, err
	})
	addRoute(mux, "POST /v1/tasks/{id}/stop", func(ctx context.Context, id string, _ empty) (any, error) { return w.Stop(ctx, ident.TaskID(id)) })
	addRoute(mux, "GET /v1/usage", func(ctx context.Context, _ string, _ empty) (any, error) { return w.Usage(ctx) })
	mux.HandleFunc("GET /v1/feeds/{id}", w.serveFeed)
	addRoute(mux, "GET /history", func(context.Context, string, empty) (any, error) { return w.History(), nil })
	addRoute(mux, "GET /exceeded", func(context.Context, string, empty) (any, error) { return w.CapacityExceeded(), nil })
	addRoute(mux, "POST /control/lose", func(_ context.Context, _ string, loss ReplyLoss) (any, error) { w.AddLoss(loss); return empty{}, nil })
	addRoute(mux, "POST /control/restart", func(context.Context, string, empty) (any, error) { w.Restart(); return empty{}, nil })
	addRoute(mux, "POST /control/settings", func(_ context.Context, _ string, changes json.RawMessage) (reply any, err error) {
		w.ChangeSettings(func(s *Settings) { err = json.Unmarshal(changes, s) })
		return empty{}, err
	})
	return mux
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mux.ServeHTTP(rw, r)
}

// addRoute registers a handler that decodes the JSON body of a request into a T,
// passes it to handle with the identifier in the path, and encodes the reply. An
// empty body leaves the T zero.
func addRoute[T any](mux *http.ServeMux, pattern string, handle func(context.Context, string, T) (any, error)) {
	mux.HandleFunc(pattern, func(rw http.ResponseWriter, r *http.Request) {
		var command T
		if err := json.NewDecoder(r.Body).Decode(&command); err != nil && err != io.EOF {
			writeFailure(rw, fault.Wrap(fault.BadRequest, err, "%s", r.URL.Path))
			return
		}
		reply, err := handle(r.Context(), r.PathValue("id"), command)
		if err != nil {
			writeFailure(rw, err)
			return
		}
		_ = json.NewEncoder(rw).Encode(reply)
	})
}

// writeFailure sends err with status 409. If err stands for a lost reply or an
// unreachable worker, it breaks the connection instead.
func writeFailure(rw http.ResponseWriter, err error) {
	failure := fault.From(err)
	if failure.Kind == fault.WorkerLost || failure.Kind == fault.WorkerUnreachable {
		panic(http.ErrAbortHandler)
	}
	rw.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(rw).Encode(failure)
}

// serveFeed sends the events of a feed, and flushes after each, until the feed or
// the request ends.
func (w *Worker) serveFeed(rw http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	events, err := w.Feed(r.Context(), r.PathValue("id"), from)
	if err != nil {
		writeFailure(rw, err)
		return
	}
	defer events.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := events.Read(buffer)
		_, _ = rw.Write(buffer[:n])
		_ = http.NewResponseController(rw).Flush()
		if err != nil {
			return
		}
	}
}
