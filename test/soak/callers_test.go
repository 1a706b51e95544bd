package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

const (
	// answerTimeout is how long a caller waits for an answer. It is longer than the
	// grace period, so that the end of the process comes first.
	answerTimeout = 8 * time.Second
	// calmBefore is the time without unplanned disruption that must pass before a
	// request for its loss to count.
	calmBefore = 4 * time.Second
)

// persistentCaller sends requests to one instance on one connection for as long as
// the connection lasts.
type persistentCaller struct {
	d        *deployment
	instance *entryInstance
	name     string
	random   *rand.Rand
	// pause is the longest pause between two requests.
	pause   time.Duration
	conn    *net.TCPConn
	reader  *bufio.Reader
	lastJob string
	// submittedAt is the time of the last submission.
	submittedAt time.Time
	requests    int
	accepted    []string
	refused     []string
}

// run sends requests until stop is closed.
func (c *persistentCaller) run(stop <-chan struct{}) {
	defer c.disconnect()
	for {
		select {
		case <-stop:
			return
		default:
		}
		if c.conn == nil && !c.connect() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.sendNext()
		time.Sleep(time.Duration(c.random.Int64N(int64(c.pause))))
	}
}

func (c *persistentCaller) connect() bool {
	conn, err := net.DialTimeout("tcp", c.instance.ip+":8161", time.Second)
	if err != nil {
		return false
	}
	c.conn = conn.(*net.TCPConn)
	c.reader = bufio.NewReader(conn)
	return true
}

func (c *persistentCaller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// sendNext sends the next request: a submission now and then, otherwise a query.
func (c *persistentCaller) sendNext() {
	c.requests++
	if time.Since(c.submittedAt) > submissionInterval {
		c.submittedAt = time.Now()
		id := fmt.Sprintf("%s%07x", c.name, c.requests)
		switch status := c.exchange(http.MethodPost, "/j/"+id, smallJob); status {
		case http.StatusOK:
			c.accepted = append(c.accepted, id)
			c.lastJob = id
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound:
			c.refused = append(c.refused, id)
		}
		return
	}
	path := "/j/"
	if c.lastJob != "" && c.random.IntN(4) > 0 {
		path += c.lastJob
	}
	c.exchange(http.MethodGet, path, "")
}

// submissionInterval is the time between two submissions of a caller.
const submissionInterval = time.Second

// exchange sends one request and returns the status of the answer, or 0 if there is
// no complete answer. An answer that is missing although nothing but planned work
// was going on, and the process has read the request, is a failure.
func (c *persistentCaller) exchange(method, path, body string) int {
	sentAt := time.Now()
	_ = c.conn.SetDeadline(sentAt.Add(answerTimeout))
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
	if _, err := io.WriteString(c.conn, request); err != nil {
		c.disconnect()
		return 0
	}
	status, closing, err := c.readAnswer()
	if err != nil {
		c.judgeMissingAnswer(sentAt, method, path, err)
		c.disconnect()
		return 0
	}
	if closing {
		c.disconnect()
	}
	return status
}

// readAnswer reads an answer completely.
func (c *persistentCaller) readAnswer() (status int, closing bool, err error) {
	if _, err := c.reader.Peek(1); err != nil {
		return 0, false, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false, fmt.Errorf("incomplete answer: %w", err)
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0, false, fmt.Errorf("incomplete answer: %w", err)
	}
	return response.StatusCode, response.Close, nil
}

// judgeMissingAnswer reports a request without a complete answer unless there was an
// unplanned disruption or the process has not read the request.
func (c *persistentCaller) judgeMissingAnswer(sentAt time.Time, method, path string, err error) {
	endedAt := time.Now()
	wasRead := strings.HasPrefix(err.Error(), "incomplete answer") || c.requestWasRead()
	c.d.journal("%s: no complete answer to %s %s sent %v before: %v (read: %v)", c.instance.name, method, path, endedAt.Sub(sentAt), err, wasRead)
	if wasRead && c.d.disruptions.none(everything, sentAt.Add(-calmBefore), endedAt) {
		c.d.report("%s gave no complete answer to %s %s, which it had read, within %v: %v", c.instance.name, method, path, endedAt.Sub(sentAt), err)
	}
}

// States of a TCP connection in the kernel.
const (
	tcpEstablished = 1
	tcpCloseWait   = 8
)

// requestWasRead reports whether the other side has read everything that was sent on
// the connection. A process that closes a connection, or ends, with data left to read
// resets the connection. The kernel answers data that arrives after that with a reset,
// or drops it while it frees the connection, and acknowledges it in neither case.
func (c *persistentCaller) requestWasRead() bool {
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return false
	}
	var first, second *unix.TCPInfo
	controlError := raw.Control(func(fd uintptr) {
		if first, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			second, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		}
	})
	if controlError != nil || err != nil {
		return false
	}
	acknowledged := first.Unacked == 0 && first.Notsent_bytes == 0
	// The kernel reads the state before the other fields, and a reset between the two
	// clears these, so that only the second state shows the reset.
	return second.State == tcpEstablished || second.State == tcpCloseWait && acknowledged
}

// A request that the kernel dropped while the server closed its connection was taken
// for one that the server had read and not answered.
func TestOnlyRequestThatWasReadCountsAsRead(t *testing.T) {
	const request = "GET / HTTP/1.1\r\n\r\n"
	for name, test := range map[string]struct {
		// serve ends the connection and sends the request.
		serve func(t *testing.T, server *net.TCPConn, send func())
		open  bool
		read  bool
	}{
		"read, not answered": {read: true, serve: func(t *testing.T, server *net.TCPConn, send func()) {
			send()
			_, err := io.ReadFull(server, make([]byte, len(request)))
			assert.NilError(t, err)
			assert.NilError(t, server.Close())
		}},
		"read, connection still open": {read: true, open: true, serve: func(t *testing.T, server *net.TCPConn, send func()) {
			send()
			_, err := io.ReadFull(server, make([]byte, len(request)))
			assert.NilError(t, err)
		}},
		"not read": {serve: func(t *testing.T, server *net.TCPConn, send func()) {
			send()
			assert.NilError(t, server.Close())
		}},
		"sent after the close": {serve: func(t *testing.T, server *net.TCPConn, send func()) {
			assert.NilError(t, server.Close())
			send()
		}},
		"dropped by the kernel": {serve: func(t *testing.T, server *net.TCPConn, send func()) {
			dropIncoming(t, server)
			send()
			assert.NilError(t, server.Close())
		}},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			conn, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			server, err := listener.Accept()
			assert.NilError(t, err)
			defer server.Close()
			c := &persistentCaller{conn: conn.(*net.TCPConn)}
			test.serve(t, server.(*net.TCPConn), func() {
				_, err := io.WriteString(conn, request)
				assert.NilError(t, err)
			})
			if !test.open {
				_, err = conn.Read(make([]byte, 1))
				assert.Assert(t, err != nil)
			}
			assert.Equal(t, c.requestWasRead(), test.read)
		})
	}
}

// dropIncoming makes the kernel drop all that arrives on a connection.
func dropIncoming(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	raw, err := conn.SyscallConn()
	assert.NilError(t, err)
	dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
	controlError := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
	})
	assert.NilError(t, controlError)
	assert.NilError(t, err)
}
