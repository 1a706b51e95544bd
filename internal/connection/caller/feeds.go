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
	// maxEventBytes bounds one event of a feed, including its line end.
	maxEventBytes = 64 << 10
	// maxOpenFeeds bounds the open feeds of all callers together.
	maxOpenFeeds = 1024
	// maxOpenFeedsPerCaller bounds the open feeds of one caller.
	maxOpenFeedsPerCaller = 16
)

// openFeeds counts the open feeds. Its zero value is ready for use.
type openFeeds struct {
	mu     sync.Mutex
	total  int
	counts map[ident.CallerName]int
}

// acquire counts one more feed of a caller. It fails if the caller or all
// callers together have reached their limit.
func (o *openFeeds) acquire(caller ident.CallerName) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.total >= maxOpenFeeds {
		return fault.New(fault.Overloaded, "the limit of %d open feeds is reached", maxOpenFeeds)
	}
	if o.counts[caller] >= maxOpenFeedsPerCaller {
		return fault.New(fault.RateLimited, "caller %s has reached the limit of %d open feeds", caller, maxOpenFeedsPerCaller)
	}
	if o.counts == nil {
		o.counts = map[ident.CallerName]int{}
	}
	o.total++
	o.counts[caller]++
	return nil
}

func (o *openFeeds) release(caller ident.CallerName) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.total--
	o.counts[caller]--
	if o.counts[caller] == 0 {
		delete(o.counts, caller)
	}
}

// handleFeed sends a standing feed until the caller or the backend server ends
// it.
func (h *Handler) handleFeed(w http.ResponseWriter, r *http.Request) {
	caller, err := callerName(r)
	if err != nil {
		writeAnswer(w, work.Refuse("", err))
		return
	}
	from, err := parsePosition(r.URL.Query().Get("from"))
	if err != nil {
		writeAnswer(w, work.Refuse("", err))
		return
	}
	if err := h.openFeeds.acquire(caller); err != nil {
		writeAnswer(w, work.Refuse("", err))
		return
	}
	defer h.openFeeds.release(caller)
	h.sendFeed(w, r, from)
}

func parsePosition(value string) (uint64, error) {
	if value == "" {
		return 0, nil
	}
	from, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return 0, fault.New(fault.BadRequest, "parameter from: %q is not a feed position; it must be an unsigned integer", value)
	}
	return from, nil
}

func (h *Handler) sendFeed(w http.ResponseWriter, r *http.Request, from uint64) {
	events, err := h.engine.Feed(r.Context(), r.PathValue("feed"), from)
	if err != nil {
		writeAnswer(w, work.Refuse("", err))
		return
	}
	defer events.Close()
	// The source may not watch the context while it waits for an event, so it
	// is closed when the context ends.
	stop := context.AfterFunc(r.Context(), func() { _ = events.Close() })
	defer stop()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	// Sending the header now tells the caller that the feed is open, before the
	// first event arrives.
	_ = http.NewResponseController(w).Flush()
	err = copyEvents(w, events, from)
	abortFeed(w, err)
}

// copyEvents sends whole events and checks that their positions rise. It
// returns the reason for which the feed ended.
func copyEvents(w http.ResponseWriter, events io.Reader, last uint64) error {
	lines := bufio.NewReaderSize(events, maxEventBytes)
	for {
		line, err := lines.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return fault.New(fault.TooLarge, "a feed event exceeds %d bytes", maxEventBytes)
		}
		if err != nil {
			return fault.Wrap(fault.WorkerLost, err, "the feed of the backend server ended after position %d", last)
		}
		position, err := eventPosition(line)
		if err != nil {
			return err
		}
		if position <= last {
			return fault.New(fault.Malformed, "the positions of a feed must rise: position %d follows %d", position, last)
		}
		if err := writeEvent(w, line); err != nil {
			return err
		}
		last = position
	}
}

// eventPosition returns the position that an event states.
func eventPosition(line []byte) (uint64, error) {
	var event struct {
		Position uint64 `json:"position"`
	}
	if err := json.Unmarshal(line, &event); err != nil {
		return 0, fault.Wrap(fault.Malformed, err, "event")
	}
	return event.Position, nil
}

func writeEvent(w http.ResponseWriter, line []byte) error {
	setWriteDeadline(w)
	if _, err := w.Write(line); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// abortFeed ends a feed in a way that can't be mistaken for its complete end: a
// last line states the failure, and the connection is closed before the end of
// the body.
func abortFeed(w http.ResponseWriter, err error) {
	line, encodeErr := json.Marshal(failureBody{Failure: fault.From(err), Outcome: fault.Unknown.String()})
	if encodeErr == nil {
		_ = writeEvent(w, append(line, '\n'))
	}
	panic(http.ErrAbortHandler)
}
