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

// Guards against a connection that is opened for each command, which cost an
// owner about one connection a second for each of its workers.
func TestCommandsShareAConnection(t *testing.T) {
	var opened atomic.Int64
	server := httptest.NewUnstartedServer(workerstub.New())
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := worker.NewClient(strings.TrimPrefix(server.URL, "http://"), 64)
	for i := range 20 {
		lease := ident.LeaseID(string(rune('a' + i)))
		assert.NilError(t, client.GrantLease(t.Context(), lease, time.Minute))
		_, err := client.Usage(t.Context())
		assert.NilError(t, err)
		_, err = client.Checkpoint(t.Context(), "unknown")
		assert.Assert(t, err != nil)
	}
	assert.Equal(t, opened.Load(), int64(1))
}
