package home

import (
	"context"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/jobs"
)

// ShardState is the diagnostic dump of one shard.
type ShardState struct {
	Shard  ident.Shard       `json:"shard"`
	Home   ident.Incarnation `json:"home"`
	Offset ident.Offset      `json:"offset"`
	// Ready reports whether this incarnation is the home of the shard and has
	// read the whole stream.
	Ready bool `json:"ready"`
	// Skipped counts the log entries that could not be decoded, by reason.
	Skipped map[string]uint64 `json:"skipped,omitempty"`
	// Queued is the number of records that are waiting to be appended to the
	// log.
	Queued int `json:"queued"`
	// Open counts the jobs that have not ended, by team and state.
	Open  map[ident.TeamName]map[string]int `json:"open,omitempty"`
	Ended int                               `json:"ended"`
	Keys  int                               `json:"keys"`
	// WaitReasons counts the waiting jobs by the reason for which they were not
	// placed.
	WaitReasons map[fault.Kind]int `json:"waits,omitempty"`
}

// State is the diagnostic dump of a Home.
type State struct {
	Shards []ShardState `json:"shards"`
	// PendingOutcomes and OutcomeBytes are the number and the size in bytes of
	// the outcomes that are not recorded yet.
	PendingOutcomes int `json:"outcomes"`
	OutcomeBytes    int `json:"outcome_bytes"`
	// DroppedOutcomes counts the outcomes that were discarded because the
	// outbox was full.
	DroppedOutcomes uint64 `json:"outcomes_dropped"`
}

// State returns a dump of all shards and of the outbox. Its type is State.
func (h *Home) State() any {
	var state State
	table := *h.shards.Load()
	for id := range ident.Shard(h.config.Shards) {
		if s, found := table[id]; found {
			state.Shards = append(state.Shards, s.state())
		}
	}
	h.outbox.mu.Lock()
	defer h.outbox.mu.Unlock()
	state.PendingOutcomes, state.OutcomeBytes, state.DroppedOutcomes = h.outbox.count, h.outbox.bytes, h.outbox.dropped
	return state
}

func (s *shard) state() ShardState {
	table := s.currentTable()
	counts := table.Counts()
	state := ShardState{
		Shard:       s.id,
		Home:        table.Home,
		Offset:      table.Offset,
		Ready:       s.checkReady() == nil,
		Skipped:     s.follower.Progress().Skipped,
		Queued:      s.appender.Stats().Queued,
		Open:        map[ident.TeamName]map[string]int{},
		Ended:       counts.Ended,
		Keys:        counts.Keys,
		WaitReasons: map[fault.Kind]int{},
	}
	table.VisitOpen(func(job *jobs.Job) {
		team, _ := jobs.Team(job.Spec.ID)
		if state.Open[team] == nil {
			state.Open[team] = map[string]int{}
		}
		state.Open[team][job.State.String()]++
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, refusal := range s.waitReasons {
		state.WaitReasons[refusal.Kind]++
	}
	return state
}

// Explain returns the status of a job. The status of a waiting job includes the
// reason why the job was not placed.
func (h *Home) Explain(ctx context.Context, id ident.JobID) (work.JobStatus, error) {
	return h.JobStatus(ctx, id)
}
