package instance_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/caller"
	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/instance"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/membership"
	"poplarvalve/internal/version/ownership"
	"poplarvalve/internal/version/rules"
	"poplarvalve/internal/version/workers"
	"poplarvalve/test/workerstub"
)

// Guards against a break anywhere on the path of an urgent request, from the
// caller's HTTP request over placement, ledger and start lease to the worker
// and back.
func TestUrgentRequestReachesWorkerAndReturns(t *testing.T) {
	backend := httptest.NewServer(workerstub.New())
	defer backend.Close()
	node := newInstance(strings.TrimPrefix(backend.URL, "http://"))
	node.Fence.Renew(time.Now(), time.Minute)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); node.Run(ctx) }()
	defer func() { cancel(); <-done }()
	front := httptest.NewServer(caller.NewHandler(node.Engine, nil))
	defer front.Close()

	var response *http.Response
	for range 100 {
		response = post(t, front.URL, "body of the caller")
		if response.StatusCode == http.StatusOK {
			break
		}
		response.Body.Close()
		time.Sleep(10 * time.Millisecond)
	}

	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "body of the caller")
	assert.Equal(t, response.Header.Get(caller.HeaderOutcome), "ran")
}

func newInstance(backendAddress string) *instance.Instance {
	self := ident.Incarnation{Instance: "entry-1", Nonce: 1}
	place := workers.Place{Zone: "cascades-a", Region: "cascades"}
	capacity := resource.Vector{CPU: 32000, Memory: 125000, Slots: 8, Connections: 64}
	known := workers.Worker{
		ID: "worker-1", Address: backendAddress, Zone: place.Zone, Region: place.Region,
		Capacity: capacity, Free: capacity, Ready: true,
	}
	node := instance.New(self, place, instance.Parts{
		Clock: clock.System{},
		Dial:  func(w workers.Worker) worker.API { return worker.NewClient(w.Address, 64) },
	})
	check := rules.Service{
		Name: "permit-check", Class: work.Urgent, Idempotent: true,
		Demand: resource.Vector{CPU: 250, Memory: 128, Slots: 1, Connections: 1},
	}
	node.Rules.Publish(&rules.Set{Services: map[ident.ServiceName]rules.Service{check.Name: check}})
	node.Workers.Publish(workers.New([]workers.Worker{known}))
	node.Ownership.Publish(ownership.New(&membership.State{
		Epoch:   1,
		Members: []membership.Member{{ID: self, Zone: place.Zone, Region: place.Region}},
	}))
	return node
}

func post(t *testing.T, base, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		base+"/v1/services/permit-check/call", bytes.NewBufferString(body))
	assert.NilError(t, err)
	request.Header.Set(caller.HeaderCaller, "hiker")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	return response
}
