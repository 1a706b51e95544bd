// Package clientlimit bounds what the clients of a process's HTTP servers can take: the number of
// connections and of requests, the time for each part of a request, and the memory for bodies.
//
// A request that exceeds a limit is refused before it is passed on, so that a refusal says that
// the request had no effect.
package clientlimit

import (
	"net/http"
	"strconv"
	"time"

	"poplarvalve/internal/process/membudget"
	"poplarvalve/internal/process/settings"
)

// Reason says which limit a client has exceeded.
type Reason uint8

const (
	// None means that no limit is exceeded.
	None Reason = iota
	// TooLarge: the body is over the limit.
	TooLarge
	// TooManyHeaders: the request has too many header lines.
	TooManyHeaders
	// MemoryShort: there is no memory for the body.
	MemoryShort
	// Evicted: memory or connections were short, and the client was one of the slowest.
	Evicted
	// TooSlow: the body arrived too slowly.
	TooSlow
	// BadBody: the body ended early or its framing is invalid.
	BadBody
	// TooManyRequests: too many requests are being served.
	TooManyRequests
	// IdleClosed: an idle or slow connection made room for a new one.
	IdleClosed
	// TooManyConnections: a new connection was closed, because no other could make room.
	TooManyConnections

	// ReasonCount is the number of reasons.
	ReasonCount = int(TooManyConnections) + 1
)

var reasonNames = [ReasonCount]string{"none", "too_large", "too_many_headers", "memory_short", "evicted", "too_slow", "bad_body",
	"too_many_requests", "idle_closed", "too_many_connections"}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// ReasonNames returns the names of all reasons to refuse a client.
func ReasonNames() []string { return reasonNames[1:] }

var statuses = [ReasonCount]int{TooLarge: http.StatusRequestEntityTooLarge, TooManyHeaders: http.StatusRequestHeaderFieldsTooLarge,
	MemoryShort: http.StatusServiceUnavailable, Evicted: http.StatusServiceUnavailable, TooSlow: http.StatusRequestTimeout,
	BadBody: http.StatusBadRequest, TooManyRequests: http.StatusServiceUnavailable}

// Status returns the HTTP status of a refusal.
func (r Reason) Status() int { return statuses[r] }

// RetryAfter is the wait in the refusals that another try may avoid. By then the slow readers that
// hold memory or connections have been evicted.
const RetryAfter = time.Second

// WriteHeader writes the status and the headers of a refusal. Bytes of the body that were not read
// may still arrive, so that the connection is closed after the answer.
func (r Reason) WriteHeader(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if r.Status() == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(int(RetryAfter/time.Second)))
	}
	w.WriteHeader(r.Status())
}

// Observer is told about clients that exceed a limit. Its method must not block.
type Observer interface {
	// ClientRefused is called once for each refusal and each closed connection.
	ClientRefused(reason, address string)
}

const (
	// bodyGrace is the time before the minimum rate of a body counts, which a slow start of a
	// connection between regions needs.
	bodyGrace = 2 * time.Second
	// evictAfter is the age from which a body may be displaced. An ordinary body has arrived by
	// then.
	evictAfter = 500 * time.Millisecond
)

// ConfigFrom returns the limits that the settings state.
func ConfigFrom(s settings.ClientLimits) Config {
	return Config{
		Connections: s.Connections, LinkConnections: s.LinkConnections, Requests: s.Requests, AddressShare: s.AddressShare,
		MaxBody: s.MaxBody, BodyTimeout: s.BodyTimeout, BodyGrace: bodyGrace, MinBodyRate: s.MinBodyRate,
		HeaderBytes: s.HeaderBytes, IdleTimeout: s.IdleTimeout, ResponseTimeout: s.ResponseTimeout, EvictAfter: evictAfter,
	}
}

// NewBudget returns the budget that the settings state.
func NewBudget(s settings.ClientLimits) *membudget.Budget {
	return membudget.New(membudget.Config{Total: s.BodyMemory, SmallReserve: s.SmallBodyMemory, SmallBody: SmallBody,
		AccountMax: int64(float64(s.BodyMemory) * s.AddressShare), Wait: s.BodyWait, EvictAfter: evictAfter})
}

// minLinkMemory has room for one message of the largest size, which is held up to three times while
// its buffer grows.
const minLinkMemory = 4 << 20

// NewLinkBudget returns the budget for messages on accepted links. It is apart from that for bodies,
// so that clients can't hold up the links; one link may use all of it.
func NewLinkBudget(s settings.ClientLimits) *membudget.Budget {
	total := max(s.BodyMemory, minLinkMemory)
	return membudget.New(membudget.Config{Total: total, SmallReserve: s.SmallBodyMemory, SmallBody: SmallBody,
		AccountMax: total, Wait: s.BodyWait, EvictAfter: evictAfter})
}

// Config holds the limits.
type Config struct {
	// Connections is the number of connections of clients, and LinkConnections that of
	// connections of other instances.
	Connections, LinkConnections int
	// Requests is the number of requests that are served at once.
	Requests int
	// AddressShare is the part of Connections and Requests that one client address may take.
	AddressShare float64
	// MaxBody is the largest size of a body in bytes.
	MaxBody int64
	// BodyTimeout bounds the time for a whole body. BodyGrace is the time after which a body
	// must have arrived with MinBodyRate bytes a second.
	BodyTimeout, BodyGrace time.Duration
	MinBodyRate            int64
	// HeaderBytes limits the size of the header of a request.
	HeaderBytes int
	// IdleTimeout is how long a connection may stay without a request.
	IdleTimeout time.Duration
	// ResponseTimeout is how long a client may take for each part of an answer that does not
	// fit into the buffers of the connection.
	ResponseTimeout time.Duration
	// EvictAfter is the age of a body from which a new connection may displace it.
	EvictAfter time.Duration
}
