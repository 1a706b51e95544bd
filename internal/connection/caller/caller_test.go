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

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/caller"
	"poplarvalve/internal/connection/clientlimit"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

// fakeEngine echoes calls. Its feed sends events up to lastPosition. Then the
// feed either breaks off in the middle of an event or, if stayOpen is set,
// stays open.
type fakeEngine struct {
	lastPosition uint64
	stayOpen     bool
}

func (fakeEngine) Serve(_ context.Context, request work.Request) work.Answer {
	return work.Answer{Request: request.ID, Outcome: fault.Ran, Body: request.Body}
}

func (fakeEngine) IssueTokens(count int) []string { return make([]string, count) }

func (fakeEngine) RecordedAnswer(_ context.Context, _ ident.CallerName, key string) (work.Answer, error) {
	if key != "known" {
		return work.Answer{}, fault.New(fault.NotFound, "none").WithOutcome(fault.Unknown)
	}
	return work.Answer{Outcome: fault.Ran, Body: []byte("recorded")}, nil
}

func (e fakeEngine) Feed(_ context.Context, _ string, from uint64) (io.ReadCloser, error) {
	reader, writer := io.Pipe()
	go func() {
		for position := from + 1; position <= e.lastPosition; position++ {
			if _, err := fmt.Fprintf(writer, "{\"position\":%d}\n", position); err != nil {
				return
			}
		}
		if !e.stayOpen {
			fmt.Fprintf(writer, "{\"position\":%d", e.lastPosition+1)
			writer.Close()
		}
	}()
	return reader, nil
}

// startServer starts the Kratos server, without jobs, on the loopback interface
// and returns its URL.
func startServer(t *testing.T, engine caller.Engine) string {
	t.Helper()
	return startServerWithJobs(t, engine, nil)
}

func startServerWithJobs(t *testing.T, engine caller.Engine, jobs caller.Jobs) string {
	t.Helper()
	server := khttp.NewServer(khttp.Address("127.0.0.1:0"), khttp.Timeout(0), khttp.StrictSlash(false))
	server.HandlePrefix("/", caller.NewHandler(engine, jobs, clientlimit.NewUnlimitedBodies()))
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

func sendRequest(t *testing.T, method, url, body string, headers ...string) *http.Response {
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

// Each refusal must state its kind, status and outcome. A malformed call that
// repeats a key must not get the outcome not-run, because an earlier call with
// the key may have run.
func TestRefusalsHaveKindStatusAndOutcome(t *testing.T) {
	base := startServer(t, fakeEngine{})
	for _, testCase := range []struct {
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
		response := sendRequest(t, testCase.method, base+testCase.path, testCase.body, testCase.headers...)
		var body struct{ Failure struct{ Kind fault.Kind } }
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&body), testCase.path)
		assert.Equal(t, response.StatusCode, testCase.status, testCase.path)
		assert.Equal(t, body.Failure.Kind, testCase.kind, testCase.path)
		assert.Equal(t, response.Header.Get(caller.HeaderOutcome), testCase.outcome, testCase.path)
	}
}

// An answer must not lose its body, length or outcome on its way to the caller.
func TestAnswersAreComplete(t *testing.T) {
	base := startServer(t, fakeEngine{})
	for path, want := range map[string]string{"/v1/services/s/call": "body", "/v1/requests/known": "recorded"} {
		method := "GET"
		if want == "body" {
			method = "POST"
		}
		response := sendRequest(t, method, base+path, "body")
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), want)
		assert.Equal(t, response.ContentLength, int64(len(want)))
		assert.Equal(t, response.Header.Get(caller.HeaderOutcome), "ran")
	}
	var tokens struct{ Tokens []string }
	assert.NilError(t, json.NewDecoder(sendRequest(t, "POST", base+"/v1/tokens?count=3", "").Body).Decode(&tokens))
	assert.Equal(t, len(tokens.Tokens), 3)
}

// readFeed returns the positions of a feed, the failure in its last line and
// the error that ended it.
func readFeed(t *testing.T, url string) (positions []uint64, failure fault.Kind, err error) {
	lines := bufio.NewReader(sendRequest(t, "GET", url, "").Body)
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

// A feed breaks off in the middle of an event and is resumed at another
// instance. The broken feed must neither look complete nor deliver part of an
// event, and the resumed one must have no gaps or repeats.
func TestBrokenFeedIsResumedElsewhere(t *testing.T) {
	first, second := startServer(t, fakeEngine{lastPosition: 5}), startServer(t, fakeEngine{lastPosition: 9})
	positions, failure, err := readFeed(t, first+"/v1/feeds/f?from=2")
	assert.DeepEqual(t, positions, []uint64{3, 4, 5})
	assert.Equal(t, failure, fault.WorkerLost)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	positions, _, _ = readFeed(t, fmt.Sprintf("%s/v1/feeds/f?from=%d", second, positions[len(positions)-1]))
	assert.DeepEqual(t, positions, []uint64{6, 7, 8, 9})
}

// One caller must not be able to open an unlimited number of feeds. Its limit of
// 16 must not affect other callers.
func TestOpenFeedsAreBounded(t *testing.T) {
	base := startServer(t, fakeEngine{stayOpen: true})
	for range 16 {
		assert.Equal(t, sendRequest(t, "GET", base+"/v1/feeds/f", "").StatusCode, http.StatusOK)
	}
	assert.Equal(t, sendRequest(t, "GET", base+"/v1/feeds/f", "").StatusCode, http.StatusTooManyRequests)
	other := sendRequest(t, "GET", base+"/v1/feeds/f", "", caller.HeaderCaller, "other")
	assert.Equal(t, other.StatusCode, http.StatusOK)
}
