package operator

import (
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/version/config"
)

// The paths of the interface.
const (
	PathStatus  = "/v1/status"
	PathDump    = "/v1/dump"
	PathExplain = "/v1/explain/"
	PathMetrics = "/metrics"
	PathRules   = "/v1/rules"
	PathHistory = "/v1/rules/history"
)

// HeaderOutcome says, on each failure, whether the request took effect.
const HeaderOutcome = "Poplarvalve-Outcome"

// Proposal is the body of POST /v1/rules. A repeat with the same ID is
// harmless and gets the same verdict.
type Proposal struct {
	ID ident.RecordID `json:"id"`
	// Base is the version that the author edited; 0 if there was none.
	Base   ident.Offset `json:"base"`
	Rules  string       `json:"rules"`
	Author string       `json:"author"`
}

// Rules is one version of the rules. Version 0 means that there is none.
type Rules struct {
	Version ident.Offset `json:"version"`
	Author  string       `json:"author,omitempty"`
	Text    string       `json:"rules"`
}

// Verdict is what became of a proposal: accepted, lost or refused.
type Verdict struct {
	ID     ident.RecordID `json:"id"`
	Offset ident.Offset   `json:"offset,omitempty"`
	Base   ident.Offset   `json:"base"`
	Author string         `json:"author"`
	// Verdict is "accepted", "lost" or "refused".
	Verdict string `json:"verdict"`
	// Winner is the version that was in force when the proposal lost.
	Winner   ident.Offset `json:"winner,omitempty"`
	Problems []string     `json:"problems,omitempty"`
	// Current holds the rules in force, for a proposal that lost.
	Current *Rules `json:"current,omitempty"`
}

// Status is the state of one instance at a glance.
type Status struct {
	Instance     ident.InstanceName `json:"instance"`
	Incarnation  string             `json:"incarnation"`
	Version      string             `json:"version"`
	Zone         ident.ZoneName     `json:"zone"`
	Region       ident.RegionName   `json:"region"`
	LeaseHeld    bool               `json:"lease_held"`
	LogReachable bool               `json:"log_reachable"`
	Draining     bool               `json:"draining"`
	Epoch        ident.Epoch        `json:"epoch"`
	Members      int                `json:"members"`
	RulesVersion ident.Offset       `json:"rules_version"`
	Backends     int                `json:"owned_backends"`
	InFlight     int64              `json:"requests_in_flight"`
}

// Explanation says where a job stands and why.
type Explanation struct {
	Job     ident.JobID    `json:"job"`
	State   string         `json:"state"`
	Attempt ident.Attempt  `json:"attempt,omitempty"`
	Backend ident.WorkerID `json:"backend,omitempty"`
	// Reasons says why the job waits or failed, newest last.
	Reasons []string `json:"reasons,omitempty"`
}

// Failure is the body of a reply that is not a success.
type Failure struct {
	Failure *fault.Failure `json:"failure"`
	// Outcome is "not-run", "ran" or "unknown".
	Outcome string `json:"outcome"`
}

func verdictOf(entry config.Entry) Verdict {
	return Verdict{
		ID:       entry.ID,
		Offset:   entry.Offset,
		Base:     entry.Base,
		Author:   entry.Author,
		Verdict:  entry.Verdict.String(),
		Winner:   entry.Winner,
		Problems: entry.Problems,
	}
}

func rulesOf(state *config.State) Rules {
	if state == nil {
		return Rules{}
	}
	return Rules{Version: state.Version, Author: state.Author, Text: state.Text}
}
