package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/work"
)

// The metrics of workers that leave and of hand-overs must appear under their labels, also while nothing was
// counted: an alarm on a missing series never fires.
func TestHandlerServesMetricsOfDepartures(t *testing.T) {
	e := NewEntryMetrics()
	e.WorkersDeparted(3, 1)
	e.TasksMoved(5, 0)
	e.LeasesBound(2)
	e.HandedOver(true)
	e.TaskAway("departure", 300*time.Millisecond)
	e.NearWaitEnded("gave_up", 300*time.Millisecond)
	e.TasksMovedForSpeed(4)
	e.SlowWorkers(2, 7)
	recorder := httptest.NewRecorder()
	e.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`poplarvalve_worker_departures_total{outcome="known"} 3`,
		`poplarvalve_worker_departures_total{outcome="missed"} 1`,
		`poplarvalve_task_moves_total{cause="departure"} 5`,
		`poplarvalve_leases_bound_total 2`,
		`poplarvalve_hand_overs_total{record="stored"} 1`,
		`poplarvalve_hand_overs_total{record="missing"} 0`,
		`poplarvalve_task_moves_total{cause="interference"} 0`,
		`poplarvalve_task_moves_total{cause="speed"} 4`,
		`poplarvalve_slow_workers{cell="2"} 7`,
		`poplarvalve_task_away_seconds_bucket{cause="departure",le="0.5"} 1`,
		`poplarvalve_near_wait_seconds_bucket{outcome="gave_up",le="0.5"} 1`,
	} {
		assert.Assert(t, strings.Contains(recorder.Body.String(), want+"\n"), want)
	}
}

// A reason for which no client was refused yet must have a series, and the memory that bodies hold
// must be read when it is asked for.
func TestHandlerServesMetricsOfClients(t *testing.T) {
	e, held := NewEntryMetrics(), 0.0
	e.ObserveClients([]string{"too_large", "too_slow"}, func() float64 { return held }, func() float64 { return 3 })
	held = 4096
	e.ClientRefused("too_slow")
	recorder := httptest.NewRecorder()
	e.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`poplarvalve_client_refusals_total{reason="too_large"} 0`,
		`poplarvalve_client_refusals_total{reason="too_slow"} 1`,
		"poplarvalve_client_body_bytes 4096",
		"poplarvalve_client_connections 3",
	} {
		assert.Assert(t, strings.Contains(recorder.Body.String(), want+"\n"), want)
	}
}

// Every metric must appear in the output of the handler with the labels under
// which it was counted. A metric with other labels, or one that is not
// registered, would be missing. Two sets of metrics in one process must not
// conflict.
func TestHandlerServesEveryMetric(t *testing.T) {
	New()
	m := New()
	m.CountAnswer(work.Urgent, 0.3)
	m.CountStart(work.Batch, 2)
	m.CountRefusal(fault.Overloaded)
	m.CountEviction(EvictStop, work.Batch)
	m.CountRetry()
	m.CountAppends("config", 0, 1)
	m.CountRegionBytes("attiki", Sent, 40)
	m.CountSkippedRecords("config", 1)
	m.SetLag("config", 3)
	m.SetRulesVersion(9)
	m.SetLeaseHeld(true)
	m.AddInFlight(1)
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`poplarvalve_request_latency_seconds_count{class="urgent"} 1`,
		`poplarvalve_start_wait_seconds_count{class="batch"} 1`,
		`poplarvalve_refusals_total{kind="overloaded"} 1`,
		`poplarvalve_evictions_total{action="stop",class="batch"} 1`,
		"poplarvalve_retries_total 1",
		`poplarvalve_log_appends_total{result="failed",stream="config"} 1`,
		`poplarvalve_region_link_bytes_total{direction="sent",region="attiki"} 40`,
		`poplarvalve_log_records_skipped_total{stream="config"} 1`,
		`poplarvalve_log_lag_records{stream="config"} 3`,
		"poplarvalve_rules_version 9",
		"poplarvalve_instance_lease_held 1",
		"poplarvalve_requests_in_flight 1",
	} {
		assert.Assert(t, strings.Contains(recorder.Body.String(), want+"\n"), want)
	}
}
