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

// command is the union of the bodies of all commands but a start.
type command struct {
	Lease   ident.LeaseID  `json:"lease"`
	Tasks   []ident.TaskID `json:"tasks"`
	Period  time.Duration  `json:"period_ns"`
	Percent int            `json:"percent"`
}

func (w *Worker) routes() *http.ServeMux {
	mux := http.NewServeMux()
	add(mux, "POST /v1/leases", func(ctx context.Context, _ string, c command) (any, error) {
		return none{}, w.GrantLease(ctx, c.Lease, c.Period)
	})
	add(mux, "POST /v1/leases/{id}/renew", func(ctx context.Context, id string, c command) (any, error) {
		return none{}, w.RenewLease(ctx, ident.LeaseID(id), c.Period)
	})
	add(mux, "POST /v1/tasks", func(ctx context.Context, _ string, c worker.StartCommand) (any, error) { return w.Start(ctx, c) })
	add(mux, "GET /v1/tasks", func(ctx context.Context, _ string, _ none) (any, error) { return w.Inventory(ctx) })
	add(mux, "GET /v1/tasks/{id}", func(ctx context.Context, id string, _ none) (any, error) { return w.Task(ctx, ident.TaskID(id)) })
	add(mux, "POST /v1/tasks/renew", func(ctx context.Context, _ string, c command) (any, error) {
		missing, err := w.RenewTasks(ctx, c.Tasks, c.Period)
		return map[string][]ident.TaskID{"missing": missing}, err
	})
	add(mux, "POST /v1/tasks/{id}/throttle", func(ctx context.Context, id string, c command) (any, error) {
		return none{}, w.Throttle(ctx, ident.TaskID(id), c.Percent)
	})
	add(mux, "POST /v1/tasks/{id}/checkpoint", func(ctx context.Context, id string, _ none) (any, error) {
		saved, err := w.Checkpoint(ctx, ident.TaskID(id))
		return map[string][]byte{"checkpoint": saved}, err
	})
	add(mux, "POST /v1/tasks/{id}/stop", func(ctx context.Context, id string, _ none) (any, error) { return w.Stop(ctx, ident.TaskID(id)) })
	add(mux, "GET /v1/usage", func(ctx context.Context, _ string, _ none) (any, error) { return w.Usage(ctx) })
	mux.HandleFunc("GET /v1/feeds/{id}", w.serveFeed)
	add(mux, "GET /history", func(context.Context, string, none) (any, error) { return w.History(), nil })
	add(mux, "GET /exceeded", func(context.Context, string, none) (any, error) { return w.Exceeded(), nil })
	add(mux, "POST /control/lose", func(_ context.Context, _ string, loss Loss) (any, error) { w.Lose(loss); return none{}, nil })
	add(mux, "POST /control/restart", func(context.Context, string, none) (any, error) { w.Restart(); return none{}, nil })
	add(mux, "POST /control/settings", func(_ context.Context, _ string, edit json.RawMessage) (reply any, err error) {
		w.Change(func(s *Settings) { err = json.Unmarshal(edit, s) })
		return none{}, err
	})
	return mux
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mux.ServeHTTP(rw, r)
}

// add decodes a command for effect and encodes its reply.
func add[T any](mux *http.ServeMux, pattern string, effect func(context.Context, string, T) (any, error)) {
	mux.HandleFunc(pattern, func(rw http.ResponseWriter, r *http.Request) {
		var command T
		if err := json.NewDecoder(r.Body).Decode(&command); err != nil && err != io.EOF {
			refuse(rw, fault.Wrap(fault.BadRequest, err, "%s", r.URL.Path))
			return
		}
		reply, err := effect(r.Context(), r.PathValue("id"), command)
		if err != nil {
			refuse(rw, err)
			return
		}
		_ = json.NewEncoder(rw).Encode(reply)
	})
}

// refuse sends a failure. A lost reply breaks the connection.
func refuse(rw http.ResponseWriter, err error) {
	failure := fault.From(err)
	if failure.Kind == fault.WorkerLost || failure.Kind == fault.WorkerUnreachable {
		panic(http.ErrAbortHandler)
	}
	rw.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(rw).Encode(failure)
}

func (w *Worker) serveFeed(rw http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	events, err := w.Feed(r.Context(), r.PathValue("id"), from)
	if err != nil {
		refuse(rw, err)
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
