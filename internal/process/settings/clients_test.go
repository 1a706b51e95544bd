package settings

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// withLimits returns settings with the given memory and further limits.
func withLimits(t *testing.T, memory string, lines ...string) []byte {
	t.Helper()
	text := strings.Replace(filledTemplate(t), "memory_mb = 20", "memory_mb = "+memory, 1)
	return []byte(strings.Replace(text, "max_fds = 4100", strings.Join(lines, "\n"), 1))
}

// An instance that states only its memory and descriptors must get limits that fit them, with
// descriptors left for the log and the backend servers, and memory for a body of full size.
func TestClientLimitsFollowFromMemoryAndDescriptors(t *testing.T) {
	s, problems := ParseEntrySettings("file", withLimits(t, "184", "max_fds = 4100"))
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.DeepEqual(t, s.Clients, ClientLimits{
		BodyMemory: 23 << 20, SmallBodyMemory: 23 << 17, MaxBody: 1 << 20, Connections: 1472, LinkConnections: 487, Requests: 1472,
		AddressShare: 0.9, BodyTimeout: 10 * time.Second, BodyWait: time.Second, MinBodyRate: 8 << 10, HeaderBytes: 16 << 10,
		IdleTimeout: 5 * time.Minute, ResponseTimeout: 5 * time.Second})
	assert.Assert(t, s.Clients.Connections+s.Clients.LinkConnections+4*350 < 4100-fileDescriptors)
	s, problems = ParseEntrySettings("file", withLimits(t, "16", "max_fds = 256"))
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Assert(t, s.Clients.MaxBody >= 200<<10 && s.Clients.Connections >= 28, "%+v", s.Clients)
	// Settings of an earlier version don't state the descriptors.
	_, problems = ParseEntrySettings("file", withLimits(t, "184", "max_fds = "))
	assert.Equal(t, len(problems), 0, "%v", problems)
}

// Limits that are out of range or contradict each other must stop the start.
func TestContradictoryClientLimitsAreReported(t *testing.T) {
	for _, lines := range [][]string{{"max_fds = 255"}, {"max_fds = many"}, {"max_fds = 4100", "max_connections = 3"},
		{"max_fds = 600", "max_connections = 390"}, {"max_fds = 4100", "body_memory_mb = 93"}, {"max_fds = 4100", "max_body_kb = 4000"},
		{"max_fds = 4100", "address_share_percent = 1", "max_body_kb = 256"}, {"max_fds = 4100", "address_share_percent = 101"},
		{"max_fds = 4100", "body_timeout_s = 0"}, {"max_fds = 4100", "min_body_rate_kb = -1"}, {"max_fds = 4100", "max_requests = 0"}} {
		_, problems := ParseEntrySettings("file", withLimits(t, "184", lines...))
		assert.Equal(t, len(problems), 1, "%v: %v", lines, problems)
	}
}

// Guards against settings of the program for urgent calls whose limits of clients don't follow from
// its memory, descriptors and connections, or that allow a body which no client could ever send.
func TestClientLimitsOfCallsFollowFromSettings(t *testing.T) {
	parse := func(lines string) (*Settings, []Problem) {
		return Parse("s", []byte(minimalSettings+"[limits]\n"+lines))
	}
	s, problems := parse("memory = 64MB\nbody = 256KB\ndescriptors = 600\n")
	assert.Equal(t, len(problems), 0, "%v", problems)
	clients := s.Limits.Clients()
	assert.Equal(t, clients.Connections, 200)
	assert.Equal(t, clients.LinkConnections, 50)
	assert.Equal(t, clients.MaxBody, int64(256<<10))
	assert.Equal(t, clients.BodyMemory, int64(8<<20))
	s, problems = parse("memory = 64MB\nbody = 256KB\nconnections = 7\n")
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, s.Limits.Clients().Connections, 7)
	s, problems = Parse("s", []byte(minimalSettings))
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, s.Limits.Clients().MaxBody, int64(1<<20))
	s, problems = parse("memory = 32MB\n")
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Assert(t, s.Limits.MaxBodyBytes > 256<<10 && s.Limits.MaxBodyBytes < 1<<20, "%d", s.Limits.MaxBodyBytes)
	for _, lines := range []string{"memory = 64MB\nbody = 1MB\n", "memory = 1KB\n", "memory = 1\n", "descriptors = 255\n", "descriptors = many\n", "body = 64MB\n"} {
		_, problems := parse(lines)
		assert.Equal(t, len(problems), 1, "%s: %v", lines, problems)
	}
}
