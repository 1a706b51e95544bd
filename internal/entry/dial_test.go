package entry

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"poplarvalve/internal/connection/celllink"
	"poplarvalve/internal/connection/peer"
)

// An instance follows each cell in a loop of its own, and one instance may lead several.
// If each loop dialed it, all links but one would stay open without being used, and
// their heartbeats would hide that the instance is isolated.
func TestConcurrentDialsLeaveOneLink(t *testing.T) {
	remote := testEntry(t).leaders
	mux := http.NewServeMux()
	mux.Handle(peer.Path, celllink.Handler(remote, nil))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	local := testEntry(t).leaders
	var dials sync.WaitGroup
	for range 8 {
		dials.Add(1)
		go func() {
			defer dials.Done()
			_, err := local.dialLink(t.Context(), server.Listener.Addr().String())
			assert.Check(t, err)
		}()
	}
	dials.Wait()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		remote.mu.Lock()
		defer remote.mu.Unlock()
		if remote.inboundLinks == 1 {
			return poll.Success()
		}
		return poll.Continue("%d links are open", remote.inboundLinks)
	}, poll.WithTimeout(10*time.Second))
	local.close()
}
