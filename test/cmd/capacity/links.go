package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/connection/peer"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/answer"
	"poplarvalve/internal/version/membership"
	"poplarvalve/internal/version/workers"
)

// linkCosts is what the links between two instances cost each of the two. Both
// instances dial, so a pair has two connections.
type linkCosts struct {
	// sent is in bytes per second. It equals the bytes received per second.
	sent float64
	cpu  float64
	heap float64
}

// discardHandler accepts all peer messages and discards them. It counts the
// Hello messages.
type discardHandler struct{ hellos atomic.Int64 }

func (h *discardHandler) Hello(codec.Hello)                                { h.hellos.Add(1) }
func (h *discardHandler) Summary(ident.Incarnation, codec.Summary)         {}
func (h *discardHandler) ZoneTotal(ident.Incarnation, codec.ZoneTotal)     {}
func (h *discardHandler) ConfigOffer(ident.Incarnation, codec.ConfigOffer) {}
func (h *discardHandler) GrantLease(ident.Incarnation, codec.LeaseGrantRequest) codec.LeaseGrantReply {
	return codec.LeaseGrantReply{}
}
func (h *discardHandler) FindWorker(context.Context, ident.Incarnation, codec.WorkerRequest) codec.WorkerReply {
	return codec.WorkerReply{}
}
func (h *discardHandler) HandleJobOperation(context.Context, ident.Incarnation, codec.Job) (codec.JobDone, error) {
	return codec.JobDone{}, nil
}
func (h *discardHandler) RunForwarded(context.Context, ident.Incarnation, uint64, work.Request) work.Answer {
	return work.Answer{}
}
func (h *discardHandler) Resolve(context.Context, ident.Incarnation, uint64, ident.RequestID) work.Answer {
	return work.Answer{}
}

func newNode(number int, handler *discardHandler) *peer.Node {
	m := member(number)
	return peer.NewNode(peer.Config{
		Self: m.ID, Origin: workers.Origin{Zone: m.Zone, Region: m.Region}, Clock: clock.System{},
		Dialer:      peer.WebSocket{},
		Status:      func() peer.Status { return peer.Status{AppliedOffset: exampleOffset, ConfigVersion: exampleOffset} },
		NewAssembly: func() peer.Assembly { return &answer.Assembly{} },
		Requests:    handler,
		Handlers:    handler,
		Seed:        seed,
	})
}

func measureLinks(ctx context.Context) (linkCosts, error) {
	var l linkCosts
	t := newTable("Peer links over loopback, Hello only (WebSocket; per instance)",
		"instances", "sent B/s", "received B/s", "Hello received/s", "cpu", "heap", "sent per pair B/s")
	for _, size := range []int{8, 21} {
		if err := l.measure(ctx, size, t); err != nil {
			return l, err
		}
	}
	t.end()
	return l, nil
}

func (l *linkCosts) measure(ctx context.Context, size int, t *table) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var counted traffic
	handler := &discardHandler{}
	nodes := make([]*peer.Node, size)
	all := make([]membership.Member, size)
	for i := range nodes {
		nodes[i] = newNode(i, handler)
		defer nodes[i].Close()
		mux := http.NewServeMux()
		mux.Handle(peer.Path, peer.Handler(nodes[i], nil))
		address, err := serve(ctx, mux, &counted)
		if err != nil {
			return err
		}
		all[i] = member(i)
		all[i].PeerAddress = address
	}
	before := liveBytes()
	for _, node := range nodes {
		node.SetMembers(all)
	}
	time.Sleep(2500 * time.Millisecond)
	hellos := handler.hellos.Load()
	used := measureRates(counted.counters, sampleTime).dividedBy(size)
	seconds := sampleTime.Seconds() * float64(size)
	received := float64(handler.hellos.Load()-hellos) / seconds
	heap := float64(liveBytes()-before) / float64(size)
	peers := float64(size - 1)
	// Each byte between two nodes passes exactly one listener, so the sum of
	// both directions over all listeners is what all nodes send.
	sent := used.totalBytes()
	t.row(formatCount(size), formatBytes(sent), formatBytes(sent), fmt.Sprintf("%.1f", received), formatShare(used.cpu), formatBytes(heap), formatBytes(sent/peers))
	l.sent, l.cpu, l.heap = sent/peers, used.cpu/peers, heap/peers
	return nil
}
