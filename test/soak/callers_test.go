package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// answerTimeout is how long a caller waits for an answer. It is longer than the
	// grace period, so that the end of the process comes first.
	answerTimeout = 8 * time.Second
	// calmBefore is the time without unplanned disruption that must pass before a
	// request for its loss to count.
	calmBefore = 4 * time.Second
	// settleTime is how long a reset may take to arrive on loopback.
	settleTime = 20 * time.Millisecond
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
// resets the connection, and so does the kernel if data arrives after that.
func (c *persistentCaller) requestWasRead() bool {
	time.Sleep(settleTime)
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return false
	}
	state := 0
	controlError := raw.Control(func(fd uintptr) {
		// The first byte of TCP_INFO is the state.
		state, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		state &= 0xff
	})
	return controlError == nil && err == nil && (state == tcpCloseWait || state == tcpEstablished)
}
