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

// echoHandler answers a request with the request's identifier, repeated as
// often as the body says. For service "wait" it first waits for cancellation.
type echoHandler struct {
	peer.Handlers
	mu   sync.Mutex
	runs map[ident.RequestID]int
}

func (e *echoHandler) Hello(codec.Hello) {}

func (e *echoHandler) GrantLease(_ ident.Incarnation, grantRequest codec.LeaseGrantRequest) codec.LeaseGrantReply {
	return codec.LeaseGrantReply{Epoch: grantRequest.Epoch, Granted: true}
}

func (e *echoHandler) RunForwarded(ctx context.Context, _ ident.Incarnation, _ uint64, request work.Request) work.Answer {
	e.mu.Lock()
	e.runs[request.ID]++
	e.mu.Unlock()
	if request.Service == "wait" {
		<-ctx.Done()
	}
	return work.Answer{Request: request.ID, Outcome: fault.Ran, Body: expectedBody(request)}
}

func (e *echoHandler) Resolve(_ context.Context, _ ident.Incarnation, _ uint64, id ident.RequestID) work.Answer {
	return work.Answer{Request: id, Outcome: fault.Unknown}
}

func (e *echoHandler) ran(id ident.RequestID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id] > 0
}

func expectedBody(request work.Request) []byte {
	count, _ := strconv.Atoi(string(request.Body))
	return bytes.Repeat([]byte(request.ID), count)
}

