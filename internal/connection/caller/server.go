package caller

import (
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

const (
	// headerTimeout bounds the time to receive the headers of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout closes connections that carried nothing for that long.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 16 << 10
)

// NewServer returns kratos' HTTP server for an address of the form IP:port with
// the handler mounted. The engine's deadlines end calls, so that kratos' own
// timeout is off: it would cut standing feeds.
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
