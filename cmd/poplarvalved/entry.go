package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-kratos/kratos/v2/transport"

	"poplarvalve/internal/connection/advice"
	"poplarvalve/internal/connection/jobapi"
	"poplarvalve/internal/connection/operator"
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
	// memoryShare is the part of the process's memory that the collector may
	// let the heap grow to; the rest is for stacks and buffers.
	memoryShare = 0.6
	// dialTimeout bounds a connection to the log or a worker: two round trips
	// between regions and a slow processor.
	dialTimeout = 400 * time.Millisecond
	// userTimeout ends a connection whose peer no longer acknowledges.
	userTimeout = 1500 * time.Millisecond
	// keepAlivePeriod finds connections that went silent while idle.
	keepAlivePeriod = time.Second
	// connectionsPerHost lets an order pass a report that waits.
	connectionsPerHost = 4
	// balancerNotice is the time in which the balancer learns that the
	// instance takes no new connections.
	balancerNotice = 2500 * time.Millisecond
	// handOverReserve is left of the grace period when the instance no longer
	// waits for the log to take its hand-over down.
	handOverReserve = time.Second
	// stopReserve is left of the grace period when the servers have to be done.
	stopReserve = 500 * time.Millisecond
)

// entryDaemon is an entry instance with its servers.
type entryDaemon struct {
	settings *settings.EntrySettings
	path     string
	journal  *logging.Journal
	entry    *entry.Entry
	self     election.Holder
	app      *kratos.App
}

func runEntry(path string) error {
	loaded, err := settings.LoadEntrySettings(path)
	if err != nil {
		return err
	}
	if err := boottime.Check(); err != nil {
		return fault.Startup(fault.Internal, err, "the clocks of the machine")
	}
	debug.SetMemoryLimit(int64(float64(loaded.Memory) * memoryShare * (1 << 20)))
	return newEntryDaemon(path, loaded).run()
}

func newEntryDaemon(path string, s *settings.EntrySettings) *entryDaemon {
	counters := metrics.NewEntryMetrics()
	d := &entryDaemon{
		settings: s,
		path:     path,
		journal:  logging.NewJournal(os.Stdout, s.LogLevel, s.Name, counters.LineDropped),
		self:     election.Holder{Name: s.Name, Address: s.LinkAddress.String(), Nonce: nonce()},
	}
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
		CPUShare:      s.CPUShare,
		Log:           platform.NewLogClient(s.LogAddress.String(), client),
		Configuration: platform.ConfigurationPartition,
		Registry:      platform.RegistryPartition,
		Decoder:       platform.Decoder{},
		DialWorker: func(info cell.WorkerInfo) workerlink.WorkerClient {
			return platform.NewWorkerClient(info.Address, client)
		},
		Advice: adviser,
		Limits: entry.Limits{
			MaxLease:          s.MaxLease,
			EndedJobRetention: s.EndedJobRetention,
			RemoteFactor:      s.RemoteFactor,
		},
		Journal: d.journal,
		Metrics: counters,
	}
}

// newTransport returns the transport of all calls to the platform.
func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: 1},
		Control:         limitSilence,
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     connectionsPerHost,
		MaxIdleConnsPerHost: connectionsPerHost,
		DisableCompression:  true,
		WriteBufferSize:     4 << 10,
		ReadBufferSize:      4 << 10,
	}
}

// limitSilence ends a connection whose peer acknowledges nothing.
func limitSilence(_, _ string, conn syscall.RawConn) error {
	var failure error
	err := conn.Control(func(fd uintptr) {
		const tcpUserTimeout = 18 // TCP_USER_TIMEOUT, in milliseconds
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

func (d *entryDaemon) servers(counters *metrics.EntryMetrics) []transport.Server {
	s := d.settings
	callers := newServer(s.CallerAddress)
	callers.HandlePrefix("/", platform.NewCallerHandler(d.entry))
	ready := newServer(s.ReadyAddress)
	ready.HandlePrefix("/", platform.NewReadinessHandler(d.entry))
	links := newServer(s.LinkAddress)
	links.HandlePrefix(peer.Path, d.entry.LinkHandler())
	operators := newServer(s.OperatorAddress)
	operators.Handle("/metrics", counters.Handler())
	operators.HandleFunc(operator.PathDump, d.dump)
	operators.HandlePrefix(jobapi.PathQueues, jobapi.NewHandler(d.entry))
	return []transport.Server{callers, ready, links, operators}
}

func (d *entryDaemon) dump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(d.entry.Dump()); err != nil {
		d.journal.Retrying("state dump", err)
	}
}

// run serves until SIGTERM or SIGINT.
func (d *entryDaemon) run() error {
	d.journal.Started(version, d.self.Address, d.self.Nonce)
	defer d.journal.Close()
	stopReload := d.reloadOnHangup()
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

// drain hands the led cells over, and serves on until the balancer sends no
// new connections.
func (d *entryDaemon) drain(context.Context) error {
	d.journal.Stopping("signal")
	d.entry.Drain()
	time.Sleep(min(balancerNotice, d.settings.Grace-stopReserve))
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Grace-balancerNotice-handOverReserve)
	defer cancel()
	if err := d.entry.AwaitHandOver(ctx); err != nil {
		d.journal.Retrying("hand-over", err)
	}
	return nil
}

// reloadOnHangup checks the settings again on SIGHUP. Addresses and limits
// take effect at the next start.
func (d *entryDaemon) reloadOnHangup() (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			loaded, err := settings.LoadEntrySettings(d.path)
			d.journal.Reloaded(err == nil && *loaded != *d.settings, err)
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
	}
}
