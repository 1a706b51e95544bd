package celllink

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/cell"
	"poplarvalve/test/virtualtime"
)

const (
	// slowRate is the rate of a link of 10 Mbit/s in bytes a second.
	slowRate = 1_250_000
	// bufferedMessages is more than a sender can hand over in the test.
	bufferedMessages = 1 << 16
)

// slowConn is one end of a connection that carries slowRate bytes a second in each direction.
type slowConn struct {
	in, out chan []byte
	closed  chan struct{}
	once    *sync.Once
}

func newSlowConns() (a, b *slowConn) {
	forth, back, closed, once := make(chan []byte, bufferedMessages), make(chan []byte, bufferedMessages), make(chan struct{}), &sync.Once{}
	return &slowConn{in: back, out: forth, closed: closed, once: once},
		&slowConn{in: forth, out: back, closed: closed, once: once}
}

// Send hands the message to the buffers of the system, which have room for it.
func (c *slowConn) Send(_ context.Context, data []byte) error {
	select {
	case c.out <- data:
		return nil
	case <-c.closed:
		return fault.New(fault.PeerLost, "closed")
	}
}

func (c *slowConn) Receive(ctx context.Context) ([]byte, error) {
	select {
	case data := <-c.in:
		time.Sleep(time.Duration(len(data)) * time.Second / slowRate)
		return data, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.closed:
		return nil, fault.New(fault.PeerLost, "closed")
	}
}

func (c *slowConn) Close() { c.once.Do(func() { close(c.closed) }) }

// acceptingServer accepts each call after the time that the log takes.
type acceptingServer struct{ echoRecorder }

func (*acceptingServer) Serve(context.Context, cellcodec.Call) cellcodec.Reply {
	time.Sleep(10 * time.Millisecond)
	return cellcodec.Reply{Result: cellcodec.OK}
}

// submission returns a call with a job of a size.
func submission(bytes int) cellcodec.Call {
	return cellcodec.Call{Operation: cellcodec.OpSubmit, ID: "00000000000000aa", Terms: &cell.QueueTerms{Queue: "q"},
		Job: &jobspec.Job{Steps: []jobspec.Step{{Count: 1, Label: strings.Repeat("a", bytes)}}}}
}

// Guards against large submissions that wait in the buffers of a slow link until the heartbeats behind
// them come too late: the link was closed with all its calls, again and again, and callers of small
// jobs had no answer either. What the link can't carry must be refused at once, with a time to return.
func TestCrowdOfLargeSubmissionsLeavesSlowLinkOpen(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		near, far := newSlowConns()
		remote := open(far, &acceptingServer{*newEchoRecorder()})
		link := open(near, newEchoRecorder())
		defer remote.Close()
		defer link.Close()
		end := time.Now().Add(10 * time.Second)
		var calls sync.WaitGroup
		var accepted, refused, lost atomic.Int64
		for range 300 {
			calls.Go(func() {
				for time.Now().Before(end) && !link.Closed() {
					ctx, cancel := context.WithTimeout(t.Context(), 1200*time.Millisecond)
					reply, sent := link.Call(ctx, submission(80<<10))
					cancel()
					switch {
					case reply.Result == cellcodec.OK:
						accepted.Add(1)
					case reply.Result == cellcodec.Refused && !sent && reply.RetryAfterMillis >= 1000:
						refused.Add(1)
						time.Sleep(time.Duration(reply.RetryAfterMillis) * time.Millisecond)
					default:
						lost.Add(1)
					}
				}
			})
		}
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			begin := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 1200*time.Millisecond)
			reply, _ := link.Call(ctx, submission(500))
			cancel()
			assert.Equal(t, reply.Result, cellcodec.OK, "a small submission beside the crowd, after %v", time.Since(begin))
			assert.Assert(t, !link.Closed())
		}
		calls.Wait()
		t.Logf("%d accepted, %d refused, %d lost", accepted.Load(), refused.Load(), lost.Load())
		assert.Assert(t, accepted.Load() > 50 && refused.Load() > 0)
		assert.Equal(t, lost.Load(), int64(0))
		assert.Equal(t, link.window.State().Used(), int64(0), "room that is not given back")
	})
}
