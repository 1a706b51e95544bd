// Package logging writes the log of a process as JSON lines. A Logger writes
// one line for each state change that an operator may act on. A Journal also
// writes lines about single requests and tasks, up to a limit per second. All
// requests are counted in package metrics.
package logging

import (
	"io"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
)

// timeFormat is the format of RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Logger writes one JSON line for each event. It is safe for concurrent use. A
// nil Logger writes nothing.
type Logger struct {
	log log.Logger
	// clients limits the lines about clients that exceed a limit.
	clients rate.Sometimes
}

// clientLinePeriod is the shortest time between two lines about clients that exceed a limit.
const clientLinePeriod = 200 * time.Millisecond

// New returns a logger that writes lines of at least level (debug, info, warn
// or error) to w.
func New(w io.Writer, level string, instance ident.InstanceName) *Logger {
	return &Logger{
		log: log.Logger{
			Level:      log.ParseLevel(level),
			TimeFormat: timeFormat,
			Context:    log.NewContext(nil).Str("instance", string(instance)).Value(),
			Writer:     log.IOWriter{Writer: w},
		},
		clients: rate.Sometimes{Interval: clientLinePeriod},
	}
}

func (l *Logger) info() *log.Entry {
	if l == nil {
		return nil
	}
	return l.log.Info()
}

func (l *Logger) warn() *log.Entry {
	if l == nil {
		return nil
	}
	return l.log.Warn()
}

// infoOrWarn returns a line at level info if normal, else at level warn.
func (l *Logger) infoOrWarn(normal bool) *log.Entry {
	if normal {
		return l.info()
	}
	return l.warn()
}

// Started logs that an incarnation of the instance serves requests.
func (l *Logger) Started(incarnation ident.Incarnation, version string) {
	l.info().Stringer("incarnation", incarnation).Str("version", version).Msg("started")
}

// Draining logs that the process refuses new work and waits for the work in
// flight.
func (l *Logger) Draining(inFlight int64) {
	l.info().Int64("in_flight", inFlight).Msg("draining")
}

// Stopped logs that the process exits. unfinished is the number of pieces of
// work that were still in flight and are cut off.
func (l *Logger) Stopped(unfinished int64) {
	l.infoOrWarn(unfinished == 0).Int64("in_flight", unfinished).Msg("stopped")
}

// Failed logs that the process exits because of err.
func (l *Logger) Failed(err error) {
	if l == nil {
		return
	}
	l.log.Error().Str("kind", string(fault.KindOf(err))).Err(err).Msg("failed")
}

// ClientRefused logs that a request was refused or a connection closed because a client exceeded a
// limit of the process. Not each of them is logged; package metrics counts all.
func (l *Logger) ClientRefused(reason, address string) {
	if l == nil {
		return
	}
	l.clients.Do(func() { l.info().Str("reason", reason).Str("client", address).Msg("client refused") })
}

// RulesInForce logs that another version of the rules came into force.
func (l *Logger) RulesInForce(version ident.Offset, author string) {
	l.info().Uint64("rules_version", uint64(version)).Str("author", author).Msg("rules in force")
}

// MembershipChanged logs that the set of members changed, with its new epoch
// and size.
func (l *Logger) MembershipChanged(epoch ident.Epoch, members int) {
	l.info().Uint64("epoch", uint64(epoch)).Int("members", members).Msg("membership changed")
}

// LeaseChanged logs that the instance gained or lost its own lease.
func (l *Logger) LeaseChanged(held bool) {
	l.infoOrWarn(held).Bool("held", held).Msg("instance lease changed")
}

// LogReachable logs that the platform's log became reachable or unreachable.
func (l *Logger) LogReachable(reachable bool) {
	l.infoOrWarn(reachable).Bool("reachable", reachable).Msg("platform log reachability changed")
}

// PeerReachable logs that the connection to a peer was established or lost.
func (l *Logger) PeerReachable(peer ident.Incarnation, reachable bool) {
	l.infoOrWarn(reachable).Stringer("peer", peer).Bool("reachable", reachable).Msg("peer connection changed")
}

// WorkerOwnerChanged logs that the instance became the owner of a worker or
// lost the ownership.
func (l *Logger) WorkerOwnerChanged(worker ident.WorkerID, owned bool) {
	l.info().Str("backend", string(worker)).Bool("owned", owned).Msg("backend owner changed")
}

// WorkerHealthChanged logs that a worker was taken out of service as unhealthy
// or returned to service.
func (l *Logger) WorkerHealthChanged(worker ident.WorkerID, healthy bool) {
	l.infoOrWarn(healthy).Str("backend", string(worker)).Bool("healthy", healthy).Msg("backend health changed")
}
