package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-kratos/kratos/v2/transport"

	"poplarvalve/internal/connection/advice"
	"poplarvalve/internal/connection/jobapi"
	"poplarvalve/internal/connection/operator"
	"poplarvalve/internal/connection/orderly"
	"poplarvalve/internal/connection/peer"
	"poplarvalve/internal/connection/workerlink"
	"poplarvalve/internal/entry"
	"poplarvalve/internal/process/boottime"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/logging"
	"poplarvalve/internal/process/metrics"
	"poplarvalve/internal/process/settings"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/election"
	"poplarvalve/platform"
)

const (
	// dialTimeout bounds the time to connect to the log or to a worker. It allows for
	// two round trips between regions and a slow processor.
	dialTimeout = 400 * time.Millisecond
	// unacknowledgedTimeout is how long sent data may stay unacknowledged by the peer
	// before the connection is closed.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// keepAlivePeriod is both the idle time after which a keep-alive probe is sent and
	// the time allowed for its answer. The probes detect idle connections whose peer
	// no longer responds.
	keepAlivePeriod = time.Second
	// maxConnectionsPerHost is the maximum number of connections to one host. There is
	// more than one so that an order is not blocked by a lease renewal, whose answer a
	// worker may delay.
	maxConnectionsPerHost = 4
	// loadBalancerDelay is how long the load balancer takes to notice that the
	// instance accepts no new connections.
	loadBalancerDelay = 2500 * time.Millisecond
	// handOverReserve is how long before the end of the grace period the instance
	// stops waiting for the log to record the hand-over of its cells.
	handOverReserve = time.Second
	// maxReports is the number of answers of each kind with metrics or a dump that are sent at
	// once. Each takes up to some MB, and operators need one or two.
	maxReports = 4
	// exitReserve is how long before the end of the grace period the instance stops
	// waiting for requests to be answered.
	exitReserve = 200 * time.Millisecond
)

// entryDaemon is an entry instance for multi-step jobs with its servers for callers,
// the readiness probe, other instances and operators.
type entryDaemon struct {
	settings     *settings.EntrySettings
	settingsPath string
	journal      *logging.Journal
	entry        *entry.Entry
	self         election.Holder
	clients      *clientLimits
	listeners
	app *kratos.App
}

// listeners accept the connections of callers, of the readiness probe, of other instances and of
// operators.
type listeners struct{ callers, readiness, links, operators *orderly.Listener }

// listen opens all listeners.
func listen(s *settings.EntrySettings) (l listeners, err error) {
	for _, of := range []struct {
		listener **orderly.Listener
		address  netip.AddrPort
		purpose  string
	}{{&l.callers, s.CallerAddress, "callers"}, {&l.readiness, s.ReadyAddress, "the readiness probe"},
		{&l.links, s.LinkAddress, "other instances"}, {&l.operators, s.OperatorAddress, "operators"}} {
		if *of.listener, err = listenFor(of.address, of.purpose); err != nil {
			return l, err
		}
	}
	return l, nil
}

// runEntry loads the settings and serves multi-step jobs until SIGTERM or SIGINT.
func runEntry(settingsPath string) error {
	hangups := notifyHangups()
	loadedSettings, err := settings.LoadEntrySettings(settingsPath)
	if err != nil {
		return err
	}
	if err := boottime.Check(); err != nil {
		return fault.Startup(fault.Internal, err, "checking the clocks of the machine")
	}
	setMemoryLimit(float64(loadedSettings.Memory) * (1 << 20))
	opened, err := listen(loadedSettings)
	if err != nil {
		return err
	}
	return newEntryDaemon(settingsPath, loadedSettings, opened).run(hangups)
}

func newEntryDaemon(settingsPath string, s *settings.EntrySettings, opened listeners) *entryDaemon {
	counters := metrics.NewEntryMetrics()
	d := &entryDaemon{
		settings:     s,
		settingsPath: settingsPath,
		listeners:    opened,
		journal:      logging.NewJournal(os.Stdout, s.LogLevel, s.Name, counters.LineDropped),
		self:         election.Holder{Name: s.Name, Address: s.LinkAddress.String(), Nonce: newNonce()},
	}
	d.clients = newClientLimits(s.Clients, d.journal, counters)
	d.entry = entry.New(d.options(counters))
	d.app = kratos.New(
		kratos.Name("poplarvalved"),
		kratos.Version(version),
		kratos.Logger(klog.NewFilter(klog.DefaultLogger, klog.FilterLevel(klog.LevelFatal))),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.Server(d.servers(counters)...),
		kratos.BeforeStop(d.drain),
		kratos.StopTimeout(s.Grace),
	)
	return d
}

func (d *entryDaemon) options(counters *metrics.EntryMetrics) entry.Options {
	s := d.settings
	client := &http.Client{Transport: newTransport()}
	var adviser advice.Service
	if s.AdviceAddress.IsValid() {
		adviser = platform.NewAdviceClient(s.AdviceAddress.String(), client)
	}
	return entry.Options{
		Self:          d.self,
		Zone:          s.Zone,
		CPUShare:      s.CPUShare,
		MemoryMB:      s.Memory,
		Log:           platform.NewLogClient(s.LogAddress.String(), client).WithLimits(s.LogLimits),
		Configuration: platform.ConfigurationPartition,
		Registry:      platform.RegistryPartition,
		Decoder:       platform.Decoder{},
		LinkDialer:    peer.WebSocket{},
		DialWorker: func(info cell.WorkerInfo) workerlink.WorkerClient {
			return platform.NewWorkerClient(info.Address, client)
		},
		Advice: adviser,
		Limits: entry.Limits{
			MaxLease:          s.MaxLease,
			EndedJobRetention: s.EndedJobRetention,
			RemoteFactor:      s.RemoteFactor,
			EvacuationApply:   s.EvacuationApply,
			NearWait:          s.NearWait,
			LearnSpeed:        s.LearnSpeed,
			RefuseHopeless:    s.RefuseHopeless,
			Log:               s.LogLimits,
		},
		Journal: d.journal,
		Metrics: counters,
	}
}

