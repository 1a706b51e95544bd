package operator

import (
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/version/config"
)

// The HTTP paths of the operator interface. PathExplain is followed by the
// identifier of a job.
const (
	PathStatus  = "/v1/status"
	PathDump    = "/v1/dump"
	PathExplain = "/v1/explain/"
	PathMetrics = "/metrics"
	PathRules   = "/v1/rules"
	PathHistory = "/v1/rules/history"
)

// HeaderOutcome is the header that says, on each failure, whether the request
// took effect.
const HeaderOutcome = "Poplarvalve-Outcome"

// Proposal is the body of POST /v1/rules. Repeating it with the same ID is
// harmless and returns the same verdict.
type Proposal struct {
	ID ident.RecordID `json:"id"`
	// Base is the version of the rules that the author edited, or 0 if there
	// was none.
	Base   ident.Offset `json:"base"`
	Rules  string       `json:"rules"`
	Author string       `json:"author"`
}

// Rules is one version of the rules. Version 0 means that no rules exist.
type Rules struct {
	Version ident.Offset `json:"version"`
	Author  string       `json:"author,omitempty"`
	Text    string       `json:"rules"`
}

// Verdict is the decision on a proposal.
type Verdict struct {
	ID     ident.RecordID `json:"id"`
	Offset ident.Offset   `json:"offset,omitempty"`
	Base   ident.Offset   `json:"base"`
	Author string         `json:"author"`
	// Verdict is "accepted", "lost" if the proposal conflicted because Base was
	// not the version in force, or "refused" if the proposal is invalid.
	Verdict string `json:"verdict"`
	// InForce is the version that was in force when the proposal conflicted.
	InForce  ident.Offset `json:"winner,omitempty"`
	Problems []string     `json:"problems,omitempty"`
	// Current holds the rules in force. It is set only for a proposal that
	// conflicted.
	Current *Rules `json:"current,omitempty"`
}

// Status is a summary of the state of one instance.
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

// Explanation gives the state of a job and the reasons for it.
type Explanation struct {
	Job     ident.JobID    `json:"job"`
	State   string         `json:"state"`
	Attempt ident.Attempt  `json:"attempt,omitempty"`
	Backend ident.WorkerID `json:"backend,omitempty"`
	// Reasons are the reasons why the job waits or failed, oldest first.
	Reasons []string `json:"reasons,omitempty"`
}

// Failure is the body of a response that reports a failure.
type Failure struct {
	Failure *fault.Failure `json:"failure"`
	// Outcome is "not-run", "ran" or "unknown".
	Outcome string `json:"outcome"`
}

func newVerdict(entry config.VerdictEntry) Verdict {
	return Verdict{
		ID:       entry.ID,
		Offset:   entry.Offset,
		Base:     entry.Base,
		Author:   entry.Author,
		Verdict:  entry.Verdict.String(),
		InForce:  entry.InForce,
		Problems: entry.Problems,
	}
}

func newRules(state *config.State) Rules {
	if state == nil {
		return Rules{}
	}
	return Rules{Version: state.Version, Author: state.Author, Text: state.Text}
}
