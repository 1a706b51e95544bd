package clientlimit

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/orderly"
	"poplarvalve/internal/process/settings"
)

// BenchmarkConnection measures a small submission on an open connection, with limits and without.
func BenchmarkConnection(b *testing.B) {
	run := func(b *testing.B, wrap func(*http.Server, *orderly.Listener) net.Listener) {
		opened, err := orderly.Listen("127.0.0.1:0")
		assert.NilError(b, err)
		server := &http.Server{ReadHeaderTimeout: 5e9, ConnState: opened.ConnState}
		listener := wrap(server, opened)
		go func() { _ = server.Serve(listener) }() // Ends with an error when the server is closed.
		b.Cleanup(func() { _ = server.Close() })
		client := &http.Client{}
		b.ReportAllocs()
		for b.Loop() {
			response, err := client.Post("http://"+opened.Addr().String(), "", strings.NewReader(strings.Repeat("x", 200)))
			assert.NilError(b, err)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(b, err)
			assert.NilError(b, response.Body.Close())
		}
	}
	answer := []byte("{}")
	b.Run("without limits", func(b *testing.B) {
		run(b, func(server *http.Server, opened *orderly.Listener) net.Listener {
			server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
				_, _ = w.Write(answer)
			})
			return opened
		})
	})
	b.Run("with limits", func(b *testing.B) {
		limits := settings.ClientLimits{BodyMemory: 8 << 20, SmallBodyMemory: 1 << 20, MaxBody: 1 << 20, Connections: 100, LinkConnections: 2, Requests: 100,
			AddressShare: 0.9, BodyTimeout: 10e9, BodyWait: 1e9, MinBodyRate: 8 << 10, HeaderBytes: 16 << 10, IdleTimeout: 300e9, ResponseTimeout: 5e9}
		run(b, func(server *http.Server, opened *orderly.Listener) net.Listener {
			l := NewConnections(ConfigFrom(limits), &recorder{})
			bodies := NewBodies(ConfigFrom(limits), NewBudget(limits), &recorder{})
			limited := l.Listen(opened, false, opened.ConnState)
			limited.Configure(server)
			server.Handler = l.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if body, reason := bodies.Read(r); reason == None {
					defer body.Release()
				}
				_, _ = w.Write(answer)
			}))
			return limited
		})
	})
}
