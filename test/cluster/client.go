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
	// maxIdle is far above the connections that a driver has in use.
	maxIdle = 1024
	// Ran, NotRun and Unknown are the outcomes of an answer.
	Ran     = "ran"
	NotRun  = "not-run"
	Unknown = "unknown"
	// NotSent is the outcome of a request that could not connect.
	NotSent = "not-sent"
	// Lost is the outcome of a request whose reply did not arrive whole.
	Lost = "lost"
)

// client goes to the address itself, whatever proxy the environment names.
var client = &http.Client{Transport: &http.Transport{MaxIdleConns: maxIdle, MaxIdleConnsPerHost: maxIdle}}

// Reply is what a caller learns from one request.
type Reply struct {
	Sent       time.Time
	Received   time.Time
	Outcome    string
	Status     int
	Kind       fault.Kind
	Body       []byte
	Token      string
	RetryAfter time.Duration
	Detail     string
}

// Whole reports whether the request ran and its answer arrived.
func (r Reply) Whole() bool {
	return r.Outcome == Ran && r.Status == http.StatusOK
}

// String says how the request ended.
func (r Reply) String() string {
	return fmt.Sprintf("%s %d %s %s", r.Outcome, r.Status, r.Kind, r.Detail)
}

// Call sends one urgent request to the instance at address.
func Call(ctx context.Context, address, service string, body []byte, headers map[string]string) Reply {
	return Send(ctx, http.MethodPost, address, "/v1/services/"+url.PathEscape(service)+"/call", body, headers)
}

// Send sends one request of a caller.
func Send(ctx context.Context, method, address, path string, body []byte, headers map[string]string) Reply {
	reply := Reply{Sent: time.Now(), Outcome: Lost}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		reply.Outcome, reply.Detail = NotSent, err.Error()
		return received(reply)
	}
	request.Header.Set(caller.HeaderCaller, "demo")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		reply.fail(err)
		return received(reply)
	}
	defer response.Body.Close()
	reply.Body, err = io.ReadAll(response.Body)
	if err != nil {
		reply.fail(err)
		return received(reply)
	}
	reply.read(response)
	return received(reply)
}

func received(reply Reply) Reply {
	reply.Received = time.Now()
	return reply
}

// fail classifies a request without a whole reply. Only a failed dial proves
// that nothing was sent.
func (r *Reply) fail(err error) {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		r.Outcome = NotSent
	}
	r.Detail = err.Error()
}

func (r *Reply) read(response *http.Response) {
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

// Tokens returns a block of request tokens of the instance at address.
func Tokens(ctx context.Context, address string, count int) ([]string, error) {
	reply := Send(ctx, http.MethodPost, address, "/v1/tokens?count="+strconv.Itoa(count), nil, nil)
	var block struct{ Tokens []string }
	if reply.Status != http.StatusOK {
		return nil, errors.New(reply.String())
	}
	err := json.Unmarshal(reply.Body, &block)
	return block.Tokens, err
}

// History returns what a worker has run.
func (w *Worker) History(ctx context.Context) ([]workerstub.Event, error) {
	var events []workerstub.Event
	err := exchange(ctx, http.MethodGet, "http://"+w.Address+"/history", "", nil, &events)
	return events, err
}

// Exceeded reports whether a worker ever held more than its capacity.
func (w *Worker) Exceeded(ctx context.Context) (bool, error) {
	var exceeded bool
	err := exchange(ctx, http.MethodGet, "http://"+w.Address+"/exceeded", "", nil, &exceeded)
	return exceeded, err
}

// exchange sends one request of an operator or to a stand-in.
func exchange(ctx context.Context, method, target, token string, body []byte, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
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
		return fmt.Errorf("%s: status %d: %s", target, response.StatusCode, content)
	}
	if reply == nil {
		return nil
	}
	return json.Unmarshal(content, reply)
}
