package platform_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/platform"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/test/platformstub"
)

// The requests and replies of the client must follow the protocols of the log
// and of the instance list.
func TestClientSpeaksTheProtocol(t *testing.T) {
	listed := []platform.ListedInstance{{ID: "i", Address: "127.0.0.1:1", Kind: "worker", Zone: "z"}}
	server := httptest.NewServer(platformstub.New(listed).Handler("a"))
	defer server.Close()
	client := platform.NewClient(server.Listener.Addr().String())
	defer client.Close()
	first, err := client.Append(t.Context(), "a/b", [][]byte{[]byte("x"), []byte("y")})
	assert.NilError(t, err)
	assert.Equal(t, first, ident.Offset(1))
	batch, err := client.Read(t.Context(), "a/b", 2, 10, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, batch.First, ident.Offset(2))
	assert.Equal(t, batch.Next, ident.Offset(3))
	assert.DeepEqual(t, batch.Entries, [][]byte{[]byte("y")})
	instances, err := client.ListInstances(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, instances, listed)
}

// A request to /control/faults must disconnect the client that it names and no
// other. Tests of outages would otherwise pass without any outage.
func TestFaultDisconnectsOnlyNamedClient(t *testing.T) {
	server := httptest.NewServer(platformstub.New(nil).Handler("all"))
	defer server.Close()
	address := server.Listener.Addr().String()
	disconnected := platform.NewClient(address + "/clients/a")
	defer disconnected.Close()
	other := platform.NewClient(address + "/clients/b")
	defer other.Close()
	_, err := disconnected.Append(t.Context(), "s", [][]byte{[]byte("x")})
	assert.NilError(t, err)
	reply, err := http.Post(server.URL+"/control/faults", "application/json", strings.NewReader(`{"cut":{"a":true}}`))
	assert.NilError(t, err)
	assert.NilError(t, reply.Body.Close())
	_, err = disconnected.Append(t.Context(), "s", [][]byte{[]byte("x")})
	assert.Equal(t, fault.KindOf(err), fault.LogUnavailable)
	_, err = other.Append(t.Context(), "s", [][]byte{[]byte("x")})
	assert.NilError(t, err)
}

// An append whose reply was lost must not be reported as not sent, because its
// entries may have been appended.
func TestUnsentRequestAndLostReplyHaveDifferentOutcomes(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler) // Closes the connection after the request was read.
	}))
	client := platform.NewClient(server.Listener.Addr().String())
	defer client.Close()
	_, err := client.Append(t.Context(), "s", [][]byte{[]byte("x")})
	assert.Equal(t, fault.KindOf(err), fault.LogUnavailable)
	assert.Equal(t, fault.From(err).Outcome, fault.Unknown)
	server.Close()
	_, err = client.Append(t.Context(), "s", [][]byte{[]byte("x")})
	assert.Equal(t, fault.KindOf(err), fault.LogUnavailable)
	assert.Equal(t, fault.From(err).Outcome, fault.NotRun)
}
