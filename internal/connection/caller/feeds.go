package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

const (
	// maxEventBytes bounds one event of a feed with its line end.
	maxEventBytes = 64 << 10
	// maxStreams bounds the open feeds of all callers together.
	maxStreams = 1024
	// maxCallerStreams bounds the open feeds of one caller.
	maxCallerStreams = 16
)

// streams counts the open feeds. Its zero value is ready.
type streams struct {
	mu     sync.Mutex
	total  int
	counts map[ident.CallerName]int
}

// enter admits one more feed of a caller, or refuses it.
func (s *streams) enter(caller ident.CallerName) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.total >= maxStreams {
		return fault.New(fault.Overloaded, "%d feeds are open", maxStreams)
	}
	if s.counts[caller] >= maxCallerStreams {
		return fault.New(fault.RateLimited, "caller %s has %d open feeds", caller, maxCallerStreams)
	}
	if s.counts == nil {
		s.counts = map[ident.CallerName]int{}
	}
	s.total++
	s.counts[caller]++
	return nil
}

func (s *streams) leave(caller ident.CallerName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total--
	s.counts[caller]--
	if s.counts[caller] == 0 {
		delete(s.counts, caller)
	}
}

// feed sends a standing feed until the caller or the backend server ends it.
func (h *Handler) feed(w http.ResponseWriter, r *http.Request) {
	caller, err := callerOf(r)
	if err != nil {
		writeAnswer(w, work.Refuse("", err))
		return
	}
	from, err := parsePosition(r.URL.Query().Get("from"))
	if err != nil {
		writeAnswer(w, work.Refuse("", err))
		return
	}
	if err := h.streams.enter(caller); err != nil {
		writeAnswer(w, work.Refuse("", err))
		return
	}
	defer h.streams.leave(caller)
	h.stream(w, r, from)
}

func parsePosition(value string) (uint64, error) {
	if value == "" {
		return 0, nil
	}
	from, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return 0, fault.New(fault.BadRequest, "from: %q is not a position", value)
	}
	return from, nil
}

func (h *Handler) stream(w http.ResponseWriter, r *http.Request, from uint64) {
	events, err := h.engine.Feed(r.Context(), r.PathValue("feed"), from)
	if err != nil {
		writeAnswer(w, work.Refuse("", err))
		return
	}
	defer events.Close()
	// The source may not watch the context while it waits for an event.
	stop := context.AfterFunc(r.Context(), func() { _ = events.Close() })
	defer stop()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	// The header tells the caller that the feed is open before an event comes.
	_ = http.NewResponseController(w).Flush()
	err = copyEvents(w, events, from)
	endBroken(w, err)
}

// copyEvents sends whole events whose positions rise. It returns why it ended.
func copyEvents(w http.ResponseWriter, events io.Reader, last uint64) error {
	lines := bufio.NewReaderSize(events, maxEventBytes)
	for {
		line, err := lines.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return fault.New(fault.TooLarge, "an event exceeds %d bytes", maxEventBytes)
		}
		if err != nil {
			return fault.Wrap(fault.WorkerLost, err, "the feed ended after position %d", last)
		}
		position, err := positionOf(line)
		if err != nil {
			return err
		}
		if position <= last {
			return fault.New(fault.Malformed, "position %d after %d", position, last)
		}
		if err := writeEvent(w, line); err != nil {
			return err
		}
		last = position
	}
}

// positionOf returns the position that an event states.
func positionOf(line []byte) (uint64, error) {
	var event struct {
		Position uint64 `json:"position"`
	}
	if err := json.Unmarshal(line, &event); err != nil {
		return 0, fault.Wrap(fault.Malformed, err, "event")
	}
	return event.Position, nil
}

func writeEvent(w http.ResponseWriter, line []byte) error {
	limitWrite(w)
	if _, err := w.Write(line); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// endBroken ends a feed so that it can't look complete: a last line names the
// failure, and the connection is cut before the end of the body.
func endBroken(w http.ResponseWriter, err error) {
	line, encodeErr := json.Marshal(failureBody{Failure: fault.From(err), Outcome: fault.Unknown.String()})
	if encodeErr == nil {
		_ = writeEvent(w, append(line, '\n'))
	}
	panic(http.ErrAbortHandler)
}
