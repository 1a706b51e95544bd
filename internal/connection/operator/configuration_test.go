package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/manifest"
	"poplarvalve/internal/version/manifestcheck"
)

// fakeDeployment is a DeploymentReader with a fixed result.
type fakeDeployment struct {
	deployment manifestcheck.Deployment
	err        error
}

func (f fakeDeployment) Deployment(context.Context) (manifestcheck.Deployment, error) {
	return f.deployment, f.err
}

func requestConfiguration(reader DeploymentReader, method string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	NewConfigurationHandler(reader).ServeHTTP(recorder, httptest.NewRequest(method, PathConfiguration, nil))
	return recorder
}

// drawQueue draws a queue. Advice may take a fraction of a millisecond.
func drawQueue(t *rapid.T) manifest.Queue {
	duration := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "ns"))
	})
	queue := manifest.Queue{
		Name: rapid.String().Draw(t, "name"), Host: rapid.String().Draw(t, "host"), Prefix: rapid.String().Draw(t, "prefix"), Pool: rapid.String().Draw(t, "pool"),
		Priority: rapid.Int().Draw(t, "priority"), Attempts: rapid.Int().Draw(t, "attempts"), Stretch: rapid.Float64Range(-9, 9).Draw(t, "stretch"),
		Objective: duration.Draw(t, "objective"),
	}
	if rapid.Bool().Draw(t, "advised") {
		queue.Advice = &manifest.AdviceLatency{Decision: duration.Draw(t, "decision"), PerWorker: duration.Draw(t, "per worker")}
	}
	return queue
}

// A value that is altered on the way shows up as a difference that nobody has made.
func TestConfigurationArrivesUnaltered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := manifestcheck.Deployment{
			InForce:       manifest.New(rapid.Int64().Draw(t, "version"), rapid.SliceOfN(rapid.Custom(drawQueue), 0, 4).Draw(t, "queues")),
			Pools:         []cell.PoolSummary{{Pool: "p", Workers: 2, Labels: []string{"a", "r1"}, MoreLabels: rapid.Bool().Draw(t, "more")}},
			PoolsComplete: rapid.Bool().Draw(t, "complete"), LacksAdviceService: rapid.Bool().Draw(t, "advice"), RecordBytes: 5,
		}
		recorder := requestConfiguration(fakeDeployment{deployment: sent}, http.MethodGet)
		assert.Equal(t, recorder.Code, http.StatusOK)
		var body Configuration
		assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &body))
		received := body.Deployment()
		assert.Equal(t, len(manifestcheck.Differences(sent.InForce, received.InForce)), 0)
		assert.Equal(t, received.InForce.Version, sent.InForce.Version)
		sent.InForce, received.InForce = nil, nil
		assert.DeepEqual(t, received, sent)
	})
}

// The path only reads, its reply is bounded, and an instance without a manifest has no
// version 0 in force, above which every manifest would have to be.
func TestConfigurationIsReadOnlyAndBounded(t *testing.T) {
	assert.Equal(t, requestConfiguration(fakeDeployment{}, http.MethodPost).Code, http.StatusNotFound)
	large := manifest.New(1, []manifest.Queue{{Name: strings.Repeat("n", maxConfigurationBytes)}})
	assert.Equal(t, requestConfiguration(fakeDeployment{deployment: manifestcheck.Deployment{InForce: large}}, http.MethodGet).Code, http.StatusRequestEntityTooLarge)
	failed := fakeDeployment{err: fault.New(fault.DeadlineExceeded, "reading the pools")}
	assert.Equal(t, requestConfiguration(failed, http.MethodGet).Code, http.StatusGatewayTimeout)
	var empty Configuration
	assert.NilError(t, json.Unmarshal(requestConfiguration(fakeDeployment{}, http.MethodGet).Body.Bytes(), &empty))
	assert.Assert(t, !empty.InForce && empty.Deployment().InForce == nil)
}
