package platformstub

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"poplarvalve/internal/connection/platform"
	"poplarvalve/internal/process/ident"
)

const (
	// maxBodyBytes bounds the body of a request to the stub.
	maxBodyBytes = 16 << 20
	// maxReadWait bounds how long a read waits for entries.
	maxReadWait = 30 * time.Second
)

// Handler serves the platform's protocol to the client of that name, which
// Faults.DisconnectedClients refers to. Requests under the path prefix
// /clients/NAME are served to the client NAME instead, so that one address can
// serve several clients.
//
// POST /control/faults takes Faults as JSON and replaces the faults in force.
// POST /control/instances takes a JSON array and replaces the instance list.
func (p *Platform) Handler(clientName string) http.Handler {
	h := handler{platform: p, clientName: clientName}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/append", h.serveAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/read", h.serveRead)
	mux.HandleFunc("GET /v1/instances", h.serveInstances)
	mux.HandleFunc("POST /control/faults", h.setFaults)
	mux.HandleFunc("POST /control/instances", h.setInstances)
	mux.HandleFunc("/clients/{client}/", func(w http.ResponseWriter, r *http.Request) {
		otherClient := r.PathValue("client")
		http.StripPrefix("/clients/"+otherClient, p.Handler(otherClient)).ServeHTTP(w, r)
	})
	return mux
}

// handler serves one client of a platform.
type handler struct {
	platform   *Platform
	clientName string
}

func (h handler) client() *client {
	return &client{platform: h.platform, name: h.clientName}
}

func (h handler) serveAppend(w http.ResponseWriter, r *http.Request) {
	var request platform.AppendRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = cbor.Unmarshal(body, &request)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	stream := ident.StreamName(r.PathValue("stream"))
	first, err := h.client().Append(r.Context(), stream, request.Entries)
	writeCBOR(w, platform.AppendReply{First: first}, err)
}

func (h handler) serveRead(w http.ResponseWriter, r *http.Request) {
	from, errFrom := strconv.ParseUint(r.FormValue("from"), 10, 64)
	limit, errLimit := strconv.ParseUint(r.FormValue("max"), 10, 31)
	wait, errWait := strconv.ParseUint(r.FormValue("wait_ms"), 10, 31)
	if errFrom != nil || errLimit != nil || errWait != nil {
		http.Error(w, "from, max and wait_ms must be non-negative integers; max and wait_ms have at most 31 bits", http.StatusBadRequest)
		return
	}
	waitLimit := min(time.Duration(wait)*time.Millisecond, maxReadWait)
	stream := ident.StreamName(r.PathValue("stream"))
	batch, err := h.client().Read(r.Context(), stream, ident.Offset(from), int(limit), waitLimit)
	writeCBOR(w, platform.ReadReply(batch), err)
}

func (h handler) serveInstances(w http.ResponseWriter, r *http.Request) {
	h.platform.mu.Lock()
	listed := h.platform.instances
	h.platform.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(listed)
}

func (h handler) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.platform.ChangeFaults(func(current *Faults) { *current = faults })
}

func (h handler) setInstances(w http.ResponseWriter, r *http.Request) {
	var listed []platform.ListedInstance
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&listed); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.platform.SetInstances(listed)
}

// writeCBOR sends the reply, or err with status 503.
func writeCBOR(w http.ResponseWriter, reply any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	encoded, err := cbor.Marshal(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(encoded)
}
