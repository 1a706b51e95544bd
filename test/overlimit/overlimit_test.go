package overlimit

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

const (
	// bodyCrowd is the number of clients that send bodies or headers, and idleCrowd that of
	// the others.
	bodyCrowd = 300
	idleCrowd = 500
	// legalBytes is the largest body that the platform allows.
	legalBytes = 256 << 10
	// missingBytes is by how much a body stops short.
	missingBytes = 10
)

// submissionHead returns the first lines of a submission by one client, on the caller or the
// operator port.
func submissionHead(number int) string {
	if number%3 == 2 {
		return fmt.Sprintf("PUT /v1/queues/q/jobs/%016x HTTP/1.1\r\nHost: h\r\n", 0xf000+number)
	}
	return fmt.Sprintf("POST /j/%016x HTTP/1.1\r\nHost: h\r\n", 0xf000+number)
}

func (i *instance) withLength(number, length int) string {
	return i.head(number) + fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
}

func (i *instance) chunked(number int) string {
	return i.head(number) + "Transfer-Encoding: chunked\r\n\r\n"
}

// send writes parts to a connection until one fails. It fails once the instance has closed the
// connection, which the instance may.
func send(c net.Conn, parts ...string) bool {
	for _, part := range parts {
		if _, err := c.Write([]byte(part)); err != nil {
			return false
		}
	}
	return true
}

// sendInPieces sends data in pieces with a pause after each.
func sendInPieces(c net.Conn, data string, pieceBytes int, pause time.Duration) {
	for len(data) > 0 {
		n := min(pieceBytes, len(data))
		if !send(c, data[:n]) {
			return
		}
		data = data[n:]
		time.Sleep(pause)
	}
}

