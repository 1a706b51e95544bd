package home

import (
	"context"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/jobs"
)

// ShardState is the dump of one shard.
type ShardState struct {
	Shard  ident.Shard       `json:"shard"`
	Home   ident.Incarnation `json:"home"`
	Offset ident.Offset      `json:"offset"`
	// Ready is whether this incarnation acts for the shard.
	Ready bool `json:"ready"`
	// Skipped counts the entries that could not be decoded, by reason.
	Skipped map[string]uint64 `json:"skipped,omitempty"`
	// Queued is the number of records that wait for the log.
	Queued int `json:"queued"`
	// Open counts the jobs that are not over, by team and state.
	Open  map[ident.TeamName]map[string]int `json:"open,omitempty"`
	Ended int                               `json:"ended"`
	Keys  int                               `json:"keys"`
	// Waits counts the jobs that wait, by reason.
	Waits map[fault.Kind]int `json:"waits,omitempty"`
}

// State is the dump of a home.
type State struct {
	Shards []ShardState `json:"shards"`
	// Outcomes and OutcomeBytes are what waits to be recorded.
	Outcomes     int `json:"outcomes"`
	OutcomeBytes int `json:"outcome_bytes"`
	// Dropped counts the outcomes for which there was no room.
	Dropped uint64 `json:"outcomes_dropped"`
}

// State returns a dump.
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
	state.Outcomes, state.OutcomeBytes, state.Dropped = h.outbox.count, h.outbox.bytes, h.outbox.dropped
	return state
}

func (s *shard) state() ShardState {
	table := s.current()
	counts := table.Counts()
	state := ShardState{
		Shard:   s.id,
		Home:    table.Home,
		Offset:  table.Offset,
		Ready:   s.ready() == nil,
		Skipped: s.follower.Progress().Skipped,
		Queued:  s.appender.Stats().Queued,
		Open:    map[ident.TeamName]map[string]int{},
		Ended:   counts.Ended,
		Keys:    counts.Keys,
		Waits:   map[fault.Kind]int{},
	}
	table.Open(func(job *jobs.Job) {
		team, _ := jobs.Team(job.Spec.ID)
		if state.Open[team] == nil {
			state.Open[team] = map[string]int{}
		}
		state.Open[team][job.State.String()]++
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, refusal := range s.waits {
		state.Waits[refusal.Kind]++
	}
	return state
}

// Explain says why a job waits, or how far it is.
func (h *Home) Explain(ctx context.Context, id ident.JobID) (work.JobStatus, error) {
	return h.Job(ctx, id)
}
