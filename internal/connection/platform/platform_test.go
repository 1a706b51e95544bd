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

// Guards against a client that disagrees with the protocol of the log or of the
// instance list.
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
	instances, err := client.Instances(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, instances, listed)
}

// Guards against a cut that stops the wrong client, or control that has no effect.
func TestControlCutsOneClient(t *testing.T) {
	server := httptest.NewServer(platformstub.New(nil).Handler("all"))
	defer server.Close()
	address := server.Listener.Addr().String()
	cut := platform.NewClient(address + "/clients/a")
	defer cut.Close()
	other := platform.NewClient(address + "/clients/b")
	defer other.Close()
	_, err := cut.Append(t.Context(), "s", [][]byte{[]byte("x")})
	assert.NilError(t, err)
	reply, err := http.Post(server.URL+"/control/faults", "application/json", strings.NewReader(`{"cut":{"a":true}}`))
	assert.NilError(t, err)
	assert.NilError(t, reply.Body.Close())
	_, err = cut.Append(t.Context(), "s", [][]byte{[]byte("x")})
	assert.Equal(t, fault.KindOf(err), fault.LogUnavailable)
	_, err = other.Append(t.Context(), "s", [][]byte{[]byte("x")})
	assert.NilError(t, err)
}

// Guards against an append whose reply was lost and that counts as not sent.
func TestNotSentAndLostReplyDiffer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler) // Ends the connection after the request was read.
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
