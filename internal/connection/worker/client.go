package worker

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
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
)

const (
	// maxReplyBytes bounds the part of a reply that is read.
	maxReplyBytes = 16 << 20
	// dialTimeout bounds the time to connect to a worker.
	dialTimeout = 1 * time.Second
	// idleTimeout closes a connection that has been unused for this long.
	idleTimeout = 60 * time.Second
)

// Client sends commands over the worker's HTTP protocol. It implements
// WorkerClient.
type Client struct {
	baseURL string
	http    *http.Client
}

var _ WorkerClient = (*Client)(nil)

// NewClient returns a client of the worker at address, an IP:port. It opens at
// most maxConnections connections at the same time.
func NewClient(address string, maxConnections int) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{
		baseURL: "http://" + address,
		http:    &http.Client{Transport: transport},
	}
}

// errorReply is the JSON body of an error reply.
type errorReply struct {
	Kind   fault.Kind `json:"kind"`
	Detail string     `json:"detail"`
}

// leaseRequest is the JSON body that grants or renews a lease.
type leaseRequest struct {
	Lease  ident.LeaseID `json:"lease"`
	Period time.Duration `json:"period_ns"`
}

// renewRequest is the JSON body that renews run leases.
type renewRequest struct {
	Tasks  []ident.TaskID `json:"tasks"`
	Period time.Duration  `json:"period_ns"`
}

// renewReply lists the tasks whose run leases were not renewed.
type renewReply struct {
	Missing []ident.TaskID `json:"missing"`
}

// throttleRequest is the JSON body that throttles a task.
type throttleRequest struct {
	Percent int `json:"percent"`
}

// checkpointReply is the JSON body that carries the state of a task.
type checkpointReply struct {
	Checkpoint []byte `json:"checkpoint"`
}

// RequestLease implements WorkerClient.
func (c *Client) RequestLease(ctx context.Context, lease ident.LeaseID, period time.Duration) error {
	return c.call(ctx, http.MethodPost, "/v1/leases", leaseRequest{Lease: lease, Period: period}, nil)
}

// RenewLease implements WorkerClient.
func (c *Client) RenewLease(ctx context.Context, lease ident.LeaseID, period time.Duration) error {
	path := "/v1/leases/" + url.PathEscape(string(lease)) + "/renew"
	return c.call(ctx, http.MethodPost, path, leaseRequest{Lease: lease, Period: period}, nil)
}

// Start implements WorkerClient.
func (c *Client) Start(ctx context.Context, command StartCommand) (TaskReport, error) {
	var report TaskReport
	err := c.call(ctx, http.MethodPost, "/v1/tasks", command, &report)
	return report, err
}

// Task implements WorkerClient.
func (c *Client) Task(ctx context.Context, task ident.TaskID) (TaskReport, error) {
	var report TaskReport
	err := c.call(ctx, http.MethodGet, taskPath(task, ""), nil, &report)
	return report, err
}

// Inventory implements WorkerClient.
func (c *Client) Inventory(ctx context.Context) ([]TaskReport, error) {
	var reports []TaskReport
	err := c.call(ctx, http.MethodGet, "/v1/tasks", nil, &reports)
	return reports, err
}

// RenewTasks implements WorkerClient.
func (c *Client) RenewTasks(ctx context.Context, tasks []ident.TaskID, period time.Duration) ([]ident.TaskID, error) {
	var reply renewReply
	err := c.call(ctx, http.MethodPost, "/v1/tasks/renew", renewRequest{Tasks: tasks, Period: period}, &reply)
	return reply.Missing, err
}

// Throttle implements WorkerClient.
func (c *Client) Throttle(ctx context.Context, task ident.TaskID, percent int) error {
	return c.call(ctx, http.MethodPost, taskPath(task, "/throttle"), throttleRequest{Percent: percent}, nil)
}

// Checkpoint implements WorkerClient.
func (c *Client) Checkpoint(ctx context.Context, task ident.TaskID) ([]byte, error) {
	var reply checkpointReply
	err := c.call(ctx, http.MethodPost, taskPath(task, "/checkpoint"), nil, &reply)
	return reply.Checkpoint, err
}

// Stop implements WorkerClient.
func (c *Client) Stop(ctx context.Context, task ident.TaskID) (TaskReport, error) {
	var report TaskReport
	err := c.call(ctx, http.MethodPost, taskPath(task, "/stop"), nil, &report)
	return report, err
}

// Usage implements WorkerClient.
func (c *Client) Usage(ctx context.Context) (UsageReport, error) {
	var report UsageReport
	err := c.call(ctx, http.MethodGet, "/v1/usage", nil, &report)
	return report, err
}

// Feed implements WorkerClient.
func (c *Client) Feed(ctx context.Context, feed string, from uint64) (io.ReadCloser, error) {
	path := fmt.Sprintf("/v1/feeds/%s?from=%d", url.PathEscape(feed), from)
	response, err := c.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, readError(response)
	}
	return response.Body, nil
}

func taskPath(task ident.TaskID, suffix string) string {
	return "/v1/tasks/" + url.PathEscape(string(task)) + suffix
}

// call sends a command. Unless reply is nil, it decodes the JSON body of the
// response into it.
func (c *Client) call(ctx context.Context, method, path string, command, reply any) error {
	body, err := encodeCommand(command)
	if err != nil {
		return err
	}
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer drainAndClose(response)
	if response.StatusCode != http.StatusOK {
		return readError(response)
	}
	if reply == nil {
		return nil
	}
	limited := io.LimitReader(response.Body, maxReplyBytes)
	if err := json.NewDecoder(limited).Decode(reply); err != nil {
		return fault.Wrap(fault.WorkerLost, err, "reading or decoding the worker's reply to %s %s", method, path)
	}
	return nil
}

// drainAndClose reads the rest of a reply before it closes the body. The
// transport closes a connection whose reply was not read to its end, and the
// next command would have to open another one.
func drainAndClose(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxReplyBytes))
	_ = response.Body.Close()
}

func encodeCommand(command any) ([]byte, error) {
	if command == nil {
		return nil, nil
	}
	body, err := json.Marshal(command)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encoding a command for the worker").WithOutcome(fault.NotRun)
	}
	return body, nil
}

func (c *Client) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "creating a request to the worker").WithOutcome(fault.NotRun)
	}
	response, err := c.http.Do(request)
	if err == nil {
		return response, nil
	}
	if neverConnected(err) {
		return nil, fault.Wrap(fault.WorkerUnreachable, err, "%s %s", method, path)
	}
	return nil, fault.Wrap(fault.WorkerLost, err, "%s %s", method, path)
}

// neverConnected reports whether err proves that nothing was sent, because the
// dial itself failed.
func neverConnected(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

// readError returns the failure that an error reply carries. If the reply can't
// be read, the outcome of the command is not known, so the failure is
// WorkerLost.
func readError(response *http.Response) error {
	var body errorReply
	limited := io.LimitReader(response.Body, maxReplyBytes)
	if err := json.NewDecoder(limited).Decode(&body); err != nil {
		return fault.Wrap(fault.WorkerLost, err, "the worker answered with status %d and a body that is not a valid error", response.StatusCode)
	}
	switch body.Kind {
	case fault.LeaseExpired, fault.WorkerLeaving, fault.NotFound, fault.TaskFailed:
		return fault.New(body.Kind, "%s", body.Detail)
	default:
		return fault.New(fault.WorkerRefused, "%s: %s", body.Kind, body.Detail)
	}
}
