package worker_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/ident"
	"poplarvalve/test/workerstub"
)

// All commands to a worker must share one connection. A client that did not
// read replies to their end opened a connection for each command, which cost an
// owner about one connection a second for each of its workers.
func TestCommandsShareAConnection(t *testing.T) {
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(workerstub.New())
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := worker.NewClient(strings.TrimPrefix(server.URL, "http://"), 64)
	for i := range 20 {
		lease := ident.LeaseID(string(rune('a' + i)))
		assert.NilError(t, client.RequestLease(t.Context(), lease, time.Minute))
		_, err := client.Usage(t.Context())
		assert.NilError(t, err)
		_, err = client.Checkpoint(t.Context(), "unknown")
		assert.Assert(t, err != nil)
	}
	assert.Equal(t, connections.Load(), int64(1))
}
