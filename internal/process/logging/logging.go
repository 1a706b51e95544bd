// Package logging writes one line for each change of state that an operator
// may act on. Everything that happens per request is counted in package
// metrics instead.
package logging

import (
	"io"

	"github.com/phuslu/log"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
)

// timeFormat is RFC 3339 in milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Logger writes lines of JSON. It is safe for use by several threads. A nil
// Logger writes nothing.
type Logger struct {
	log log.Logger
}

// New returns a logger that writes lines of at least level (debug, info, warn
// or error) to w.
func New(w io.Writer, level string, instance ident.InstanceName) *Logger {
	return &Logger{log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: timeFormat,
		Context:    log.NewContext(nil).Str("instance", string(instance)).Value(),
		Writer:     log.IOWriter{Writer: w},
	}}
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

// choose returns a line at level info if good and at level warn if not.
func (l *Logger) choose(good bool) *log.Entry {
	if good {
		return l.info()
	}
	return l.warn()
}

// Started says that the process serves.
func (l *Logger) Started(incarnation ident.Incarnation, version string) {
	l.info().Stringer("incarnation", incarnation).Str("version", version).Msg("started")
}

// Draining says that the process refuses new work and waits for work in flight.
func (l *Logger) Draining(inFlight int64) {
	l.info().Int64("in_flight", inFlight).Msg("draining")
}

// Stopped says that the process ends; cut is the work that was still in flight.
func (l *Logger) Stopped(cut int64) {
	l.choose(cut == 0).Int64("in_flight", cut).Msg("stopped")
}

// Failed says that the process ends because of err.
func (l *Logger) Failed(err error) {
	if l == nil {
		return
	}
	l.log.Error().Str("kind", string(fault.KindOf(err))).Err(err).Msg("failed")
}

// RulesInForce says that another version of the rules came into force.
func (l *Logger) RulesInForce(version ident.Offset, author string) {
	l.info().Uint64("rules_version", uint64(version)).Str("author", author).Msg("rules in force")
}

// Epoch says that the set of members changed.
func (l *Logger) Epoch(epoch ident.Epoch, members int) {
	l.info().Uint64("epoch", uint64(epoch)).Int("members", members).Msg("members changed")
}

// Lease says that the instance gained or lost its own lease.
func (l *Logger) Lease(held bool) {
	l.choose(held).Bool("held", held).Msg("instance lease changed")
}

// LogReachable says that the platform's log became reachable or unreachable.
func (l *Logger) LogReachable(reachable bool) {
	l.choose(reachable).Bool("reachable", reachable).Msg("platform log changed")
}

// PeerReachable says that the connection to a peer began or ended.
func (l *Logger) PeerReachable(peer ident.Incarnation, reachable bool) {
	l.choose(reachable).Stringer("peer", peer).Bool("reachable", reachable).Msg("peer changed")
}

// WorkerOwned says that the instance began or ceased to own a worker.
func (l *Logger) WorkerOwned(worker ident.WorkerID, owned bool) {
	l.info().Str("backend", string(worker)).Bool("owned", owned).Msg("backend owner changed")
}

// WorkerHealthy says that a worker was taken out of service or returned to it.
func (l *Logger) WorkerHealthy(worker ident.WorkerID, healthy bool) {
	l.choose(healthy).Str("backend", string(worker)).Bool("healthy", healthy).Msg("backend health changed")
}
