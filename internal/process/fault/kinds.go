package fault

// Kind is the name of a kind of failure. Callers, metrics and logs see the same
// name.
type Kind string

// Failures of a caller's request.
const (
	// BadRequest: a field is missing or malformed.
	BadRequest Kind = "bad_request"
	// TooLarge: a body, header or field exceeds its limit.
	TooLarge Kind = "too_large"
	// Unauthorized: the caller, peer or operator did not authenticate itself.
	Unauthorized Kind = "unauthorized"
	// UnknownService: the rules do not define the service.
	UnknownService Kind = "unknown_service"
	// NotFound: no job, request, feed or path with that name exists.
	NotFound Kind = "not_found"
	// KeyRequired: a request that is not idempotent carries neither an
	// idempotency key nor a request token.
	KeyRequired Kind = "key_required"
	// KeyReused: the key or token was used before for a request with other
	// content.
	KeyReused Kind = "key_reused"
	// KeyExpired: the key or token is older than the time for which outcomes
	// are recorded.
	KeyExpired Kind = "key_expired"
)

// Failures of admission and placement.
const (
	// RateLimited: the caller or team exceeds its rate limit.
	RateLimited Kind = "rate_limited"
	// Overloaded: a queue is full.
	Overloaded Kind = "overloaded"
	// DeadlineTooShort: the work can't be finished before its deadline.
	DeadlineTooShort Kind = "deadline_too_short"
	// QuotaExceeded: the team has no quota left.
	QuotaExceeded Kind = "quota_exceeded"
	// NoCapacity: no eligible worker has enough free capacity at present.
	NoCapacity Kind = "no_capacity"
	// ExceedsAnyWorker: no worker is large enough, even if nothing runs on it.
	ExceedsAnyWorker Kind = "never_fits"
	// NoWorker: no eligible worker is known.
	NoWorker Kind = "no_worker"
)

// Failures between instances.
const (
	// NotOwner: the instance does not own the worker or shard.
	NotOwner Kind = "not_owner"
	// OwnerNotReady: the instance owns the worker but has not yet completed its
	// takeover.
	OwnerNotReady Kind = "owner_not_ready"
	// Fenced: the instance's own lease has expired.
	Fenced Kind = "fenced"
	// Draining: the instance is shutting down.
	Draining Kind = "draining"
	// NoConfiguration: the instance has not yet received a configuration.
	NoConfiguration Kind = "no_configuration"
	// PeerUnreachable: there was no connection to the peer, and nothing was
	// sent.
	PeerUnreachable Kind = "peer_unreachable"
	// PeerLost: the connection to the peer was lost while work was in flight.
	PeerLost Kind = "peer_lost"
	// ResolvedNotRun: a resolve message had the identifier refused permanently, so
	// its work will never run.
	ResolvedNotRun Kind = "resolved_not_run"
	// AnswerIncomplete: the answer ended before its declared length.
	AnswerIncomplete Kind = "answer_cut"
	// Malformed: a message or record can't be decoded.
	Malformed Kind = "malformed"
)

// Failures at workers and the platform.
const (
	// LeaseExpired: the worker refused a start because the lease for it had
	// expired.
	LeaseExpired Kind = "lease_lapsed"
	// WorkerLeaving: the worker refused a start because it is leaving the
	// system.
	WorkerLeaving Kind = "worker_leaving"
	// WorkerRefused: the worker refused a start for another reason.
	WorkerRefused Kind = "worker_refused"
	// WorkerUnreachable: there was no connection to the worker, and nothing was
	// sent.
	WorkerUnreachable Kind = "worker_unreachable"
	// WorkerLost: a request was sent to the worker, but no reply arrived.
	WorkerLost Kind = "worker_lost"
	// TaskUnknownToWorker: the worker does not run the task and will not run it,
	// but it may have run it before and no longer know.
	TaskUnknownToWorker Kind = "task_forgotten"
	// TaskFailed: the task ran and reported a failure.
	TaskFailed Kind = "task_failed"
	// LogUnavailable: the log is unreachable, and the record was not read back
	// from it, so it may or may not have been written.
	LogUnavailable Kind = "log_unavailable"
	// RecordRejected: the log holds the record, but by the rules of its stream
	// its readers reject it.
	RecordRejected Kind = "record_void"
	// IssuerGone: the instance that issued the request token is no longer a
	// member.
	IssuerGone Kind = "issuer_gone"
	// Canceled: the caller canceled the work.
	Canceled Kind = "canceled"
	// DeadlineExceeded: the deadline passed while the work was in flight.
	DeadlineExceeded Kind = "deadline_exceeded"
)

// Failures of settings, rules and the process.
const (
	// BadSettings: the settings file has an unknown key, an invalid value or
	// unit, or a missing value.
	BadSettings Kind = "bad_settings"
	// BadRules: the rules file is invalid.
	BadRules Kind = "bad_rules"
	// RulesConflict: another change of the rules came into force first.
	RulesConflict Kind = "rules_conflict"
	// Listen: the process can't listen on an address of its settings.
	Listen Kind = "listen"
	// Internal: a bug in this program.
	Internal Kind = "internal"
)

// outcome returns the outcome that a failure of this kind implies. For kinds
// that can occur after an order to start the work has left the process, it is
// Unknown; code that knows more sets it with WithOutcome.
func (k Kind) outcome() Outcome {
	switch k {
	case TaskFailed:
		return Ran
	case PeerLost, AnswerIncomplete, Malformed, WorkerLost, TaskUnknownToWorker, LogUnavailable,
		IssuerGone, Canceled, DeadlineExceeded, Internal:
		return Unknown
	default:
		return NotRun
	}
}
