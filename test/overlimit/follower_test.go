package overlimit

import (
	"context"
	"fmt"
	"net"
	"testing"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"
)

// linkBytesPerSecond is the rate of a link of 10 Mbit/s, the slowest one of a machine.
const linkBytesPerSecond = 10_000_000 / 8

// startSlowLink starts an HTTP proxy with the rate of a slow link, for both directions together,
// through which links to one address are opened. It returns the address of the proxy.
func startSlowLink(t *testing.T, target string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	const piece, socketBuffer = 4 << 10, 64 << 10
	limiter := rate.NewLimiter(linkBytesPerSecond, piece)
	forward := func(to, from net.Conn) {
		defer to.Close()
		defer from.Close()
		buffer := make([]byte, piece)
		for {
			n, err := from.Read(buffer)
			if n > 0 && limiter.WaitN(context.Background(), n) == nil {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				continue
			}
			// What waits in the buffers of the system would arrive without the limit.
			_ = client.(*net.TCPConn).SetReadBuffer(socketBuffer)
			go forward(server, client)
			go forward(client, server)
		}
	}()
	return listener.Addr().String()
}

// Guards against an instance that holds what it can't hand on: its link to the leader carries 15 of
// the crowd's jobs a second. It must keep within its memory and stay linked, so that ordinary callers
// are served there, also when a job waits behind larger ones.
func TestCrowdOnFollowerBehindSlowLink(t *testing.T) {
	leader := startInstance(t)
	// An HTTP client uses no proxy for loopback addresses, so that the link needs this one.
	listener, err := net.Listen("tcp", "0.0.0.0:0")
	assert.NilError(t, err)
	leader.addresses.links = fmt.Sprint("0.0.0.0:", listener.Addr().(*net.TCPAddr).Port)
	assert.NilError(t, listener.Close())
	leader.kill()
	leader.run()
	follower := newInstance(t, leader.log, leader.program, t.TempDir(), 1, memoryMB)
	follower.addresses.links = follower.ip + ":8163"
	follower.environment = []string{"HTTP_PROXY=http://" + startSlowLink(t, leader.addresses.links)}
	follower.submissions = 1000 // Its jobs are others than those of the leader.
	follower.run()
	follower.addressOf = func(int) string { return follower.addresses.callers }
	follower.ordinaryAddress = &net.TCPAddr{IP: net.IPv4(127, 3, 3, 3)}
	r := &jobsRig{instance: follower, body: jobOfSteps()}
	r.checkJobs(10)
	leader.checkLimits()
}
