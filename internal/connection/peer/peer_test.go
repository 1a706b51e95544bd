package peer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/connection/peer"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/answer"
	"poplarvalve/internal/version/membership"
	"poplarvalve/internal/version/workers"
	"poplarvalve/test/virtualtime"
)

const seed = 20261204

// echo answers a request with its identifier, repeated as often as its body says.
type echo struct {
	peer.Handlers
	mu   sync.Mutex
	runs map[ident.RequestID]int
}

func (e *echo) Hello(codec.Hello) {}

func (e *echo) Promise(_ ident.Incarnation, promise codec.Promise) codec.Promised {
	return codec.Promised{Epoch: promise.Epoch, Granted: true}
}

func (e *echo) Forwarded(ctx context.Context, _ ident.Incarnation, _ uint64, request work.Request) work.Answer {
	e.mu.Lock()
	e.runs[request.ID]++
	e.mu.Unlock()
	if request.Service == "wait" {
		<-ctx.Done()
	}
	return work.Answer{Request: request.ID, Outcome: fault.Ran, Body: want(request)}
}

func (e *echo) Resolve(_ context.Context, _ ident.Incarnation, _ uint64, id ident.RequestID) work.Answer {
	return work.Answer{Request: id, Outcome: fault.Unknown}
}

func (e *echo) ran(id ident.RequestID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id] > 0
}

func want(request work.Request) []byte {
	count, _ := strconv.Atoi(string(request.Body))
	return bytes.Repeat([]byte(request.ID), count)
}

func newNode(nonce uint64, dialer peer.Dialer, handler *echo) *peer.Node {
	return peer.NewNode(peer.Config{
		Self:        ident.Incarnation{Instance: "entry", Nonce: nonce},
		Place:       workers.Place{Region: "cascades"},
		Clock:       clock.System{},
		Dialer:      dialer,
		Status:      func() peer.Status { return peer.Status{} },
		NewAssembly: func() peer.Assembly { return &answer.Assembly{} },
		Requests:    handler,
		Handlers:    handler,
		Seed:        seed,
	})
}

func member(nonce uint64, address string) membership.Member {
	return membership.Member{ID: ident.Incarnation{Instance: "entry", Nonce: nonce}, PeerAddress: address}
}

// pair runs test with two connected nodes on a network inside a bubble.
func pair(t *testing.T, test func(t *testing.T, network *peer.Memory, front *peer.Node, handler *echo)) {
	virtualtime.Test(t, func(t *testing.T) {
		network := peer.NewMemory(seed)
		handler := &echo{runs: map[ident.RequestID]int{}}
		front, owner := newNode(1, network, handler), newNode(2, network, handler)
		network.Listen("owner", owner.Accept)
		front.Keep([]membership.Member{member(2, "owner")})
		synctest.Wait()
		test(t, network, front, handler)
		front.Close()
		owner.Close()
	})
}

func forward(t *testing.T, front *peer.Node, limit time.Duration, request work.Request) (work.Answer, error) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	return front.Forward(ctx, member(2, "owner"), 1, request)
}

func request(id, size int) work.Request {
	return work.Request{ID: ident.RequestID(fmt.Sprintf("request-%03d.", id)), Body: []byte(strconv.Itoa(size))}
}

// Guards against an answer that is mixed up, cut or taken from another request,
// and against a false NotRun, while messages are dropped, repeated, reordered,
// delayed and cut.
func TestFaultyLinkGivesWholeAnswerOrTypedError(t *testing.T) {
	t.Logf("seed %d", seed)
	pair(t, func(t *testing.T, network *peer.Memory, front *peer.Node, handler *echo) {
		network.SetFaults(peer.Faults{Drop: 0.01, Duplicate: 0.05, Reorder: 0.02, Cut: 0.004, MaxDelay: 20 * time.Millisecond})
		var group sync.WaitGroup
		var mu sync.Mutex
		whole, failed := 0, 0
		for i := range 400 {
			time.Sleep(10 * time.Millisecond)
			group.Go(func() {
				asked := request(i, 1+i%7*i*10)
				got, err := forward(t, front, 3*time.Second, asked)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					whole++
					assert.Check(t, bytes.Equal(got.Body, want(asked)), "request %d", i)
					return
				}
				failed++
				failure := fault.From(err)
				assert.Check(t, failure.Kind != fault.Internal, "%v", err)
				assert.Check(t, failure.Outcome != fault.NotRun || !handler.ran(asked.ID), "%v", err)
			})
		}
		group.Wait()
		t.Logf("%d whole, %d failed, %d late messages", whole, failed, front.Late())
		assert.Assert(t, whole > 0 && failed > 0)
	})
}