// exchange sends requests one after the other and reads something of the answer to each.
func exchange(c net.Conn, request string, count int) {
	answer := make([]byte, 1024)
	for range count {
		if !send(c, request) {
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.Read(answer); err != nil {
			return
		}
	}
}

// job returns a job of legal size that is padded to n bytes.
func job(n int) string {
	const start, end = `{"spec":"x","pad":"`, `","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":100}]}`
	return start + strings.Repeat("a", n-len(start)-len(end)) + end
}

// Each body that stalled just before its end was held in memory for as long as its client wanted.
func TestBodiesThatStopShort(t *testing.T) { startInstance(t).checkBodiesThatStopShort() }

func (i *instance) checkBodiesThatStopShort() {
	body := job(legalBytes)
	i.checkCrowd(bodyCrowd, func(number int, c net.Conn) {
		send(c, i.withLength(number, len(body)), body[:len(body)-missingBytes])
	})
}

// As above, but the size is not known beforehand and the bodies grow at the same time.
func TestBodiesPieceByPieceThatStopShort(t *testing.T) { startInstance(t).checkPiecesThatStopShort() }

func (i *instance) checkPiecesThatStopShort() {
	body := job(legalBytes)
	i.checkCrowd(bodyCrowd, func(number int, c net.Conn) {
		if send(c, i.withLength(number, len(body))) {
			sendInPieces(c, body[:len(body)-missingBytes], 8<<10, 20*time.Millisecond)
		}
	})
}

// A chunk of almost the limit was held in memory.
func TestHugeChunkThatStopsShort(t *testing.T) { startInstance(t).checkHugeChunkThatStopsShort() }

func (i *instance) checkHugeChunkThatStopsShort() {
	const chunk = 1 << 20
	data := job(chunk)
	i.checkCrowd(bodyCrowd, func(number int, c net.Conn) {
		send(c, i.chunked(number), fmt.Sprintf("%x\r\n", chunk), data[:chunk-missingBytes])
	})
}

// Chunks of a few bytes cost processor time and buffers for their framing too.
func TestTinyChunksThatStopShort(t *testing.T) { startInstance(t).checkTinyChunksThatStopShort() }

func (i *instance) checkTinyChunksThatStopShort() {
	body := job(240 << 10)
	var framed strings.Builder
	for i := 0; i+3 <= len(body); i += 3 {
		framed.WriteString("3\r\n" + body[i:i+3] + "\r\n")
	}
	data := framed.String()
	i.checkCrowd(bodyCrowd, func(number int, c net.Conn) { send(c, i.chunked(number), data) })
}

// Up to the limit was read of a body whose announced length is far over it.
func TestBodiesAnnouncedOverTheLimit(t *testing.T) {
	startInstance(t).checkBodiesAnnouncedOverTheLimit()
}

func (i *instance) checkBodiesAnnouncedOverTheLimit() {
	data := job(900 << 10)
	i.checkCrowd(bodyCrowd, func(number int, c net.Conn) {
		send(c, i.withLength(number, 1<<30), data)
	})
}

// The same holds for a body that goes on and on without an announced length.
func TestBodiesSentOverTheLimit(t *testing.T) { startInstance(t).checkBodiesSentOverTheLimit() }

func (i *instance) checkBodiesSentOverTheLimit() {
	piece := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat(" ", 64<<10))
	i.checkCrowd(bodyCrowd, func(number int, c net.Conn) {
		if !send(c, i.chunked(number)) {
			return
		}
		for range 32 {
			if !send(c, piece) {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// Large bodies that end and are no job are read and decoded at the same time.
func TestLargeBodiesThatAreNoJob(t *testing.T) { startInstance(t).checkLargeBodies() }

func (i *instance) checkLargeBodies() {
	body := strings.Repeat("x", legalBytes)
	i.checkCrowd(bodyCrowd, func(number int, c net.Conn) {
		exchange(c, i.withLength(number, len(body))+body, 5)
	})
}

// The decoded form of a body was many times as large as the body: 80,000 empty steps, 240 KB, were
// held as 16 MB after 77 MB had been allocated.
func TestLargeBodiesThatDecodeIntoMuchMore(t *testing.T) {
	bodies := []string{
		`{"spec":"x","steps":[` + strings.Repeat(`{},`, 80000) + `{}]}`,
		`{"spec":"x","steps":[{"count":1,"after":[` + strings.Repeat(`0,`, 120000) + `0]}]}`,
		`{"spec":"x","steps":` + strings.Repeat(`[`, 9000) + strings.Repeat(`]`, 9000) + `}`,
		`{` + strings.Repeat(`"steps":[{},{},{},{},{},{}],`, 9000) + `"spec":"x"}`,
	}
	i := startInstance(t)
	i.checkCrowd(bodyCrowd, func(number int, c net.Conn) {
		body := bodies[number/3%len(bodies)]
		exchange(c, i.withLength(number, len(body))+body, 5)
	})
}

// Clients that pipeline requests and never read the answers must not make the instance keep the
// answers.
func TestAnswersThatAreNeverRead(t *testing.T) {
	startInstance(t).checkAnswersThatAreNeverRead("GET /j/0000000000000001 HTTP/1.1\r\nHost: h\r\n\r\n")
}

func (i *instance) checkAnswersThatAreNeverRead(callerRequest string) {
	i.checkCrowd(bodyCrowd, func(number int, c net.Conn) {
		request := callerRequest
		if number%3 == 2 {
			request = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
		}
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		requests := bytes.Repeat([]byte(request), 64)
		for range 200 {
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			if _, err := c.Write(requests); err != nil {
				return
			}
		}
	})
}

// Connections on any port that are silent or half closed took all descriptors.
func TestConnectionsThatDoNothing(t *testing.T) { startInstance(t).checkConnectionsThatDoNothing() }

func (i *instance) checkConnectionsThatDoNothing() {
	i.addressOf = i.anyAddress
	i.checkCrowd(idleCrowd, func(number int, c net.Conn) {
		switch number / 4 % 6 {
		case 0, 1: // A request that was answered before.
			exchange(c, "GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n", 1)
		case 2:
			if send(c, i.withLength(0, 100), "{") {
				_ = c.(*net.TCPConn).CloseWrite() // Fails if the instance has closed the connection.
			}
		}
	})
}

// Headers of almost 1 MB each were held in memory, on any port.
func TestManyHeaderBytes(t *testing.T) { startInstance(t).checkManyHeaderBytes() }

func (i *instance) checkManyHeaderBytes() {
	var lines strings.Builder
	for i := 0; lines.Len() < 900<<10; i++ {
		fmt.Fprintf(&lines, "X-%d: %s\r\n", i, strings.Repeat("v", 50))
	}
	headers := "GET /j/0000000000000001 HTTP/1.1\r\nHost: h\r\n" + lines.String()
	i.addressOf = i.anyAddress
	i.checkCrowd(bodyCrowd, func(_ int, c net.Conn) { send(c, headers) })
}

// Many short lines take several times their size, within the limit of the size too.
func TestManyHeaderLines(t *testing.T) { startInstance(t).checkManyHeaderLines() }

func (i *instance) checkManyHeaderLines() {
	var lines strings.Builder
	for i := 0; lines.Len() < 15<<10; i++ {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	headers := "GET /j/0000000000000001 HTTP/1.1\r\nHost: h\r\n" + lines.String()
	i.addressOf = i.anyAddress
	i.checkCrowd(bodyCrowd, func(_ int, c net.Conn) { send(c, headers) })
}

// A link reads a message into memory before it decodes it, whoever has opened the link.
func TestLinkMessagesThatStopShort(t *testing.T) { startInstance(t).checkLinkMessagesThatStopShort() }

func (i *instance) checkLinkMessagesThatStopShort() {
	const length = 1 << 20
	frame := append([]byte{0x82, 0xff, 0, 0, 0, 0, 0, length >> 16, 0, 0}, make([]byte, 4+length-missingBytes)...)
	i.addressOf = func(int) string { return i.addresses.links }
	i.checkCrowd(bodyCrowd, func(_ int, c net.Conn) {
		exchange(c, "GET /peer HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"+
			"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\nSec-WebSocket-Protocol: poplarvalve.peer.v1\r\n\r\n", 1)
		send(c, string(frame))
	})
}
