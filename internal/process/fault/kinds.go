package fault

// Kind names a failure. Callers, metrics and logs use the same name.
type Kind string

// Failures of a caller's request.
const (
	// BadRequest: a field is missing or malformed.
	BadRequest Kind = "bad_request"
	// TooLarge: a body, header or field exceeds its limit.
	TooLarge Kind = "too_large"
	// Unauthorized: the caller, peer or operator didn't prove who it is.
	Unauthorized Kind = "unauthorized"
	// UnknownService: no rule names the service.
	UnknownService Kind = "unknown_service"
	// NotFound: no job, request, feed or path of that name is known.
	NotFound Kind = "not_found"
	// KeyRequired: a non-idempotent request carries neither key nor token.
	KeyRequired Kind = "key_required"
	// KeyReused: the key was used before with another body.
	KeyReused Kind = "key_reused"
	// KeyExpired: the key or token is older than the window of recorded outcomes.
	KeyExpired Kind = "key_expired"
)

// Failures of admission and placement.
const (
	// RateLimited: the caller or team exceeds its rate.
	RateLimited Kind = "rate_limited"
	// Overloaded: a queue is full.
	Overloaded Kind = "overloaded"
	// DeadlineTooShort: the work can't be done by its deadline.
	DeadlineTooShort Kind = "deadline_too_short"
	// QuotaExceeded: the team has no quota left.
	QuotaExceeded Kind = "quota_exceeded"
	// NoCapacity: no eligible worker has room now.
	NoCapacity Kind = "no_capacity"
	// NeverFits: no worker is large enough, even when empty.
	NeverFits Kind = "never_fits"
	// NoWorker: no eligible worker is known.
	NoWorker Kind = "no_worker"
)

// Failures between our processes.
const (
	// NotOwner: the instance doesn't own the worker or shard.
	NotOwner Kind = "not_owner"
	// OwnerNotReady: the owner has not completed the takeover of the worker.
	OwnerNotReady Kind = "owner_not_ready"
	// Fenced: the instance's own lease is over.
	Fenced Kind = "fenced"
	// Draining: the instance is shutting down.
	Draining Kind = "draining"
	// NoConfiguration: the instance has no configuration yet.
	NoConfiguration Kind = "no_configuration"
	// PeerUnreachable: no connection to the peer, and nothing was sent.
	PeerUnreachable Kind = "peer_unreachable"
	// PeerLost: the connection to the peer ended while work was in flight.
	PeerLost Kind = "peer_lost"
	// Resolved: the identifier was refused for good by a resolve message.
	Resolved Kind = "resolved_not_run"
	// AnswerCut: the answer ended before its stated length.
	AnswerCut Kind = "answer_cut"
	// Malformed: a message or record can't be decoded.
	Malformed Kind = "malformed"
)

// Failures at workers and the platform.
const (
	// LeaseLapsed: the worker refused a start under a lapsed lease.
	LeaseLapsed Kind = "lease_lapsed"
	// WorkerLeaving: the worker refused a start because it is leaving.
	WorkerLeaving Kind = "worker_leaving"
	// WorkerRefused: the worker refused a start for another reason.
	WorkerRefused Kind = "worker_refused"
	// WorkerUnreachable: no connection to the worker, and nothing was sent.
	WorkerUnreachable Kind = "worker_unreachable"
	// WorkerLost: a request left for the worker and its reply was lost.
	WorkerLost Kind = "worker_lost"
	// TaskForgotten: the worker neither runs the task nor will, but may have run
	// it and forgotten it.
	TaskForgotten Kind = "task_forgotten"
	// TaskFailed: the task ran and reported a failure.
	TaskFailed Kind = "task_failed"
	// LogUnavailable: the log can't be reached, and the record wasn't read back.
	LogUnavailable Kind = "log_unavailable"
	// RecordVoid: the log holds the record, but a rule of the stream voids it.
	RecordVoid Kind = "record_void"
	// IssuerGone: the instance that issued the token is no longer a member.
	IssuerGone Kind = "issuer_gone"
	// Canceled: the caller canceled the work.
	Canceled Kind = "canceled"
	// DeadlineExceeded: the deadline passed while the work was in flight.
	DeadlineExceeded Kind = "deadline_exceeded"
)

// Failures of settings, rules and the process.
const (
	// BadSettings: a settings file has an unknown key, a bad unit or a missing value.
	BadSettings Kind = "bad_settings"
	// BadRules: a rules file doesn't pass the checks.
	BadRules Kind = "bad_rules"
	// RulesConflict: another change of the rules won the race.
	RulesConflict Kind = "rules_conflict"
	// Listen: an address can't be bound.
	Listen Kind = "listen"
	// Internal: a fault in this program.
	Internal Kind = "internal"
)

// outcome returns what a failure of the kind says about the work. A kind that
// can occur after a start has left the process is Unknown, and whoever proves
// more changes it by WithOutcome.
func (k Kind) outcome() Outcome {
	switch k {
	case TaskFailed:
		return Ran
	case PeerLost, AnswerCut, Malformed, WorkerLost, TaskForgotten, LogUnavailable,
		IssuerGone, Canceled, DeadlineExceeded, Internal:
		return Unknown
	default:
		return NotRun
	}
}
