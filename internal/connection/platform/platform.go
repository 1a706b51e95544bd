// Package platform is the HTTP client of the platform's log and instance list.
//
// An error of kind LogUnavailable has outcome NotRun if nothing was sent. Its
// outcome is Unknown if the reply was lost, because the request may have taken
// effect.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/logstream"
	"poplarvalve/internal/process/resource"
)

const (
	// callTimeout bounds one call, not counting the time that a read waits for
	// entries.
	callTimeout = 2 * time.Second
	// dialTimeout bounds the time to connect to the platform.
	dialTimeout = 1 * time.Second
	// maxConnections bounds the connections to the platform.
	maxConnections = 32
	// idleTimeout closes a connection that has been unused for this long.
	idleTimeout = 60 * time.Second
	// maxReplyBytes bounds the part of a reply that is read.
	maxReplyBytes = 16 << 20
	// maxErrorTextBytes bounds the part of an error reply that is included in
	// an error message.
	maxErrorTextBytes = 256
	cborContentType   = "application/cbor"
)

// AppendRequest is the body of an append.
type AppendRequest struct {
	Entries [][]byte `cbor:"1,keyasint"`
}

// AppendReply is the reply to an append. First is the offset of the first
// appended entry.
type AppendReply struct {
	First ident.Offset `cbor:"1,keyasint"`
}

// ReadReply is the reply to a read.
type ReadReply struct {
	Oldest  ident.Offset `cbor:"1,keyasint"`
	Next    ident.Offset `cbor:"2,keyasint"`
	First   ident.Offset `cbor:"3,keyasint"`
	Entries [][]byte     `cbor:"4,keyasint"`
}

// The kinds and states of a listed instance.
const (
	KindEntry    = "entry"
	KindWorker   = "worker"
	StateLive    = "live"
	StateLeaving = "leaving"
)

// ListedInstance is one entry of the instance list. The list lags behind the
// actual state of the instances.
type ListedInstance struct {
	// ID is the name of an entry instance or the identifier of a worker.
	ID       string           `json:"id"`
	Address  string           `json:"address"`
	Kind     string           `json:"kind"`
	Zone     ident.ZoneName   `json:"zone"`
	Region   ident.RegionName `json:"region"`
	Rack     string           `json:"rack"`
	State    string           `json:"state"`
	Capacity resource.Vector  `json:"capacity"`
}

// Client sends requests over the platform's HTTP protocol. It is safe for
// concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

var _ logstream.Log = (*Client)(nil)

// NewClient returns a client of the platform at address, an IP:port.
func NewClient(address string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{baseURL: "http://" + address, http: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Append implements logstream.Log.
func (c *Client) Append(ctx context.Context, stream ident.StreamName, entries [][]byte) (ident.Offset, error) {
	body, err := cbor.Marshal(AppendRequest{Entries: entries})
	if err != nil {
		return 0, fault.Wrap(fault.Internal, err, "encoding an append").WithOutcome(fault.NotRun)
	}
	reply, err := c.call(ctx, callTimeout, http.MethodPost, streamPath(stream, "append"), body)
	if err != nil {
		return 0, err
	}
	var decoded AppendReply
	if err := cbor.Unmarshal(reply, &decoded); err != nil {
		return 0, fault.Wrap(fault.LogUnavailable, err, "decoding the reply to an append")
	}
	return decoded.First, nil
}

// Read implements logstream.Log.
func (c *Client) Read(ctx context.Context, stream ident.StreamName, from ident.Offset, limit int, wait time.Duration) (logstream.Batch, error) {
	query := fmt.Sprintf("?from=%d&max=%d&wait_ms=%d", from, limit, wait.Milliseconds())
	reply, err := c.call(ctx, wait+callTimeout, http.MethodGet, streamPath(stream, "read")+query, nil)
	if err != nil {
		return logstream.Batch{}, err
	}
	var decoded ReadReply
	if err := cbor.Unmarshal(reply, &decoded); err != nil {
		return logstream.Batch{}, fault.Wrap(fault.LogUnavailable, err, "decoding the reply to a read")
	}
	return logstream.Batch(decoded), nil
}

// ListInstances returns the instance list.
func (c *Client) ListInstances(ctx context.Context) ([]ListedInstance, error) {
	reply, err := c.call(ctx, callTimeout, http.MethodGet, "/v1/instances", nil)
	if err != nil {
		return nil, err
	}
	var listed []ListedInstance
	if err := json.Unmarshal(reply, &listed); err != nil {
		return nil, fault.Wrap(fault.Malformed, err, "decoding the instance list")
	}
	return listed, nil
}

func streamPath(stream ident.StreamName, action string) string {
	return "/v1/streams/" + url.PathEscape(string(stream)) + "/" + action
}

// call sends one request and returns the body of its reply.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "%s", path).WithOutcome(fault.NotRun)
	}
	request.Header.Set("Content-Type", cborContentType)
	response, err := c.http.Do(request)
	if err != nil && !connected.Load() {
		return nil, fault.Wrap(fault.LogUnavailable, err, "no connection to the platform, so the request was not sent").WithOutcome(fault.NotRun)
	}
	if err != nil {
		return nil, fault.Wrap(fault.LogUnavailable, err, "no complete reply from the platform")
	}
	defer response.Body.Close()
	return readReply(response)
}

func readReply(response *http.Response) ([]byte, error) {
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return nil, fault.Wrap(fault.LogUnavailable, err, "no complete reply from the platform")
	}
	if len(reply) > maxReplyBytes {
		return nil, fault.New(fault.LogUnavailable, "the platform's reply exceeds %d bytes", maxReplyBytes)
	}
	if response.StatusCode != http.StatusOK {
		text := reply[:min(len(reply), maxErrorTextBytes)]
		return nil, fault.New(fault.LogUnavailable, "the platform answered with status %d: %s", response.StatusCode, text)
	}
	return reply, nil
}
