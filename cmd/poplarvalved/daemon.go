package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"poplarvalve/internal/connection/caller"
	"poplarvalve/internal/connection/operator"
	"poplarvalve/internal/connection/peer"
	"poplarvalve/internal/connection/platform"
	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/instance"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/logging"
	"poplarvalve/internal/process/metrics"
	"poplarvalve/internal/process/settings"
	"poplarvalve/internal/version/workers"
)

const (
	// stopMargin is the time for the servers to close after the drain. Feeds are
	// ended by the drain, and all other requests have been answered.
	stopMargin = 5 * time.Second
	// leaveMargin covers the handing over and the leave record.
	leaveMargin = 10 * time.Second
	// headerTimeout bounds the time to receive the headers of a request.
	headerTimeout = 5 * time.Second
	// maxWorkerConnections is what one worker offers to all instances.
	maxWorkerConnections = 64
)

// daemon is one instance with its servers.
type daemon struct {
	settings *settings.Settings
	logger   *logging.Logger
	instance *instance.Instance
	app      *kratos.App
}

func newDaemon(s *settings.Settings) (*daemon, error) {
	if s.Security.TLSCertificate != "" {
		return nil, fault.Startup(fault.BadSettings, nil, "[security] tls_certificate: TLS is not offered yet")
	}
	d := &daemon{
		settings: s,
		logger:   logging.New(os.Stderr, s.Log.Level, s.Instance.Name),
	}
	counters := metrics.New()
	d.instance = instance.New(d.options(counters))
	d.app = kratos.New(
		kratos.Name("poplarvalved"),
		kratos.Version(version),
		kratos.Server(d.servers(counters)...),
		kratos.BeforeStop(d.drain),
		kratos.StopTimeout(s.Limits.Drain+leaveMargin+stopMargin),
	)
	return d, nil
}

func (d *daemon) options(counters *metrics.Metrics) instance.Options {
	s := d.settings
	clients := &workerClients{}
	return instance.Options{
		Name:        s.Instance.Name,
		Place:       workers.Place{Zone: s.Instance.Zone, Region: s.Instance.Region},
		PeerAddress: s.Instance.PeerAddress.String(),
		RegionCut:   instance.RegionCut(s.Region.Cut),
		Shards:      s.Platform.Shards,
		Appends:     s.Limits.Appends,
		Retention:   s.Platform.Retention,
		Version:     version,
		Clock:       clock.System{},
		Log:         platform.NewClient(s.Platform.Log.String()),
		List:        platform.NewClient(s.Platform.Instances.String()),
		Dialer:      peer.WebSocket{},
		Dial:        clients.dial,
		Nonce:       nonce,
		Random:      mathrand.Float64,
		Logger:      d.logger,
		Metrics:     counters,
	}
}

// workerClients holds one client for each address, so that sessions and feeds
// share its connections.
type workerClients struct {
	// clients maps an address to its *worker.Client.
	clients sync.Map
}

func (c *workerClients) dial(listed workers.Listed) worker.API {
	known, found := c.clients.Load(listed.Address)
	if !found {
		known, _ = c.clients.LoadOrStore(listed.Address, worker.NewClient(listed.Address, maxWorkerConnections))
	}
	return known.(*worker.Client)
}

// nonce draws the random number of an incarnation. Two incarnations with the
// same one would be taken for each other, so it comes from the system's source.
func nonce() uint64 {
	var bytes [8]byte
	// Read never fails; the package ends the program instead.
	_, _ = rand.Read(bytes[:])
	return binary.LittleEndian.Uint64(bytes[:])
}

func (d *daemon) servers(counters *metrics.Metrics) []transport.Server {
	i := d.settings.Instance
	front := d.instance.Front()
	callers := caller.NewServer(i.CallerAddress.String(), caller.NewHandler(front, front))
	peers := newServer(i.PeerAddress)
	peers.HandlePrefix(peer.Path, d.instance.PeerHandler())
	operators := newServer(i.OperatorAddress)
	operators.HandlePrefix("/", operator.NewHandler(operator.Parts{
		Proposer:  d.instance,
		Reader:    d.instance,
		Reporter:  d.instance,
		Explainer: d.instance,
		Dumper:    d.instance,
		Metrics:   counters.Handler(),
		Token:     d.settings.Security.OperatorToken,
	}))
	return []transport.Server{callers, peers, operators}
}

// newServer returns a server without kratos' own timeout, which would end the
// links between instances.
func newServer(address netip.AddrPort) *khttp.Server {
	server := khttp.NewServer(
		khttp.Address(address.String()),
		khttp.Timeout(0),
		khttp.StrictSlash(false),
	)
	server.ReadHeaderTimeout = headerTimeout
	return server
}

// run serves until SIGTERM or SIGINT.
func (d *daemon) run() error {
	d.instance.Start()
	d.logger.Started(d.instance.Self(), version)
	err := d.app.Run()
	if err != nil {
		d.logger.Failed(err)
		d.instance.Stop()
		return fault.Startup(fault.Listen, err, "running the servers")
	}
	return nil
}

// drain runs before the servers stop, so that peers and callers reach the
// instance until its last request is answered.
func (d *daemon) drain(context.Context) error {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Limits.Drain)
	defer cancel()
	d.instance.Shutdown(ctx)
	return nil
}
