// Package platform is the client of the platform's log and instance list.
//
// An error of kind LogUnavailable has outcome NotRun if nothing was sent, and
// Unknown if the reply was lost, so that the effect may have taken place.
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
	// callTimeout bounds one call, without the time a read waits for entries.
	callTimeout = 2 * time.Second
	// dialTimeout bounds the time to connect.
	dialTimeout = 1 * time.Second
	// maxConnections bounds the connections to the platform.
	maxConnections = 32
	// idleTimeout closes connections that carried nothing for that long.
	idleTimeout = 60 * time.Second
	// maxReplyBytes bounds what is read of one reply.
	maxReplyBytes = 16 << 20
	// errorBytes bounds what is kept of the text of a refusal.
	errorBytes = 256
	cborType   = "application/cbor"
)

// AppendRequest is the body of an append.
type AppendRequest struct {
	Entries [][]byte `cbor:"1,keyasint"`
}

// AppendReply is the answer to an append.
type AppendReply struct {
	First ident.Offset `cbor:"1,keyasint"`
}

// ReadReply is the answer to a read.
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

// ListedInstance is one line of the instance list, which lags.
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

// Client speaks the platform's HTTP protocol. It is safe for use by many
// goroutines.
type Client struct {
	base string
	http *http.Client
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
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Append implements logstream.Log.
func (c *Client) Append(ctx context.Context, stream ident.StreamName, entries [][]byte) (ident.Offset, error) {
	body, err := cbor.Marshal(AppendRequest{Entries: entries})
	if err != nil {
		return 0, fault.Wrap(fault.Internal, err, "encode append").WithOutcome(fault.NotRun)
	}
	reply, err := c.call(ctx, callTimeout, http.MethodPost, streamPath(stream, "append"), body)
	if err != nil {
		return 0, err
	}
	var decoded AppendReply
	if err := cbor.Unmarshal(reply, &decoded); err != nil {
		return 0, fault.Wrap(fault.LogUnavailable, err, "decode reply to append")
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
		return logstream.Batch{}, fault.Wrap(fault.LogUnavailable, err, "decode reply to read")
	}
	return logstream.Batch(decoded), nil
}

// Instances returns the instance list.
func (c *Client) Instances(ctx context.Context) ([]ListedInstance, error) {
	reply, err := c.call(ctx, callTimeout, http.MethodGet, "/v1/instances", nil)
	if err != nil {
		return nil, err
	}
	var listed []ListedInstance
	if err := json.Unmarshal(reply, &listed); err != nil {
		return nil, fault.Wrap(fault.Malformed, err, "decode instance list")
	}
	return listed, nil
}

func streamPath(stream ident.StreamName, verb string) string {
	return "/v1/streams/" + url.PathEscape(string(stream)) + "/" + verb
}

// call sends one request and returns the body of its reply.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "%s", path).WithOutcome(fault.NotRun)
	}
	request.Header.Set("Content-Type", cborType)
	response, err := c.http.Do(request)
	if err != nil && !connected.Load() {
		return nil, fault.Wrap(fault.LogUnavailable, err, "not connected").WithOutcome(fault.NotRun)
	}
	if err != nil {
		return nil, fault.Wrap(fault.LogUnavailable, err, "reply lost")
	}
	defer response.Body.Close()
	return readReply(response)
}

func readReply(response *http.Response) ([]byte, error) {
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return nil, fault.Wrap(fault.LogUnavailable, err, "reply lost")
	}
	if len(reply) > maxReplyBytes {
		return nil, fault.New(fault.LogUnavailable, "reply exceeds %d bytes", maxReplyBytes)
	}
	if response.StatusCode != http.StatusOK {
		text := reply[:min(len(reply), errorBytes)]
		return nil, fault.New(fault.LogUnavailable, "status %d: %s", response.StatusCode, text)
	}
	return reply, nil
}
