package admission

import (
	"hash/maphash"
	"math"
	"sync/atomic"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/limit"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/rules"
)

const (
	// countersPerRow is the number of counters in a row. Callers are spread
	// over them by hash.
	countersPerRow = 1024
	// counterRows is the number of counters of each caller, one in each row;
	// the lowest one counts. Two callers affect each other only if they share a
	// counter in every row, which one pair in a million does. With a single row
	// it was one pair in a thousand, and a flood of requests from one caller
	// shut out the other.
	counterRows = 2
)

// Gate implements serve.Admission with the counters of the process. All methods
// are safe for concurrent use. They take no lock, except when the first request
// of a rate-limited caller adds the caller's bucket.
type Gate struct {
	start       time.Time
	rules       *publish.Value[rules.Set]
	times       *limit.ServiceTimes
	budget      *limit.RetryBudget
	memberCount func() int
	maxInFlight int64

	hashSeed maphash.Seed
	inFlight atomic.Int64
	counters [counterRows][countersPerRow]atomic.Int64
	buckets  *publish.Value[map[ident.CallerName]*limit.Bucket]
}

// NewGate returns a gate that admits at most maxInFlight requests at the same
// time. The rates in the rules hold for all instances together, so this
// instance grants an equal share of them, by the number that memberCount
// returns. Each admitted request is added to budget.
func NewGate(start time.Time, set *publish.Value[rules.Set], times *limit.ServiceTimes, budget *limit.RetryBudget, memberCount func() int, maxInFlight int64) *Gate {
	return &Gate{
		start:       start,
		rules:       set,
		times:       times,
		budget:      budget,
		memberCount: memberCount,
		maxInFlight: maxInFlight,
		hashSeed:    maphash.MakeSeed(),
		buckets:     publish.New(&map[ident.CallerName]*limit.Bucket{}),
	}
}

// Admit returns a function that the caller must call once when the request has
// ended. For a refused request it returns a failure with outcome NotRun that
// states when to try again.
func (g *Gate) Admit(request work.Request, service rules.Service, now time.Time) (release func(), err error) {
	caller := g.countersOf(request.Caller)
	verdict := Decide(Input{
		Remaining:   request.Remaining,
		Expected:    g.times.Estimate(service.Name, now),
		FromCaller:  caller.add(),
		InFlight:    g.inFlight.Add(1) - 1,
		MaxInFlight: g.maxInFlight,
	})
	release = func() {
		g.inFlight.Add(-1)
		caller.remove()
	}
	if verdict.Admitted {
		verdict = g.takeRateToken(request.Caller, now)
	}
	if !verdict.Admitted {
		release()
		return nil, fault.New(verdict.Kind, "caller %s", request.Caller).WithRetryAfter(verdict.RetryAfter)
	}
	g.budget.AddRequest()
	return release, nil
}

// callerCounters are the counters of one caller, one in each row.
type callerCounters [counterRows]*atomic.Int64

func (g *Gate) countersOf(caller ident.CallerName) callerCounters {
	hash := maphash.String(g.hashSeed, string(caller))
	var found callerCounters
	for row := range found {
		found[row] = &g.counters[row][hash%countersPerRow]
		hash /= countersPerRow
	}
	return found
}

// add counts one request and returns an upper bound on the number of requests
// that the caller had in flight before.
func (c callerCounters) add() int64 {
	lowest := int64(math.MaxInt64)
	for _, counter := range c {
		lowest = min(lowest, counter.Add(1)-1)
	}
	return lowest
}

func (c callerCounters) remove() {
	for _, counter := range c {
		counter.Add(-1)
	}
}

// takeRateToken takes one token from the caller's bucket, if the rules limit
// the caller's rate. It returns a refusal if there is no token.
func (g *Gate) takeRateToken(caller ident.CallerName, now time.Time) Verdict {
	rateLimit, limited := g.rules.Load().Limits[caller]
	if !limited {
		return Verdict{Admitted: true}
	}
	share := float64(max(g.memberCount(), 1))
	wait, taken := g.bucketOf(caller).Take(now, rateLimit.RequestsPerSecond/share, float64(rateLimit.BurstRequests)/share)
	if !taken {
		return refusal(fault.RateLimited, wait)
	}
	return Verdict{Admitted: true}
}

// bucketOf returns the bucket of a caller that the rules limit. There are few
// such callers, so the table is copied only when a caller is seen for the first
// time.
func (g *Gate) bucketOf(caller ident.CallerName) *limit.Bucket {
	if bucket, found := (*g.buckets.Load())[caller]; found {
		return bucket
	}
	g.buckets.Update(func(current *map[ident.CallerName]*limit.Bucket) *map[ident.CallerName]*limit.Bucket {
		if _, found := (*current)[caller]; found {
			return current
		}
		updated := make(map[ident.CallerName]*limit.Bucket, len(*current)+1)
		for name, bucket := range *current {
			updated[name] = bucket
		}
		updated[caller] = limit.NewBucket(g.start)
		return &updated
	})
	return (*g.buckets.Load())[caller]
}