// newTransport returns the HTTP transport for all calls to the platform: to the log,
// the workers and the advice service.
func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: 1},
		Control:         setUserTimeout,
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     maxConnectionsPerHost,
		MaxIdleConnsPerHost: maxConnectionsPerHost,
		DisableCompression:  true,
		WriteBufferSize:     4 << 10,
		ReadBufferSize:      4 << 10,
	}
}

// setUserTimeout makes the kernel close a connection whose peer has not acknowledged
// sent data for unacknowledgedTimeout.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var optionError error
	err := conn.Control(func(fd uintptr) {
		const tcpUserTimeoutOption = 18 // TCP_USER_TIMEOUT, in milliseconds
		optionError = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionError
}

func (d *entryDaemon) servers(counters *metrics.EntryMetrics) []transport.Server {
	callerServer := d.clients.newServer(d.callers, false)
	callerServer.HandlePrefix("/", d.callers.Handler(platform.NewCallerHandler(d.entry, d.clients.bodies)))
	readinessServer := d.clients.newServer(d.readiness, false)
	readinessServer.HandlePrefix("/", platform.NewReadinessHandler(d.entry))
	linkServer := d.clients.newServer(d.links, true)
	linkServer.HandlePrefix(peer.Path, d.entry.LinkHandler(d.clients.linkBudget))
	operatorServer := d.clients.newServer(d.operators, false)
	operatorServer.Handle("/metrics", d.clients.connections.Concurrent(maxReports, counters.Handler()))
	operatorServer.Handle(operator.PathDump, d.clients.connections.Concurrent(maxReports, http.HandlerFunc(d.handleDump)))
	operatorServer.Handle(operator.PathConfiguration, d.clients.connections.Concurrent(maxReports, operator.NewConfigurationHandler(d.entry)))
	operatorServer.HandlePrefix(jobapi.PathQueues, jobapi.NewHandler(d.entry, d.clients.bodies))
	return []transport.Server{callerServer, readinessServer, linkServer, operatorServer}
}

// handleDump writes the state dump of the instance as JSON.
func (d *entryDaemon) handleDump(w http.ResponseWriter, _ *http.Request) {
	state := d.entry.Dump()
	state["clients"] = d.clients.state()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(state); err != nil {
		d.journal.Retrying("state dump", err)
	}
}

// run starts the instance and serves until SIGTERM or SIGINT. hangups delivers SIGHUP.
func (d *entryDaemon) run(hangups <-chan os.Signal) error {
	d.journal.Started(version, d.self.Address, d.self.Nonce)
	defer d.journal.Close()
	stopReload := d.reloadOnHangup(hangups)
	defer stopReload()
	d.entry.Start()
	err := d.app.Run()
	d.entry.Stop()
	d.journal.Stopped()
	if err != nil {
		return fault.Startup(fault.Listen, err, "running the servers")
	}
	return nil
}

// drain hands over the cells that the instance leads. Meanwhile the servers keep
// serving, because callers use the instance until the load balancer has noticed that
// it accepts no new connections. Then it answers the last requests of callers.
func (d *entryDaemon) drain(context.Context) error {
	end := time.Now().Add(d.settings.Grace)
	d.journal.Stopping("signal")
	d.entry.Drain()
	balancerWait, handOverWait := drainWaits(d.settings.Grace)
	time.Sleep(balancerWait)
	ctx, cancel := context.WithTimeout(context.Background(), handOverWait)
	defer cancel()
	if err := d.entry.AwaitHandOver(ctx); err != nil {
		d.journal.Retrying("hand-over", err)
	}
	ctx, cancel = context.WithDeadline(context.Background(), end.Add(-exitReserve))
	defer cancel()
	if err := d.callers.Drain(ctx); err != nil {
		d.journal.Retrying("last answers", err)
	}
	return nil
}

// drainWaits divides a grace period: how long the instance keeps serving until the load
// balancer has noticed that it drains, and how long it then still waits for the
// hand-over of its cells. The hand-over goes on during the first wait. A grace period
// too short for both leaves the hand-over a part of it at the cost of the balancer.
func drainWaits(grace time.Duration) (balancer, handOver time.Duration) {
	usable := max(0, grace-handOverReserve)
	balancer = min(loadBalancerDelay, usable/2)
	return balancer, usable - balancer
}

// notifyHangups returns a channel that delivers SIGHUP. It must be called before
// anything that takes time, and stays in effect until the process exits, because the
// default action of SIGHUP ends the process.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// reloadOnHangup loads and checks the settings file again on each SIGHUP and logs
// whether it has changed. No change is applied to the running process; it takes effect
// at the next start. stop ends this.
func (d *entryDaemon) reloadOnHangup(hangups <-chan os.Signal) (stop func()) {
	stopped := make(chan struct{})
	go func() {
		for {
			select {
			case <-hangups:
				loadedSettings, err := settings.LoadEntrySettings(d.settingsPath)
				d.journal.Reloaded(err == nil && *loadedSettings != *d.settings, err)
			case <-stopped:
				return
			}
		}
	}()
	return func() { close(stopped) }
}
