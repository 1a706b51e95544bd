package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/celllink"
	"poplarvalve/internal/connection/peer"
	"poplarvalve/internal/process/store"
)

// emptyLog is a log without records.
type emptyLog struct{ store.Log }

func (emptyLog) Newest(context.Context, store.Partition) ([]store.Record, int64, error) {
	return nil, 0, nil
}

// Guards against an instance that confirms no term until the next change of leader, because the
// leader has reached it before it first read the term: without enough voters, all work lapses
// when the log is away.
func TestInstanceThatHearsOfTheLeaderFirstReadsTheTerm(t *testing.T) {
	remote := testEntry(t)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, celllink.Handler(remote.leaders, nil))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	e := testEntry(t)
	e.options.Self.Nonce = 2
	e.options.Log = emptyLog{}
	e.leaders.HandleHeartbeat(cellcodec.LinkHeartbeat{Cells: 1, Leaders: []cellcodec.Leader{
		{Cell: 0, Epoch: 5, Address: server.Listener.Addr().String(), Nonce: 1}}}, time.Time{})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	e.followCells(ctx)
	<-ctx.Done()
	e.goroutines.Wait()
	e.leaders.close()
	assert.Equal(t, len(e.leaders.table.Load().knownTerms()), 1, "the instance has not read the term")
}
