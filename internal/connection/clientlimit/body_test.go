package clientlimit

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/membudget"
	"poplarvalve/internal/process/settings"
)

// testLimits returns the limits of a process with 64 MB of memory.
func testLimits(t *testing.T) settings.ClientLimits {
	t.Helper()
	return settings.ClientLimits{BodyMemory: 8 << 20, SmallBodyMemory: 1 << 20, MaxBody: 256 << 10, Connections: 4, LinkConnections: 2, Requests: 3,
		AddressShare: 0.9, BodyTimeout: 10e9, BodyWait: 1e6, MinBodyRate: 8 << 10, HeaderBytes: 16 << 10, IdleTimeout: 300e9, ResponseTimeout: 5e9}
}

// recorder records the reasons of refusals.
type recorder struct{ reasons []string }

func (r *recorder) ClientRefused(reason, _ string) { r.reasons = append(r.reasons, reason) }

// countingReader counts the calls of Read.
type countingReader struct {
	io.Reader
	calls int
}

func (c *countingReader) Read(p []byte) (int, error) {
	c.calls++
	return c.Reader.Read(p)
}

// bodies returns a reader of bodies with its budget.
func bodies(t *testing.T) (*Bodies, *membudget.Budget, *recorder) {
	limits, observer := testLimits(t), &recorder{}
	budget := NewBudget(limits)
	return NewBodies(ConfigFrom(limits), budget, observer), budget, observer
}

func requestWith(body io.Reader, length int64) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/", body)
	r.ContentLength = length
	return r
}

// A body must arrive unchanged whatever its size and its parts are, and its memory must be held
// until it is released.
func TestBodyIsReadUnchanged(t *testing.T) {
	for _, size := range []int{0, 1, firstBytes - 1, firstBytes, firstBytes + 1, SmallBody, SmallBody + 1, SmallBody + slabBytes, 100001, 256 << 10} {
		content := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
		for name, part := range map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "halves": iotest.HalfReader,
			"end with data": iotest.DataErrReader} {
			for _, length := range []int64{int64(size), -1} {
				l, budget, _ := bodies(t)
				source := part(bytes.NewReader(content))
				body, reason := l.Read(requestWith(source, length))
				assert.Equal(t, reason, None, "%s, %d bytes, length %d", name, size, length)
				assert.Assert(t, bytes.Equal(body.Raw, content), "%s, %d bytes, length %d", name, size, length)
				assert.Assert(t, budget.State().Used() >= int64(size))
				body.Decoded(10)
				assert.Assert(t, budget.State().Used() <= 10)
				body.Release()
				body.Release()
				assert.Equal(t, budget.State().Used(), int64(0))
			}
		}
	}
}

// A body that can't be read must be refused with a reason that fits, and release its memory. One
// that is announced to be too large must be refused before a byte of it is read.
func TestBodiesBeyondLimitsAreRefused(t *testing.T) {
	large := strings.Repeat("x", 300<<10)
	for _, c := range []struct {
		name   string
		source io.Reader
		length int64
		reason Reason
		status int
		calls  int
	}{
		{"announced over the limit", strings.NewReader(large), int64(len(large)), TooLarge, http.StatusRequestEntityTooLarge, 0},
		{"sent over the limit", strings.NewReader(large), -1, TooLarge, http.StatusRequestEntityTooLarge, -1},
		{"fails", iotest.ErrReader(errors.New("framing")), -1, BadBody, http.StatusBadRequest, 1},
		{"ends early", io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF)), 10, BadBody, http.StatusBadRequest, 2},
	} {
		l, budget, observer := bodies(t)
		source := &countingReader{Reader: c.source}
		body, reason := l.Read(requestWith(source, c.length))
		assert.Assert(t, body == nil, c.name)
		assert.Equal(t, reason, c.reason, c.name)
		assert.Equal(t, reason.Status(), c.status, c.name)
		assert.Assert(t, c.calls < 0 || source.calls == c.calls, "%s: %d calls", c.name, source.calls)
		assert.Equal(t, budget.State().Used(), int64(0), c.name)
		assert.DeepEqual(t, observer.reasons, []string{c.reason.String()})
	}
}

// Without memory a large body must be refused, with a time to try again, and a small one served.
func TestLargeBodyIsRefusedIfMemoryIsShort(t *testing.T) {
	l, budget, _ := bodies(t)
	var other membudget.Account
	holder := budget.Open(&other)
	assert.Assert(t, holder.TryAcquire(7<<20))
	content := strings.Repeat("x", 100<<10)
	_, reason := l.Read(requestWith(strings.NewReader(content), int64(len(content))))
	assert.Equal(t, reason, MemoryShort)
	answer := httptest.NewRecorder()
	reason.WriteHeader(answer)
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
	assert.Equal(t, answer.Header().Get("Retry-After"), "1")
	assert.Equal(t, answer.Header().Get("Connection"), "close")
	body, reason := l.Read(requestWith(strings.NewReader("small"), 5))
	assert.Equal(t, reason, None)
	body.Release()
	holder.Close()
	body, reason = l.Read(requestWith(strings.NewReader(content), int64(len(content))))
	assert.Equal(t, reason, None)
	body.Release()
	assert.Equal(t, budget.State().Used(), int64(0))
}

// panicking panics after some bytes.
type panicking struct{ left int }

func (p *panicking) Read(b []byte) (int, error) {
	if p.left == 0 {
		panic("the source of a body fails")
	}
	n := min(len(b), p.left)
	p.left -= n
	return n, nil
}

// A panic while a body is read ends only its request. The memory that the request held must not
// be lost to all others.
func TestPanicReleasesMemory(t *testing.T) {
	for _, size := range []int{10, 100 << 10} {
		l, budget, _ := bodies(t)
		func() {
			defer func() { assert.Assert(t, recover() != nil) }()
			_, _ = l.Read(requestWith(&panicking{size}, -1))
		}()
		assert.Equal(t, budget.State().Used(), int64(0))
		assert.Assert(t, !budget.Evict(nil))
	}
}
