package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"net/http"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/manifest"
	"poplarvalve/internal/version/manifestcheck"
)

// PathConfiguration is the path at which an entry instance returns its Configuration.
const PathConfiguration = "/v1/configuration"

// maxConfigurationBytes bounds the reply for PathConfiguration. It is 16 times the largest
// record of the log, which holds the manifest.
const maxConfigurationBytes = 4 << 20

// Configuration is the manifest in force at an entry instance, and what the instance knows
// about the deployment.
type Configuration struct {
	// InForce is false before the first manifest.
	InForce bool    `json:"in_force"`
	Version int64   `json:"version"`
	Queues  []Queue `json:"queues"`
	// Pools describes the backend servers of the cells that the instance leads. They are
	// all backend servers if PoolsComplete is set.
	Pools         []Pool `json:"pools"`
	PoolsComplete bool   `json:"pools_complete"`
	AdviceService bool   `json:"advice_service"`
	// RecordBytes is the size of the largest record that the log takes.
	RecordBytes int `json:"record_bytes"`
}

// Queue is one queue of the manifest. Fields without a value are omitted.
type Queue struct {
	Name            string  `json:"name,omitempty"`
	Host            string  `json:"host,omitempty"`
	Prefix          string  `json:"prefix,omitempty"`
	Service         string  `json:"service,omitempty"`
	Priority        int     `json:"priority,omitempty"`
	Attempts        int     `json:"attempts,omitempty"`
	Stretch         float64 `json:"stretch,omitempty"`
	ObjectiveMillis float64 `json:"objective_ms,omitempty"`
	Advice          *Advice `json:"advice,omitempty"`
}

// Advice is the time that the advice service takes for a queue.
type Advice struct {
	DecisionMillis  float64 `json:"decision_ms,omitempty"`
	PerWorkerMillis float64 `json:"per_server_ms,omitempty"`
}

// Pool is a service with the number of its registered backend servers and their labels.
type Pool struct {
	Service    string   `json:"service"`
	Servers    int      `json:"servers"`
	Labels     []string `json:"labels,omitempty"`
	MoreLabels bool     `json:"more_labels,omitempty"`
}

// NewConfiguration returns a deployment in the form in which it is sent.
func NewConfiguration(d manifestcheck.Deployment) Configuration {
	c := Configuration{Queues: []Queue{}, Pools: []Pool{}, PoolsComplete: d.PoolsComplete, AdviceService: !d.LacksAdviceService, RecordBytes: d.RecordBytes}
	if d.InForce != nil {
		c.InForce, c.Version = true, d.InForce.Version
		for _, queue := range d.InForce.Queues {
			c.Queues = append(c.Queues, newQueue(queue))
		}
	}
	for _, pool := range d.Pools {
		c.Pools = append(c.Pools, Pool{pool.Pool, pool.Workers, pool.Labels, pool.MoreLabels})
	}
	return c
}

func newQueue(queue manifest.Queue) Queue {
	encoded := Queue{Name: queue.Name, Host: queue.Host, Prefix: queue.Prefix, Service: queue.Pool, Priority: queue.Priority,
		Attempts: queue.Attempts, Stretch: queue.Stretch, ObjectiveMillis: millis(queue.Objective)}
	if advice := queue.Advice; advice != nil {
		encoded.Advice = &Advice{millis(advice.Decision), millis(advice.PerWorker)}
	}
	return encoded
}

// Deployment returns what the instance knows about the deployment.
func (c Configuration) Deployment() manifestcheck.Deployment {
	d := manifestcheck.Deployment{PoolsComplete: c.PoolsComplete, LacksAdviceService: !c.AdviceService, RecordBytes: c.RecordBytes}
	if c.InForce {
		queues := make([]manifest.Queue, 0, len(c.Queues))
		for _, queue := range c.Queues {
			queues = append(queues, queue.decode())
		}
		d.InForce = manifest.New(c.Version, queues)
	}
	for _, pool := range c.Pools {
		d.Pools = append(d.Pools, cell.PoolSummary{Pool: pool.Service, Workers: pool.Servers, Labels: pool.Labels, MoreLabels: pool.MoreLabels})
	}
	return d
}

func (q Queue) decode() manifest.Queue {
	decoded := manifest.Queue{Name: q.Name, Host: q.Host, Prefix: q.Prefix, Pool: q.Service, Priority: q.Priority,
		Attempts: q.Attempts, Stretch: q.Stretch, Objective: duration(q.ObjectiveMillis)}
	if q.Advice != nil {
		decoded.Advice = &manifest.AdviceLatency{Decision: duration(q.Advice.DecisionMillis), PerWorker: duration(q.Advice.PerWorkerMillis)}
	}
	return decoded
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// duration rounds, since a fraction of a millisecond may not be exact.
func duration(millis float64) time.Duration {
	return time.Duration(math.Round(millis * float64(time.Millisecond)))
}

// DeploymentReader returns the manifest in force and what the instance knows about the
// deployment. It fails if ctx ends first.
type DeploymentReader interface {
	Deployment(ctx context.Context) (manifestcheck.Deployment, error)
}

// NewConfigurationHandler returns the handler for GET requests for PathConfiguration.
func NewConfigurationHandler(reader DeploymentReader) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathConfiguration, func(w http.ResponseWriter, r *http.Request) {
		deployment, err := reader.Deployment(r.Context())
		if err != nil {
			writeFailure(w, err)
			return
		}
		writeConfiguration(w, NewConfiguration(deployment))
	})
	mux.HandleFunc("/", notFound)
	return mux
}

// writeConfiguration writes a configuration, or a failure of kind TooLarge if it is over the
// bound.
func writeConfiguration(w http.ResponseWriter, c Configuration) {
	var encoded bytes.Buffer
	encoder := json.NewEncoder(&encoded)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(c); err != nil {
		writeFailure(w, fault.Wrap(fault.Internal, err, "encoding the configuration"))
		return
	}
	if encoded.Len() > maxConfigurationBytes {
		writeFailure(w, fault.New(fault.TooLarge, "the configuration has %d bytes, more than %d", encoded.Len(), maxConfigurationBytes))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the operator has disconnected.
	_, _ = w.Write(encoded.Bytes())
}
