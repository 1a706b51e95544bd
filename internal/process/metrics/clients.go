package metrics

import "github.com/prometheus/client_golang/prometheus"

// ClientMetrics shows what the clients of a process take and how many exceed a limit.
type ClientMetrics struct {
	registry *prometheus.Registry
	refusals *prometheus.CounterVec
}

func newClientMetrics(registry *prometheus.Registry) *ClientMetrics {
	c := &ClientMetrics{registry, newCounterVec("client_refusals_total",
		"Requests refused and connections closed because a client exceeded a limit of the process.", "reason")}
	registry.MustRegister(c.refusals)
	return c
}

// ObserveClients adds metrics that read the limits of clients: the refusals by the given reasons,
// the memory that bodies hold in bytes, and the number of connections.
func (c *ClientMetrics) ObserveClients(reasons []string, bodyBytes, connections func() float64) {
	for _, reason := range reasons {
		c.refusals.WithLabelValues(reason)
	}
	c.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: "client_body_bytes",
			Help: "Memory held by bodies on which the process has not decided."}, bodyBytes),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: "client_connections",
			Help: "Open connections of clients."}, connections))
}

// ClientRefused counts a request that was refused or a connection that was closed.
func (c *ClientMetrics) ClientRefused(reason string) { c.refusals.WithLabelValues(reason).Inc() }
