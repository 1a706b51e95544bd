package intake

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"poplarvalve/internal/connection/jobapi"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/overload"
)

const (
	// minRetryAfter is the shortest wait that a refusal states. It is about the time
	// that a change of the leader takes.
	minRetryAfter = time.Second
	// logRetrySpread is the time over which the callers return that are refused
	// while the log is unavailable.
	logRetrySpread = 3 * time.Second
)

// overloaded returns the answer to a job that the leader has refused for lack of capacity. The
// leader's wait is rounded up to whole seconds, the unit of the answer.
func overloaded(waitMillis int64) jobapi.Answer {
	wait := time.Duration(min(waitMillis, overload.MaxWait.Milliseconds())) * time.Millisecond
	wait = (wait + time.Second - 1).Truncate(time.Second)
	return jobapi.Answer{Verdict: jobapi.NotRun, RetryAfter: max(minRetryAfter, wait), FailureKind: fault.Overloaded}
}

// retryAfter returns the wait that the refusal of a request states. An outage of the log
// refuses everybody at once. If all of them were told the same wait, they would return
// together, and the log has least to spare right after an outage.
func retryAfter(kind fault.Kind, id jobspec.ID) time.Duration {
	if kind != fault.LogUnavailable {
		return minRetryAfter
	}
	step := time.Duration(xxhash.Sum64String(string(id)) % uint64(logRetrySpread/time.Second))
	return minRetryAfter + step*time.Second
}
