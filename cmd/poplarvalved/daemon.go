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
	// serverStopAllowance is the time that the servers have to close after the
	// drain. By then the drain has ended all feeds, and all other requests have been
	// answered.
	serverStopAllowance = 5 * time.Second
	// leaveAllowance is the time that the instance has, after the requests in flight
	// are finished, to hand its workers over and to append its leave record.
	leaveAllowance = 10 * time.Second
	// readHeaderTimeout is the time limit for receiving the headers of a request.
	readHeaderTimeout = 5 * time.Second
	// maxConnectionsPerWorker is the maximum number of connections to one worker. It
	// equals the number that a worker accepts from all instances together.
	maxConnectionsPerWorker = 64
)

// daemon is an entry instance with its servers for callers, peers and operators.
type daemon struct {
	settings *settings.Settings
	logger   *logging.Logger
	instance *instance.Instance
	clients  *clientLimits
	app      *kratos.App
}

func newDaemon(loadedSettings *settings.Settings) (*daemon, error) {
	if loadedSettings.Security.TLSCertificate != "" {
		return nil, fault.Startup(fault.BadSettings, nil, "[security] tls_certificate: TLS is not offered yet")
	}
	d := &daemon{
		settings: loadedSettings,
		logger:   logging.New(os.Stderr, loadedSettings.Log.Level, loadedSettings.Instance.Name),
	}
	setMemoryLimit(float64(loadedSettings.Limits.MemoryBytes))
	counters := metrics.New()
	d.clients = newClientLimits(loadedSettings.Limits.Clients(), d.logger, counters)
	d.instance = instance.New(d.options(counters))
	servers, err := d.servers(counters)
	if err != nil {
		return nil, err
	}
	d.app = kratos.New(
		kratos.Name("poplarvalved"),
		kratos.Version(version),
		kratos.Server(servers...),
		kratos.BeforeStop(d.drain),
		kratos.StopTimeout(loadedSettings.Limits.DrainTimeout+leaveAllowance+serverStopAllowance),
	)
	return d, nil
}

func (d *daemon) options(counters *metrics.Metrics) instance.Options {
	s := d.settings
	clients := &workerClients{}
	return instance.Options{
		Name:             s.Instance.Name,
		Origin:           workers.Origin{Zone: s.Instance.Zone, Region: s.Instance.Region},
		PeerAddress:      s.Instance.PeerAddress.String(),
		RegionCutPolicy:  instance.RegionCutPolicy(s.Region.CutPolicy),
		Shards:           s.Platform.Shards,
		AppendsPerSecond: s.Limits.AppendsPerSecond,
		Retention:        s.Platform.Retention,
		MemoryBytes:      s.Limits.MemoryBytes,
		Version:          version,
		Clock:            clock.System{},
		Log:              platform.NewClient(s.Platform.Log.String()),
		InstanceList:     platform.NewClient(s.Platform.Instances.String()),
		Dialer:           peer.WebSocket{},
		DialWorker:       clients.clientFor,
		Nonce:            newNonce,
		Random:           mathrand.Float64,
		Logger:           d.logger,
		Metrics:          counters,
	}
}

// workerClients holds one client for each worker address, so that sessions and
// feeds share the connections of the client.
type workerClients struct {
	// byAddress maps an address to its *worker.Client.
	byAddress sync.Map
}

// clientFor returns the client of a worker. It is safe for concurrent use.
func (c *workerClients) clientFor(listed workers.ListedWorker) worker.WorkerClient {
	client, found := c.byAddress.Load(listed.Address)
	if !found {
		client, _ = c.byAddress.LoadOrStore(listed.Address, worker.NewClient(listed.Address, maxConnectionsPerWorker))
	}
	return client.(*worker.Client)
}

// newNonce returns a random number that identifies an incarnation. Two incarnations
// with the same number would be taken for each other, so it comes from the
// operating system's source of randomness.
func newNonce() uint64 {
	var bytes [8]byte
	// Read never returns an error: if it fails, it ends the program.
	_, _ = rand.Read(bytes[:])
	return binary.LittleEndian.Uint64(bytes[:])
}

// servers opens the listeners and returns their servers. It fails with Listen.
func (d *daemon) servers(counters *metrics.Metrics) ([]transport.Server, error) {
	instanceSettings := d.settings.Instance
	callers, err := listenFor(instanceSettings.CallerAddress, "callers")
	if err != nil {
		return nil, err
	}
	peers, err := listenFor(instanceSettings.PeerAddress, "other instances")
	if err != nil {
		return nil, err
	}
	operators, err := listenFor(instanceSettings.OperatorAddress, "operators")
	if err != nil {
		return nil, err
	}
	frontEnd := d.instance.FrontEnd()
	callerServer := d.clients.newServer(callers, false)
	callerServer.HandlePrefix("/", caller.NewHandler(frontEnd, frontEnd, d.clients.bodies))
	peerServer := d.clients.newServer(peers, true)
	peerServer.HandlePrefix(peer.Path, d.instance.PeerHandler(d.clients.linkBudget))
	operatorServer := d.clients.newServer(operators, false)
	operatorServer.HandlePrefix("/", operator.NewHandler(operator.Dependencies{
		Proposer:  d.instance,
		Reader:    d.instance,
		Reporter:  d.instance,
		Explainer: d.instance,
		Dumper:    d.instance,
		Metrics:   counters.Handler(),
		Token:     d.settings.Security.OperatorToken,
	}))
	return []transport.Server{callerServer, peerServer, operatorServer}, nil
}

// newServer returns a server for an address. The request timeout of kratos is
// disabled, because it would end the long-lived links between instances.
func newServer(address netip.AddrPort, options ...khttp.ServerOption) *khttp.Server {
	server := khttp.NewServer(append(options,
		khttp.Address(address.String()),
		khttp.Timeout(0),
		khttp.StrictSlash(false),
	)...)
	server.ReadHeaderTimeout = readHeaderTimeout
	return server
}

// run starts the instance and serves until SIGTERM or SIGINT.
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

// drain shuts the instance down and waits up to the drain time of the settings for
// the requests in flight. It runs before the servers stop, so that peers and callers
// can reach the instance until the last request is answered.
func (d *daemon) drain(context.Context) error {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Limits.DrainTimeout)
	defer cancel()
	d.instance.Shutdown(ctx)
	return nil
}
