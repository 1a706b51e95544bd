package settings

import (
	"math"
	"time"
)

// ClientLimits bounds what the clients of a process can take.
type ClientLimits struct {
	// BodyMemory is the memory in bytes for bodies that were read and on which the process has
	// not decided, of which SmallBodyMemory is only for small ones.
	BodyMemory, SmallBodyMemory int64
	// MaxBody is the largest size of a body in bytes.
	MaxBody int64
	// Connections is the number of connections of clients, LinkConnections that of connections
	// of other instances, and Requests that of requests that are served at once.
	Connections, LinkConnections, Requests int
	// AddressShare is the part of Connections, Requests and BodyMemory that one client address
	// may take.
	AddressShare float64
	// BodyTimeout bounds the time for a body, and MinBodyRate its bytes a second. BodyWait is
	// how long a request waits for memory.
	BodyTimeout, BodyWait time.Duration
	MinBodyRate           int64
	// HeaderBytes limits the header of a request.
	HeaderBytes int
	// IdleTimeout is how long a connection may stay without a request, and ResponseTimeout how
	// long a client may take for a part of an answer.
	IdleTimeout, ResponseTimeout time.Duration
}

const (
	// fileDescriptors is the number of descriptors that the platform keeps for files.
	fileDescriptors = 200
	// minFDs leaves a few connections for each purpose.
	minFDs = 256
	// clientFDShare and linkFDShare are the parts of the other descriptors that connections of
	// clients and links get. The rest is for the log and the backend servers, of which 350 with 4
	// connections each must have room in 4,100 descriptors.
	clientFDShare = 0.5
	linkFDShare   = 0.125
	// connectionsPerMB limits connections by memory. A connection without a request takes about
	// 28 KB, so that all together take less than a quarter of the memory.
	connectionsPerMB = 8
	// bodyMemoryShare is the part of the memory that bodies may take, and smallBodyShare the part of
	// that for small ones. The collector of the runtime may need the same amount again.
	bodyMemoryShare = 1.0 / 8
	smallBodyShare  = 1.0 / 8
	// defaultMaxBodyKB is several times the limit of the platform.
	defaultMaxBodyKB = 1024
	// defaultAddressShare lets callers behind one load balancer use almost everything.
	defaultAddressShare = 90
	// The default timeouts are those that docs/callers.md states, or far above what callers
	// need, who wait 3 s for an answer.
	defaultBodySeconds     = 10
	defaultResponseSeconds = 5
	defaultIdleSeconds     = 300
	defaultBodyRateKB      = 8
	defaultBodyWaitMillis  = 1000
	defaultHeaderKB        = 16
)

const (
	// LargeBodyCost is how many bytes of memory a large body takes for each of its bytes while it
	// is joined and decoded: the parts that arrived, the whole, and 5 for its decoded form.
	LargeBodyCost = 7
	// bodyRounding is the memory that a large body takes beside that, because its parts are
	// buffers of fixed size.
	bodyRounding = 64 << 10
)

// clientLimits reads the limits of clients. memoryMB is the memory of the process, and processFDs
// the number of descriptors that it may open, for settings that do not state it.
func (r *entryReader) clientLimits(memoryMB float64, processFDs uint64) ClientLimits {
	fds := float64(processFDs)
	if r.isSet("max_fds") || processFDs < minFDs {
		fds = r.number("limits", "max_fds", minFDs, 1<<30)
	}
	// A value out of range is reported once and not again for what follows from it.
	usable := max(fds, minFDs) - fileDescriptors
	connections := r.optionalNumber("max_connections", math.Floor(min(usable*clientFDShare, memoryMB*connectionsPerMB)), 4, 1<<24)
	links := r.optionalNumber("max_link_connections", math.Floor(min(usable*linkFDShare, memoryMB*connectionsPerMB)), 4, 1<<24)
	if connections+links > usable {
		r.report("limits", "max_connections", "the value and max_link_connections exceed the %g descriptors that max_fds leaves beside %d for files", usable, fileDescriptors)
	}
	bodyMemory := r.optionalNumber("body_memory_mb", memoryMB*bodyMemoryShare, 1, max(1, memoryMB/2)) * (1 << 20)
	addressShare := r.optionalNumber("address_share_percent", defaultAddressShare, 1, 100) / 100
	largestKB := float64(largestBody(bodyMemory, addressShare) >> 10)
	maxBody := r.optionalNumber("max_body_kb", min(defaultMaxBodyKB, largestKB), 1, 1<<20)
	if maxBody > largestKB {
		r.report("limits", "max_body_kb", "a body of this size may take more memory than body_memory_mb leaves to one large body of one address; the largest size is %g", largestKB)
	}
	return ClientLimits{
		BodyMemory:      int64(bodyMemory),
		SmallBodyMemory: int64(bodyMemory * smallBodyShare),
		MaxBody:         int64(maxBody * 1024),
		Connections:     int(connections),
		LinkConnections: int(links),
		Requests:        int(r.optionalNumber("max_requests", connections, 1, 1<<24)),
		AddressShare:    addressShare,
		BodyTimeout:     r.optionalSeconds("body_timeout_s", defaultBodySeconds),
		BodyWait:        r.optionalMillisOr("body_wait_ms", defaultBodyWaitMillis),
		MinBodyRate:     int64(r.optionalNumber("min_body_rate_kb", defaultBodyRateKB, 1, 1<<20) * 1024),
		HeaderBytes:     int(r.optionalNumber("max_header_kb", defaultHeaderKB, 1, 1024) * 1024),
		IdleTimeout:     r.optionalSeconds("idle_timeout_s", defaultIdleSeconds),
		ResponseTimeout: r.optionalSeconds("response_timeout_s", defaultResponseSeconds),
	}
}

