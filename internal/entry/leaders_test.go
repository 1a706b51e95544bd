package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/process/logging"
	"poplarvalve/internal/process/metrics"
	"poplarvalve/internal/version/election"
)

type discard struct{}

func (discard) Write(line []byte) (int, error) { return len(line), nil }

func testEntry(t *testing.T) *Entry {
	counters := metrics.NewEntry()
	journal := logging.NewJournal(discard{}, "info", "test", counters.LineDropped)
	t.Cleanup(journal.Close)
	return New(Options{Self: election.Holder{Name: "a", Address: "10.0.0.1:1", Nonce: 1}, Journal: journal, Metrics: counters})
}

// Guards against pulses that repeat all leaders to every instance, and against
// a change that is not told.
func TestPulsesTellLeadersOnce(t *testing.T) {
	l := testEntry(t).leaders
	l.learn(cellcodec.Leader{Cell: 0, Epoch: 5, Address: "10.0.0.2:1", Nonce: 2})
	first, shown := l.Pulse(-1, 0)
	assert.Equal(t, len(first.Leaders), 1)
	second, shown := l.Pulse(-1, shown)
	assert.Equal(t, len(second.Leaders), 0)
	l.learn(cellcodec.Leader{Cell: 0, Epoch: 6, Address: "10.0.0.3:1", Nonce: 3})
	third, _ := l.Pulse(-1, shown)
	assert.Equal(t, len(third.Leaders), 1)
}

// Guards against a pulse that waits for its period when there is something to
// tell.
func TestChangeWakesTheLinks(t *testing.T) {
	l := testEntry(t).leaders
	wake := l.Wake()
	l.learn(cellcodec.Leader{Cell: 0, Epoch: 5, Address: "10.0.0.2:1", Nonce: 2})
	<-wake
	wake = l.Wake()
	l.tell()
	<-wake
}

// Guards against an earlier leader that replaces a later one, and against a
// term that was given up but is still asked.
func TestOnlyLaterTermsAreLearned(t *testing.T) {
	l := testEntry(t).leaders
	later := cellcodec.Leader{Cell: 0, Epoch: 6, Address: "10.0.0.3:1", Nonce: 3}
	l.learn(later)
	l.learn(cellcodec.Leader{Cell: 0, Epoch: 5, Address: "10.0.0.2:1", Nonce: 2})
	assert.Equal(t, l.table.Load().byCell[0], later)
	l.learn(cellcodec.Leader{Cell: 0, Epoch: 6})
	assert.Equal(t, l.table.Load().byCell[0].Address, "")
	l.learn(later)
	assert.Equal(t, l.table.Load().byCell[0].Address, "", "a late pulse doesn't bring it back")
}
