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

// links is what the link between a pair of instances costs each of the two.
// Both dial, so a pair has two connections.
type links struct {
	// sent is in bytes per second and equals what is received.
	sent float64
	cpu  float64
	heap float64
}

// silent takes messages and does nothing.
type silent struct{ hellos atomic.Int64 }

func (s *silent) Hello(codec.Hello)                                { s.hellos.Add(1) }
func (s *silent) Summary(ident.Incarnation, codec.Summary)         {}
func (s *silent) ZoneTotal(ident.Incarnation, codec.ZoneTotal)     {}
func (s *silent) ConfigOffer(ident.Incarnation, codec.ConfigOffer) {}
func (s *silent) Promise(ident.Incarnation, codec.Promise) codec.Promised {
	return codec.Promised{}
}
func (s *silent) Offer(context.Context, ident.Incarnation, codec.Offer) codec.Offered {
	return codec.Offered{}
}
func (s *silent) Job(context.Context, ident.Incarnation, codec.Job) (codec.JobDone, error) {
	return codec.JobDone{}, nil
}
func (s *silent) Forwarded(context.Context, ident.Incarnation, uint64, work.Request) work.Answer {
	return work.Answer{}
}
func (s *silent) Resolve(context.Context, ident.Incarnation, uint64, ident.RequestID) work.Answer {
	return work.Answer{}
}

func newNode(number int, handler *silent) *peer.Node {
	m := member(number)
	return peer.NewNode(peer.Config{
		Self: m.ID, Place: workers.Place{Zone: m.Zone, Region: m.Region}, Clock: clock.System{},
		Dialer:      peer.WebSocket{},
		Status:      func() peer.Status { return peer.Status{Folded: offset, ConfigVersion: offset} },
		NewAssembly: func() peer.Assembly { return &answer.Assembly{} },
		Requests:    handler,
		Handlers:    handler,
		Seed:        seed,
	})
}

func measureLinks(ctx context.Context) (links, error) {
	var l links
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

func (l *links) measure(ctx context.Context, size int, t *table) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var counted traffic
	handler := &silent{}
	nodes := make([]*peer.Node, size)
	all := make([]membership.Member, size)
	for i := range nodes {
		nodes[i] = newNode(i, handler)
		defer nodes[i].Close()
		mux := http.NewServeMux()
		mux.Handle(peer.Path, peer.Handler(nodes[i]))
		address, err := serve(ctx, mux, &counted)
		if err != nil {
			return err
		}
		all[i] = member(i)
		all[i].PeerAddress = address
	}
	before := live()
	for _, node := range nodes {
		node.Keep(all)
	}
	time.Sleep(2500 * time.Millisecond)
	hellos := handler.hellos.Load()
	used := during(counted.counters, window).per(size)
	seconds := window.Seconds() * float64(size)
	received := float64(handler.hellos.Load()-hellos) / seconds
	heap := float64(live()-before) / float64(size)
	pairs := float64(size - 1)
	// Each byte between two nodes passes one listener once, so the sum of both
	// directions over all listeners is what all nodes send.
	sent := used.bytes()
	t.row(count(size), amount(sent), amount(sent), fmt.Sprintf("%.1f", received), share(used.cpu), amount(heap), amount(sent/pairs))
	l.sent, l.cpu, l.heap = sent/pairs, used.cpu/pairs, heap/pairs
	return nil
}