// largestBody returns the size in bytes of the largest body that one address can send with an amount
// of memory for bodies.
func largestBody(bodyMemory, addressShare float64) int64 {
	return int64(math.Floor((bodyMemory*min(addressShare, 1-smallBodyShare) - bodyRounding) / LargeBodyCost))
}

// Clients returns what the clients of the process can take. Connections are bounded by memory and
// descriptors as well as by MaxConnections.
func (l Limits) Clients() ClientLimits {
	descriptors := uint64(l.MaxDescriptors)
	if descriptors == 0 {
		descriptors = processFDs()
	}
	usable := float64(max(descriptors, minFDs) - fileDescriptors)
	bodyMemory := float64(l.MemoryBytes) * bodyMemoryShare
	byMemory := float64(l.MemoryBytes>>20) * connectionsPerMB
	connections := int(max(1, min(float64(l.MaxConnections), usable*clientFDShare, byMemory)))
	return ClientLimits{
		BodyMemory:      int64(bodyMemory),
		SmallBodyMemory: int64(bodyMemory * smallBodyShare),
		MaxBody:         l.MaxBodyBytes,
		Connections:     connections,
		LinkConnections: int(max(1, min(usable*linkFDShare, byMemory))),
		Requests:        connections,
		AddressShare:    defaultAddressShare / 100.0,
		BodyTimeout:     defaultBodySeconds * time.Second,
		BodyWait:        defaultBodyWaitMillis * time.Millisecond,
		MinBodyRate:     defaultBodyRateKB << 10,
		HeaderBytes:     defaultHeaderKB << 10,
		IdleTimeout:     callIdleTimeout,
		ResponseTimeout: callResponseTimeout,
	}
}

const (
	// callIdleTimeout and callResponseTimeout are the timeouts of the callers of urgent calls, jobs
	// and feeds, who may read a feed more slowly than an answer about a job.
	callIdleTimeout     = 60 * time.Second
	callResponseTimeout = 10 * time.Second
)

// isSet reports whether a key of the limits has a value.
func (r *entryReader) isSet(key string) bool {
	return r.parsed.Section("limits").Key(key).String() != ""
}

// optionalNumber returns the default if the value is missing or empty.
func (r *entryReader) optionalNumber(key string, defaultValue, minimum, maximum float64) float64 {
	if r.isSet(key) {
		return r.number("limits", key, minimum, maximum)
	}
	if defaultValue < minimum {
		r.report("limits", key, "the value is missing, and the one that follows from memory_mb and max_fds, %g, is below %g", defaultValue, minimum)
	}
	return defaultValue
}

// optionalSeconds and optionalMillisOr return the default if the value is missing or empty. A
// timeout of 0 would close every connection.
func (r *entryReader) optionalSeconds(key string, defaultValue float64) time.Duration {
	return time.Duration(r.optionalNumber(key, defaultValue, 1, maxSettingSeconds) * float64(time.Second))
}

func (r *entryReader) optionalMillisOr(key string, defaultValue float64) time.Duration {
	return time.Duration(r.optionalNumber(key, defaultValue, 1, maxSettingSeconds*1000) * float64(time.Millisecond))
}