// Guards against a request that is reported as lost although it never left, or
// as not run although it had left.
func TestLostLinkTellsWhetherTheRequestLeft(t *testing.T) {
	pair(t, func(t *testing.T, network *peer.Memory, front *peer.Node, handler *echo) {
		asked := request(1, 1)
		asked.Service = "wait"
		time.AfterFunc(time.Second, func() {
			network.Listen("owner", nil)
			network.Intercept(func([]byte) peer.Verdict { return peer.Cut })
		})
		_, err := forward(t, front, 10*time.Second, asked)
		assert.Equal(t, fault.KindOf(err), fault.PeerLost)
		assert.Equal(t, fault.From(err).Outcome, fault.Unknown)
		assert.Assert(t, handler.ran(asked.ID))

		_, err = forward(t, front, 10*time.Second, request(2, 1))
		assert.Equal(t, fault.KindOf(err), fault.PeerUnreachable)
		assert.Equal(t, fault.From(err).Outcome, fault.NotRun)
	})
}

// Guards against a canceled request that goes on at the owner.
func TestCancellationReachesTheOwner(t *testing.T) {
	pair(t, func(t *testing.T, _ *peer.Memory, front *peer.Node, handler *echo) {
		asked := request(1, 1)
		asked.Service = "wait"
		_, err := forward(t, front, time.Second, asked)
		assert.Equal(t, fault.KindOf(err), fault.DeadlineExceeded)
		synctest.Wait()
		// A handler that still waited would keep Close from returning, and the
		// answer of the ended handler is late.
		assert.Equal(t, front.Late(), uint64(2))
	})
}

// Guards against messages that reach the successor of the incarnation they were
// meant for.
func TestOtherIncarnationIsRefused(t *testing.T) {
	pair(t, func(t *testing.T, network *peer.Memory, front *peer.Node, handler *echo) {
		front.Keep([]membership.Member{member(3, "owner")})
		time.Sleep(5 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := front.Forward(ctx, member(3, "owner"), 1, request(1, 1))
		assert.Assert(t, errors.Is(err, fault.New(fault.PeerUnreachable, "")))
		assert.Assert(t, !handler.ran("request-001."))
	})
}

// Guards against small answers that wait behind a large one.
func TestSmallAnswerPassesLargeOne(t *testing.T) {
	pair(t, func(t *testing.T, network *peer.Memory, front *peer.Node, _ *echo) {
		var frames []codec.PeerFrame
		var mu sync.Mutex
		network.Intercept(func(data []byte) peer.Verdict {
			time.Sleep(time.Millisecond)
			frame, err := codec.DecodePeer(data)
			assert.Check(t, err)
			mu.Lock()
			defer mu.Unlock()
			frames = append(frames, frame)
			return peer.Deliver
		})
		var group sync.WaitGroup
		defer group.Wait()
		group.Go(func() {
			_, err := forward(t, front, time.Minute, request(1, 200_000))
			assert.Check(t, err)
		})
		time.Sleep(10 * time.Millisecond)
		started := time.Now()
		_, err := forward(t, front, time.Minute, request(2, 1))
		assert.NilError(t, err)
		// The request, its head and its only frame take a millisecond each, and
		// each may wait for at most one message of the other answer.
		assert.Assert(t, time.Since(started) <= 6*time.Millisecond, "%v", time.Since(started))
		group.Wait()
		for _, frame := range frames {
			if part, isFrame := frame.Message.(*codec.AnswerFrame); isFrame {
				assert.Assert(t, len(part.Data) <= peer.FrameBytes)
			}
		}
	})
}

// Guards against a large answer that fills memory while its receiver takes
// nothing.
func TestWindowBoundsAnAnswerInFlight(t *testing.T) {
	pair(t, func(t *testing.T, network *peer.Memory, front *peer.Node, _ *echo) {
		var sent atomic.Int64
		network.Intercept(func(data []byte) peer.Verdict {
			frame, err := codec.DecodePeer(data)
			assert.Check(t, err)
			switch message := frame.Message.(type) {
			case *codec.AnswerFrame:
				sent.Add(int64(len(message.Data)))
			case *codec.Window:
				return peer.Drop
			}
			return peer.Deliver
		})
		_, err := forward(t, front, time.Second, request(1, 200_000))
		assert.Equal(t, fault.KindOf(err), fault.DeadlineExceeded)
		assert.Equal(t, sent.Load(), int64(peer.WindowBytes))
	})
}

// Guards against a break between the WebSocket transport and the links.
func TestWebSocketLinkCarriesAnswers(t *testing.T) {
	handler := &echo{runs: map[ident.RequestID]int{}}
	owner := newNode(2, peer.WebSocket{}, handler)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, peer.Handler(owner))
	server := httptest.NewServer(mux)
	front := newNode(1, peer.WebSocket{}, handler)
	defer server.Close()
	defer owner.Close()
	defer front.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	front.Keep([]membership.Member{member(2, address)})
	asked := request(1, 100_000)
	var got work.Answer
	var err error
	for range 200 {
		got, err = forward(t, front, 10*time.Second, asked)
		if fault.KindOf(err) != fault.PeerUnreachable {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got.Body, want(asked)))
	promised, err := front.Promise(t.Context(), member(2, address).ID, codec.Promise{Epoch: 9})
	assert.NilError(t, err)
	assert.Equal(t, promised.Epoch, ident.Epoch(9))
	assert.Assert(t, front.Sent()["cascades"] > 0)
}
