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
	// maxReplyBytes bounds what is read of one reply.
	maxReplyBytes = 16 << 20
	// dialTimeout bounds the time to connect to a worker.
	dialTimeout = 1 * time.Second
	// idleTimeout closes connections that carried nothing for that long.
	idleTimeout = 60 * time.Second
)

// Client speaks the worker's HTTP protocol. It implements API.
type Client struct {
	base string
	http *http.Client
}

var _ API = (*Client)(nil)

// NewClient returns a client of the worker at address, an IP:port. It opens at
// most maxConnections at the same time.
func NewClient(address string, maxConnections int) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{
		base: "http://" + address,
		http: &http.Client{Transport: transport},
	}
}

// refusal is the body of an error reply.
type refusal struct {
	Kind   fault.Kind `json:"kind"`
	Detail string     `json:"detail"`
}

// leaseRequest grants or renews a lease.
type leaseRequest struct {
	Lease  ident.LeaseID `json:"lease"`
	Period time.Duration `json:"period_ns"`
}

// renewRequest renews run leases.
type renewRequest struct {
	Tasks  []ident.TaskID `json:"tasks"`
	Period time.Duration  `json:"period_ns"`
}

// renewReply lists the tasks that were not renewed.
type renewReply struct {
	Missing []ident.TaskID `json:"missing"`
}

// throttleRequest limits a task.
type throttleRequest struct {
	Percent int `json:"percent"`
}

// checkpointReply carries the state of a task.
type checkpointReply struct {
	Checkpoint []byte `json:"checkpoint"`
}

// GrantLease implements API.
func (c *Client) GrantLease(ctx context.Context, lease ident.LeaseID, period time.Duration) error {
	return c.call(ctx, http.MethodPost, "/v1/leases", leaseRequest{Lease: lease, Period: period}, nil)
}

// RenewLease implements API.
func (c *Client) RenewLease(ctx context.Context, lease ident.LeaseID, period time.Duration) error {
	path := "/v1/leases/" + url.PathEscape(string(lease)) + "/renew"
	return c.call(ctx, http.MethodPost, path, leaseRequest{Lease: lease, Period: period}, nil)
}

// Start implements API.
func (c *Client) Start(ctx context.Context, command StartCommand) (TaskReport, error) {
	var report TaskReport
	err := c.call(ctx, http.MethodPost, "/v1/tasks", command, &report)
	return report, err
}

// Task implements API.
func (c *Client) Task(ctx context.Context, task ident.TaskID) (TaskReport, error) {
	var report TaskReport
	err := c.call(ctx, http.MethodGet, taskPath(task, ""), nil, &report)
	return report, err
}

// Inventory implements API.
func (c *Client) Inventory(ctx context.Context) ([]TaskReport, error) {
	var reports []TaskReport
	err := c.call(ctx, http.MethodGet, "/v1/tasks", nil, &reports)
	return reports, err
}

// RenewTasks implements API.
func (c *Client) RenewTasks(ctx context.Context, tasks []ident.TaskID, period time.Duration) ([]ident.TaskID, error) {
	var reply renewReply
	err := c.call(ctx, http.MethodPost, "/v1/tasks/renew", renewRequest{Tasks: tasks, Period: period}, &reply)
	return reply.Missing, err
}

// Throttle implements API.
func (c *Client) Throttle(ctx context.Context, task ident.TaskID, percent int) error {
	return c.call(ctx, http.MethodPost, taskPath(task, "/throttle"), throttleRequest{Percent: percent}, nil)
}

// Checkpoint implements API.
func (c *Client) Checkpoint(ctx context.Context, task ident.TaskID) ([]byte, error) {
	var reply checkpointReply
	err := c.call(ctx, http.MethodPost, taskPath(task, "/checkpoint"), nil, &reply)
	return reply.Checkpoint, err
}

// Stop implements API.
func (c *Client) Stop(ctx context.Context, task ident.TaskID) (TaskReport, error) {
	var report TaskReport
	err := c.call(ctx, http.MethodPost, taskPath(task, "/stop"), nil, &report)
	return report, err
}

// Usage implements API.
func (c *Client) Usage(ctx context.Context) (UsageReport, error) {
	var report UsageReport
	err := c.call(ctx, http.MethodGet, "/v1/usage", nil, &report)
	return report, err
}

// Feed implements API.
func (c *Client) Feed(ctx context.Context, feed string, from uint64) (io.ReadCloser, error) {
	path := fmt.Sprintf("/v1/feeds/%s?from=%d", url.PathEscape(feed), from)
	response, err := c.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, readRefusal(response)
	}
	return response.Body, nil
}

func taskPath(task ident.TaskID, suffix string) string {
	return "/v1/tasks/" + url.PathEscape(string(task)) + suffix
}

// call sends a command and decodes the reply into reply, if that is not nil.
func (c *Client) call(ctx context.Context, method, path string, command, reply any) error {
	body, err := encode(command)
	if err != nil {
		return err
	}
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer finish(response)
	if response.StatusCode != http.StatusOK {
		return readRefusal(response)
	}
	if reply == nil {
		return nil
	}
	limited := io.LimitReader(response.Body, maxReplyBytes)
	if err := json.NewDecoder(limited).Decode(reply); err != nil {
		return fault.Wrap(fault.WorkerLost, err, "reading the reply to %s %s", method, path)
	}
	return nil
}

// finish reads the rest of a reply before it closes it. A connection whose reply
// was not read to its end is closed, and the next command would open another.
func finish(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxReplyBytes))
	_ = response.Body.Close()
}

func encode(command any) ([]byte, error) {
	if command == nil {
		return nil, nil
	}
	body, err := json.Marshal(command)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encoding a worker command").WithOutcome(fault.NotRun)
	}
	return body, nil
}

func (c *Client) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "building a worker request").WithOutcome(fault.NotRun)
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

// neverConnected reports whether err proves that nothing was sent: the dial
// itself failed.
func neverConnected(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// readRefusal returns the failure that an error reply carries. A reply that
// can't be read proves nothing about the command.
func readRefusal(response *http.Response) error {
	var body refusal
	limited := io.LimitReader(response.Body, maxReplyBytes)
	if err := json.NewDecoder(limited).Decode(&body); err != nil {
		return fault.Wrap(fault.WorkerLost, err, "status %d with an unreadable body", response.StatusCode)
	}
	switch body.Kind {
	case fault.LeaseLapsed, fault.WorkerLeaving, fault.NotFound, fault.TaskFailed:
		return fault.New(body.Kind, "%s", body.Detail)
	default:
		return fault.New(fault.WorkerRefused, "%s: %s", body.Kind, body.Detail)
	}
}
