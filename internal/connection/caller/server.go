package caller

import (
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

const (
	// headerTimeout bounds the time to receive the headers of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout closes a connection that has been unused for this long.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 16 << 10
)

// NewServer returns a Kratos HTTP server for an address of the form IP:port
// that serves handler. Kratos' own timeout is off, because it would end
// standing feeds; calls end at the engine's deadlines.
func NewServer(address string, handler *Handler) *khttp.Server {
	server := khttp.NewServer(
		khttp.Address(address),
		khttp.Timeout(0),
		khttp.StrictSlash(false),
	)
	server.HandlePrefix("/", handler)
	server.ReadHeaderTimeout = headerTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = maxHeaderBytes
	return server
}
