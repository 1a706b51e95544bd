package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/caller"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

// engineFake echoes calls. Its feed sends events up to end, then either breaks
// in the middle of an event or stays open.
type engineFake struct {
	end  uint64
	hold bool
}

func (engineFake) Serve(_ context.Context, request work.Request) work.Answer {
	return work.Answer{Request: request.ID, Outcome: fault.Ran, Body: request.Body}
}

func (engineFake) Issue(count int) []string { return make([]string, count) }

func (engineFake) Recorded(_ context.Context, _ ident.CallerName, key string) (work.Answer, error) {
	if key != "known" {
		return work.Answer{}, fault.New(fault.NotFound, "none").WithOutcome(fault.Unknown)
	}
	return work.Answer{Outcome: fault.Ran, Body: []byte("recorded")}, nil
}

func (e engineFake) Feed(_ context.Context, _ string, from uint64) (io.ReadCloser, error) {
	reader, writer := io.Pipe()
	go func() {
		for at := from + 1; at <= e.end; at++ {
			if _, err := fmt.Fprintf(writer, "{\"position\":%d}\n", at); err != nil {
				return
			}
		}
		if !e.hold {
			fmt.Fprintf(writer, "{\"position\":%d", e.end+1)
			writer.Close()
		}
	}()
	return reader, nil
}

// serveOn starts kratos' server on loopback and returns its URL.
func serveOn(t *testing.T, engine caller.Engine) string {
	t.Helper()
	return serveWith(t, engine, nil)
}

func serveWith(t *testing.T, engine caller.Engine, jobs caller.Jobs) string {
	t.Helper()
	server := caller.NewServer("127.0.0.1:0", caller.NewHandler(engine, jobs))
	endpoint, err := server.Endpoint()
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- server.Start(context.Background()) }()
	t.Cleanup(func() {
		assert.Check(t, server.Close())
		assert.Check(t, <-done)
	})
	return endpoint.String()
}

func do(t *testing.T, method, url, body string, headers ...string) *http.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set(caller.HeaderCaller, "partner")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	t.Cleanup(func() { response.Body.Close() })
	return response
}

// Guards against refusals without type, status or outcome, and against a false
// not-run for a malformed repeat of a key.
func TestRefusalsAreTyped(t *testing.T) {
	base := serveOn(t, engineFake{})
	for _, check := range []struct {
		method, path, body string
		headers            []string
		status             int
		kind               fault.Kind
		outcome            string
	}{
		{"POST", "/v1/services/s/call", strings.Repeat("x", 1<<20+1), nil, 413, fault.TooLarge, "not-run"},
		{"POST", "/v1/services/s/call", "", []string{caller.HeaderDeadline, "-1"}, 400, fault.BadRequest, "not-run"},
		{"POST", "/v1/services/s/call", "", []string{caller.HeaderDeadline, "x", caller.HeaderKey, "k"}, 400, fault.BadRequest, "unknown"},
		{"POST", "/v1/services/s/call", "", []string{caller.HeaderCaller, ""}, 400, fault.BadRequest, "not-run"},
		{"POST", "/v1/tokens?count=100000", "", nil, 400, fault.BadRequest, "not-run"},
		{"GET", "/v1/requests/other", "", nil, 404, fault.NotFound, "unknown"},
		{"GET", "/v1/feeds/f?from=x", "", nil, 400, fault.BadRequest, "not-run"},
		{"GET", "/nothing", "", nil, 404, fault.NotFound, "not-run"},
	} {
		response := do(t, check.method, base+check.path, check.body, check.headers...)
		var body struct{ Failure struct{ Kind fault.Kind } }
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&body), check.path)
		assert.Equal(t, response.StatusCode, check.status, check.path)
		assert.Equal(t, body.Failure.Kind, check.kind, check.path)
		assert.Equal(t, response.Header.Get(caller.HeaderOutcome), check.outcome, check.path)
	}
}

// Guards against answers that lose their body, length or outcome on the way.
func TestAnswersAreWhole(t *testing.T) {
	base := serveOn(t, engineFake{})
	for path, want := range map[string]string{"/v1/services/s/call": "body", "/v1/requests/known": "recorded"} {
		method := "GET"
		if want == "body" {
			method = "POST"
		}
		response := do(t, method, base+path, "body")
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), want)
		assert.Equal(t, response.ContentLength, int64(len(want)))
		assert.Equal(t, response.Header.Get(caller.HeaderOutcome), "ran")
	}
	var block struct{ Tokens []string }
	assert.NilError(t, json.NewDecoder(do(t, "POST", base+"/v1/tokens?count=3", "").Body).Decode(&block))
	assert.Equal(t, len(block.Tokens), 3)
}

// readFeed returns the positions of a feed and how it ended.
func readFeed(t *testing.T, url string) (positions []uint64, failure fault.Kind, err error) {
	lines := bufio.NewReader(do(t, "GET", url, "").Body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return positions, failure, err
		}
		var event struct {
			Position uint64
			Failure  struct{ Kind fault.Kind }
		}
		assert.NilError(t, json.Unmarshal(line, &event))
		if event.Failure.Kind != "" {
			failure = event.Failure.Kind
			continue
		}
		positions = append(positions, event.Position)
	}
}

// Guards against a broken feed that looks complete, against a part of an event,
// and against gaps or repeats when the feed is resumed at another instance.
func TestBrokenFeedIsResumedElsewhere(t *testing.T) {
	first, second := serveOn(t, engineFake{end: 5}), serveOn(t, engineFake{end: 9})
	positions, failure, err := readFeed(t, first+"/v1/feeds/f?from=2")
	assert.DeepEqual(t, positions, []uint64{3, 4, 5})
	assert.Equal(t, failure, fault.WorkerLost)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	positions, _, _ = readFeed(t, fmt.Sprintf("%s/v1/feeds/f?from=%d", second, positions[len(positions)-1]))
	assert.DeepEqual(t, positions, []uint64{6, 7, 8, 9})
}

// Guards against one caller that opens feeds without bound.
func TestOpenFeedsAreBounded(t *testing.T) {
	base := serveOn(t, engineFake{hold: true})
	for range 16 {
		assert.Equal(t, do(t, "GET", base+"/v1/feeds/f", "").StatusCode, http.StatusOK)
	}
	assert.Equal(t, do(t, "GET", base+"/v1/feeds/f", "").StatusCode, http.StatusTooManyRequests)
	other := do(t, "GET", base+"/v1/feeds/f", "", caller.HeaderCaller, "other")
	assert.Equal(t, other.StatusCode, http.StatusOK)
}
