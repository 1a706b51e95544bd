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

// Guards against a client whose requests or replies differ from the protocol of
// the log or of the instance list.
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

// Guards against a test platform that cuts off another client than the one
// named in the control request, or that ignores the control request.
func TestControlCutsOffOnlyNamedClient(t *testing.T) {
	server := httptest.NewServer(platformstub.New(nil).Handler("all"))
	defer server.Close()
	address := server.Listener.Addr().String()
	cutOff := platform.NewClient(address + "/clients/a")
	defer cutOff.Close()
	other := platform.NewClient(address + "/clients/b")
	defer other.Close()
	_, err := cutOff.Append(t.Context(), "s", [][]byte{[]byte("x")})
	assert.NilError(t, err)
	reply, err := http.Post(server.URL+"/control/faults", "application/json", strings.NewReader(`{"cut":{"a":true}}`))
	assert.NilError(t, err)
	assert.NilError(t, reply.Body.Close())
	_, err = cutOff.Append(t.Context(), "s", [][]byte{[]byte("x")})
	assert.Equal(t, fault.KindOf(err), fault.LogUnavailable)
	_, err = other.Append(t.Context(), "s", [][]byte{[]byte("x")})
	assert.NilError(t, err)
}

// Guards against an append that is reported as not sent although only its reply
// was lost, so that its entries may have been appended.
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