func newNode(nonce uint64, dialer peer.Dialer, handler *echoHandler) *peer.Node {
	return peer.NewNode(peer.Config{
		Self:        ident.Incarnation{Instance: "entry", Nonce: nonce},
		Origin:      workers.Origin{Region: "cascades"},
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

// withConnectedNodes runs test in virtual time with two nodes that are
// connected over an in-memory network.
func withConnectedNodes(t *testing.T, test func(t *testing.T, network *peer.MemoryNetwork, requester *peer.Node, handler *echoHandler)) {
	virtualtime.Test(t, func(t *testing.T) {
		network := peer.NewMemoryNetwork(seed)
		handler := &echoHandler{runs: map[ident.RequestID]int{}}
		requester, owner := newNode(1, network, handler), newNode(2, network, handler)
		network.Listen("owner", owner.Accept)
		requester.SetMembers([]membership.Member{member(2, "owner")})
		synctest.Wait()
		test(t, network, requester, handler)
		requester.Close()
		owner.Close()
	})
}

func forward(t *testing.T, requester *peer.Node, timeout time.Duration, request work.Request) (work.Answer, error) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return requester.Forward(ctx, member(2, "owner"), 1, request)
}

func request(id, size int) work.Request {
	return work.Request{ID: ident.RequestID(fmt.Sprintf("request-%03d.", id)), Body: []byte(strconv.Itoa(size))}
}

// While messages are dropped, duplicated, reordered and delayed, and connections
// are closed, each request must end with its own complete answer or with a typed
// error. An answer must not be mixed up, truncated or another request's, and an
// error must not say NotRun for a request that ran.
func TestFaultyLinkGivesCompleteAnswerOrTypedError(t *testing.T) {
	t.Logf("seed %d", seed)
	withConnectedNodes(t, func(t *testing.T, network *peer.MemoryNetwork, requester *peer.Node, handler *echoHandler) {
		network.SetFaults(peer.Faults{Drop: 0.01, Duplicate: 0.05, Reorder: 0.02, CloseConnection: 0.004, MaxDelay: 20 * time.Millisecond})
		var group sync.WaitGroup
		var mu sync.Mutex
		succeeded, failed := 0, 0
		for i := range 400 {
			time.Sleep(10 * time.Millisecond)
			group.Go(func() {
				sent := request(i, 1+i%7*i*10)
				got, err := forward(t, requester, 3*time.Second, sent)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					succeeded++
					assert.Check(t, bytes.Equal(got.Body, expectedBody(sent)), "request %d got a body that is not its own complete answer", i)
					return
				}
				failed++
				failure := fault.From(err)
				assert.Check(t, failure.Kind != fault.Internal, "%v", err)
				assert.Check(t, failure.Outcome != fault.NotRun || !handler.ran(sent.ID), "%v", err)
			})
		}
		group.Wait()
		t.Logf("%d complete answers, %d failed requests, %d late messages", succeeded, failed, requester.LateMessages())
		assert.Assert(t, succeeded > 0 && failed > 0)
	})
}

// A link is lost once after and once before the request was sent. The request
// must not be reported as possibly run although it was never sent, nor as not
// run although it was sent.
func TestLostLinkTellsWhetherRequestWasSent(t *testing.T) {
	withConnectedNodes(t, func(t *testing.T, network *peer.MemoryNetwork, requester *peer.Node, handler *echoHandler) {
		sent := request(1, 1)
		sent.Service = "wait"
		time.AfterFunc(time.Second, func() {
			network.Listen("owner", nil)
			network.Intercept(func([]byte) peer.MessageAction { return peer.CloseConnection })
		})
		_, err := forward(t, requester, 10*time.Second, sent)
		assert.Equal(t, fault.KindOf(err), fault.PeerLost)
		assert.Equal(t, fault.From(err).Outcome, fault.Unknown)
		assert.Assert(t, handler.ran(sent.ID))

		_, err = forward(t, requester, 10*time.Second, request(2, 1))
		assert.Equal(t, fault.KindOf(err), fault.PeerUnreachable)
		assert.Equal(t, fault.From(err).Outcome, fault.NotRun)
	})
}

// When the requester gives up, its request must not keep running at the owner.
func TestCancellationReachesTheOwner(t *testing.T) {
	withConnectedNodes(t, func(t *testing.T, _ *peer.MemoryNetwork, requester *peer.Node, handler *echoHandler) {
		sent := request(1, 1)
		sent.Service = "wait"
		_, err := forward(t, requester, time.Second, sent)
		assert.Equal(t, fault.KindOf(err), fault.DeadlineExceeded)
		synctest.Wait()
		// A handler that still waited would keep Close from returning. The head
		// and the frame of the answer that the cancelled handler sends are
		// counted as late.
		assert.Equal(t, requester.LateMessages(), uint64(2))
	})
}

// A request for one incarnation must not reach another incarnation that has
// taken over its address.
func TestOtherIncarnationIsRefused(t *testing.T) {
	withConnectedNodes(t, func(t *testing.T, network *peer.MemoryNetwork, requester *peer.Node, handler *echoHandler) {
		requester.SetMembers([]membership.Member{member(3, "owner")})
		time.Sleep(5 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := requester.Forward(ctx, member(3, "owner"), 1, request(1, 1))
		assert.Assert(t, errors.Is(err, fault.New(fault.PeerUnreachable, "")))
		assert.Assert(t, !handler.ran("request-001."))
	})
}

// A small answer must not wait until a large one has been sent.
func TestSmallAnswerPassesLargeOne(t *testing.T) {
	withConnectedNodes(t, func(t *testing.T, network *peer.MemoryNetwork, requester *peer.Node, _ *echoHandler) {
		var frames []codec.PeerFrame
		var mu sync.Mutex
		network.Intercept(func(data []byte) peer.MessageAction {
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
			_, err := forward(t, requester, time.Minute, request(1, 200_000))
			assert.Check(t, err)
		})
		time.Sleep(10 * time.Millisecond)
		started := time.Now()
		_, err := forward(t, requester, time.Minute, request(2, 1))
		assert.NilError(t, err)
		// The request, the answer's head and its only frame take a millisecond
		// each, and each may wait for at most one message of the large answer.
		assert.Assert(t, time.Since(started) <= 6*time.Millisecond, "%v", time.Since(started))
		group.Wait()
		for _, frame := range frames {
			if part, isFrame := frame.Message.(*codec.AnswerFrame); isFrame {
				assert.Assert(t, len(part.Data) <= peer.FrameBytes)
			}
		}
	})
}

// The sender of a large answer must stop after one window until the receiver
// acknowledges it, or the answer would use up memory in transit. The network
// drops every Window message.
func TestWindowBoundsAnAnswerInFlight(t *testing.T) {
	withConnectedNodes(t, func(t *testing.T, network *peer.MemoryNetwork, requester *peer.Node, _ *echoHandler) {
		var sent atomic.Int64
		network.Intercept(func(data []byte) peer.MessageAction {
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
		_, err := forward(t, requester, time.Second, request(1, 200_000))
		assert.Equal(t, fault.KindOf(err), fault.DeadlineExceeded)
		assert.Equal(t, sent.Load(), int64(peer.WindowBytes))
	})
}

// Links must work over the WebSocket transport too. The other tests use the
// in-memory network and would not show a fault in it.
func TestWebSocketLinkCarriesAnswers(t *testing.T) {
	handler := &echoHandler{runs: map[ident.RequestID]int{}}
	owner := newNode(2, peer.WebSocket{}, handler)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, peer.Handler(owner, nil))
	server := httptest.NewServer(mux)
	requester := newNode(1, peer.WebSocket{}, handler)
	defer server.Close()
	defer owner.Close()
	defer requester.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	requester.SetMembers([]membership.Member{member(2, address)})
	sent := request(1, 100_000)
	var got work.Answer
	var err error
	for range 200 {
		got, err = forward(t, requester, 10*time.Second, sent)
		if fault.KindOf(err) != fault.PeerUnreachable {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got.Body, expectedBody(sent)))
	grantReply, err := requester.RequestLeaseGrant(t.Context(), member(2, address).ID, codec.LeaseGrantRequest{Epoch: 9})
	assert.NilError(t, err)
	assert.Equal(t, grantReply.Epoch, ident.Epoch(9))
	assert.Assert(t, requester.SentBytesByRegion()["cascades"] > 0)
}
