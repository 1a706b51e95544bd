package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/process/logging"
	"poplarvalve/internal/process/metrics"
	"poplarvalve/internal/version/election"
)

type discardWriter struct{}

func (discardWriter) Write(line []byte) (int, error) { return len(line), nil }

func testEntry(t *testing.T) *Entry {
	counters := metrics.NewEntryMetrics()
	journal := logging.NewJournal(discardWriter{}, "info", "test", counters.LineDropped)
	t.Cleanup(journal.Close)
	return New(Options{Self: election.Holder{Name: "a", Address: "10.0.0.1:1", Nonce: 1}, Journal: journal, Metrics: counters})
}

// A heartbeat must contain the leaders only after a change. Repeated in every heartbeat
// they take too much bandwidth, and a change that is left out stays unknown to the
// peer.
func TestHeartbeatContainsLeadersOnlyAfterChange(t *testing.T) {
	l := testEntry(t).leaders
	l.recordLeader(cellcodec.Leader{Cell: 0, Epoch: 5, Address: "10.0.0.2:1", Nonce: 2})
	first, sentVersion := l.NextHeartbeat(-1, 0)
	assert.Equal(t, len(first.Leaders), 1)
	second, sentVersion := l.NextHeartbeat(-1, sentVersion)
	assert.Equal(t, len(second.Leaders), 0)
	l.recordLeader(cellcodec.Leader{Cell: 0, Epoch: 6, Address: "10.0.0.3:1", Nonce: 3})
	third, _ := l.NextHeartbeat(-1, sentVersion)
	assert.Equal(t, len(third.Leaders), 1)
}

// A change of a leader must be sent at once. If the heartbeat waited for its period,
// other instances would send requests to the old leader until then.
func TestLeaderChangeSendsHeartbeatAtOnce(t *testing.T) {
	l := testEntry(t).leaders
	due := l.HeartbeatDue()
	l.recordLeader(cellcodec.Leader{Cell: 0, Epoch: 5, Address: "10.0.0.2:1", Nonce: 2})
	<-due
	due = l.HeartbeatDue()
	l.notifyLinks()
	<-due
}

// A delayed heartbeat may name the leader of an earlier term, which must not replace
// the current one. It must also not bring back a term that its holder has given up, to
// which requests would then still be sent.
func TestEarlierTermDoesNotReplaceLaterLeader(t *testing.T) {
	l := testEntry(t).leaders
	later := cellcodec.Leader{Cell: 0, Epoch: 6, Address: "10.0.0.3:1", Nonce: 3}
	l.recordLeader(later)
	l.recordLeader(cellcodec.Leader{Cell: 0, Epoch: 5, Address: "10.0.0.2:1", Nonce: 2})
	assert.Equal(t, l.table.Load().byCell[0], later)
	l.recordLeader(cellcodec.Leader{Cell: 0, Epoch: 6})
	assert.Equal(t, l.table.Load().byCell[0].Address, "")
	l.recordLeader(later)
	assert.Equal(t, l.table.Load().byCell[0].Address, "", "a delayed heartbeat must not bring back a term that was given up")
}
