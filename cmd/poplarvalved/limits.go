package main

import (
	"net"
	"net/netip"
	"runtime/debug"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"poplarvalve/internal/connection/clientlimit"
	"poplarvalve/internal/connection/orderly"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/membudget"
	"poplarvalve/internal/process/settings"
)

// memoryLimitShare is the fraction of the process's memory that is set as the
// memory limit of the Go runtime. The rest is for stacks and buffers.
const memoryLimitShare = 0.6

// setMemoryLimit sets the memory limit of the Go runtime for a process that may use bytes.
func setMemoryLimit(bytes float64) { debug.SetMemoryLimit(int64(bytes * memoryLimitShare)) }

// clientLimits bounds what the clients of all servers of a process take.
type clientLimits struct {
	connections *clientlimit.Connections
	bodies      *clientlimit.Bodies
	// budget is the memory for bodies, and linkBudget that for messages on links that other
	// instances have opened.
	budget, linkBudget *membudget.Budget
}

// clientMetrics counts clients that exceed a limit and shows what clients take.
type clientMetrics interface {
	ClientRefused(reason string)
	ObserveClients(reasons []string, bodyBytes, connections func() float64)
}

// clientJournal logs clients that exceed a limit.
type clientJournal interface {
	ClientRefused(reason, address string)
}

func newClientLimits(limits settings.ClientLimits, journal clientJournal, counters clientMetrics) *clientLimits {
	config := clientlimit.ConfigFrom(limits)
	observer := clientObserver{journal, counters}
	l := &clientLimits{
		connections: clientlimit.NewConnections(config, observer),
		budget:      clientlimit.NewBudget(limits),
		linkBudget:  clientlimit.NewLinkBudget(limits),
	}
	l.bodies = clientlimit.NewBodies(config, l.budget, observer)
	counters.ObserveClients(clientlimit.ReasonNames(), func() float64 { return float64(l.budget.State().Used()) },
		func() float64 { return float64(l.connections.State().Clients) })
	return l
}

// newServer returns a server for a listener. isLinks says that the listener accepts links of other
// instances.
func (l *clientLimits) newServer(opened *orderly.Listener, isLinks bool) *khttp.Server {
	limited := l.connections.Listen(opened, isLinks, opened.ConnState)
	server := newServer(opened.Addr().(*net.TCPAddr).AddrPort(), khttp.Listener(limited))
	limited.Configure(server.Server)
	if !isLinks {
		server.Handler = l.connections.Handler(server.Handler)
	}
	return server
}

// state returns the state of the limits for operators.
func (l *clientLimits) state() map[string]any {
	return map[string]any{"bodies": l.budget.State(), "link_messages": l.linkBudget.State(), "connections": l.connections.State()}
}

// clientObserver logs and counts clients that exceed a limit.
type clientObserver struct {
	journal clientJournal
	metrics clientMetrics
}

// ClientRefused implements clientlimit.Observer.
func (o clientObserver) ClientRefused(reason, address string) {
	o.metrics.ClientRefused(reason)
	o.journal.ClientRefused(reason, address)
}

// listenFor opens a listener for a purpose.
func listenFor(address netip.AddrPort, purpose string) (*orderly.Listener, error) {
	listener, err := orderly.Listen(address.String())
	if err != nil {
		return nil, fault.Startup(fault.Listen, err, "listening for %s", purpose)
	}
	return listener, nil
}
