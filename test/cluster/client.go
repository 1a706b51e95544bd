package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"poplarvalve/internal/connection/caller"
	"poplarvalve/internal/process/fault"
	"poplarvalve/test/workerstub"
)

const (
	// maxIdleConnections is far above the number of connections that a driver
	// uses, so that none is closed and opened again.
	maxIdleConnections = 1024
	// Ran, NotRun and Unknown are the outcomes that a reply from the system can
	// carry in its outcome header.
	Ran     = "ran"
	NotRun  = "not-run"
	Unknown = "unknown"
	// NotSent is the outcome of a request that was not sent because no connection
	// could be opened.
	NotSent = "not-sent"
	// Lost is the outcome of a request without a complete reply.
	Lost = "lost"
)

// client connects to addresses directly: it ignores any proxy that the
// environment configures.
var client = &http.Client{Transport: &http.Transport{MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: maxIdleConnections}}

// Reply holds what a caller learns from one request. Outcome is one of the
// constants above; Kind and Detail describe a failure.
type Reply struct {
	SentAt     time.Time
	ReceivedAt time.Time
	Outcome    string
	Status     int
	Kind       fault.Kind
	Body       []byte
	Token      string
	RetryAfter time.Duration
	Detail     string
}

// Succeeded reports whether the request ran and its complete answer arrived with
// status 200.
func (r Reply) Succeeded() bool {
	return r.Outcome == Ran && r.Status == http.StatusOK
}

// String returns the outcome, the status, the kind of failure and its detail.
func (r Reply) String() string {
	return fmt.Sprintf("%s %d %s %s", r.Outcome, r.Status, r.Kind, r.Detail)
}

// Call sends one urgent request to a service through the instance at address,
// which is an IP:port.
func Call(ctx context.Context, address, service string, body []byte, headers map[string]string) Reply {
	return Send(ctx, http.MethodPost, address, "/v1/services/"+url.PathEscape(service)+"/call", body, headers)
}

// Send sends one request as a caller to the instance at address, an IP:port.
// The headers replace those that Send sets itself. It returns no error: the
// Reply says how the request ended.
func Send(ctx context.Context, method, address, path string, body []byte, headers map[string]string) Reply {
	reply := Reply{SentAt: time.Now(), Outcome: Lost}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		reply.Outcome, reply.Detail = NotSent, err.Error()
		return withReceiveTime(reply)
	}
	request.Header.Set(caller.HeaderCaller, "demo")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		reply.recordError(err)
		return withReceiveTime(reply)
	}
	defer response.Body.Close()
	reply.Body, err = io.ReadAll(response.Body)
	if err != nil {
		reply.recordError(err)
		return withReceiveTime(reply)
	}
	reply.readResponse(response)
	return withReceiveTime(reply)
}

// withReceiveTime returns reply with the time of receipt set to now.
func withReceiveTime(reply Reply) Reply {
	reply.ReceivedAt = time.Now()
	return reply
}

// recordError records why a request got no complete reply. The outcome is NotSent
// only if the dial failed, since only that proves that nothing was sent.
func (r *Reply) recordError(err error) {
	var networkErr *net.OpError
	if errors.As(err, &networkErr) && networkErr.Op == "dial" {
		r.Outcome = NotSent
	}
	r.Detail = err.Error()
}

// readResponse copies the status, the headers and, for a failed request, the
// failure in the body.
func (r *Reply) readResponse(response *http.Response) {
	r.Status = response.StatusCode
	r.Outcome = response.Header.Get(caller.HeaderOutcome)
	r.Token = response.Header.Get(caller.HeaderToken)
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	r.RetryAfter = time.Duration(seconds) * time.Second
	if r.Status == http.StatusOK {
		return
	}
	var failure struct{ Failure fault.Failure }
	if err := json.Unmarshal(r.Body, &failure); err == nil {
		r.Kind, r.Detail = failure.Failure.Kind, failure.Failure.Detail
	}
}

// Tokens returns a block of count request tokens that the instance at address
// issued.
func Tokens(ctx context.Context, address string, count int) ([]string, error) {
	reply := Send(ctx, http.MethodPost, address, "/v1/tokens?count="+strconv.Itoa(count), nil, nil)
	var issued struct{ Tokens []string }
	if reply.Status != http.StatusOK {
		return nil, errors.New(reply.String())
	}
	err := json.Unmarshal(reply.Body, &issued)
	return issued.Tokens, err
}

// History returns the starts and ends of tasks at the worker so far.
func (w *Worker) History(ctx context.Context) ([]workerstub.Event, error) {
	var events []workerstub.Event
	err := requestJSON(ctx, http.MethodGet, "http://"+w.Address+"/history", "", nil, &events)
	return events, err
}

// CapacityExceeded reports whether the worker's running tasks have ever needed
// more than its capacity.
func (w *Worker) CapacityExceeded(ctx context.Context) (bool, error) {
	var exceeded bool
	err := requestJSON(ctx, http.MethodGet, "http://"+w.Address+"/exceeded", "", nil, &exceeded)
	return exceeded, err
}

// requestJSON sends one request to an instance's operator address or to a stub,
// and decodes the JSON in the response into reply unless that is nil. If token
// is not empty, it is sent as a bearer token. A status other than 200 is an
// error.
func requestJSON(ctx context.Context, method, targetURL, token string, body []byte, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, targetURL, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered with status %d: %s", targetURL, response.StatusCode, content)
	}
	if reply == nil {
		return nil
	}
	return json.Unmarshal(content, reply)
}
