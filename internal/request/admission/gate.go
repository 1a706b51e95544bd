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
	// stripes is the number of counters in a row, over which callers are spread.
	stripes = 1024
	// rows is the number of counters of a caller, of which the lowest counts. Two
	// callers share room only if they share a counter in each row, which one pair
	// in a million does; with one row it was one in a thousand, and a flood of one
	// caller shut out the other.
	rows = 2
)

// Gate implements serve.Admission over the counters of the process. All methods
// are safe for use by many threads and take no lock, except that the first
// request of a limited caller adds its bucket.
type Gate struct {
	start   time.Time
	rules   *publish.Cell[rules.Set]
	times   *limit.Times
	budget  *limit.Budget
	members func() int
	most    int64

	seed     maphash.Seed
	inFlight atomic.Int64
	callers  [rows][stripes]atomic.Int64
	buckets  *publish.Cell[map[ident.CallerName]*limit.Bucket]
}

// NewGate returns a gate that lets at most so many requests run at once. Rates
// of the rules hold over all instances, so each grants an equal share by the
// number of members. The budget counts each admitted request.
func NewGate(start time.Time, set *publish.Cell[rules.Set], times *limit.Times, budget *limit.Budget, members func() int, most int64) *Gate {
	return &Gate{
		start:   start,
		rules:   set,
		times:   times,
		budget:  budget,
		members: members,
		most:    most,
		seed:    maphash.MakeSeed(),
		buckets: publish.New(&map[ident.CallerName]*limit.Bucket{}),
	}
}

// Admit returns a function to call once when the request has ended, or a
// failure of outcome NotRun that says when to try again.
func (g *Gate) Admit(request work.Request, service rules.Service, now time.Time) (release func(), err error) {
	caller := g.countersOf(request.Caller)
	verdict := Decide(Facts{
		Remaining:  request.Remaining,
		Expected:   g.times.Estimate(service.Name, now),
		FromCaller: caller.add(),
		InFlight:   g.inFlight.Add(1) - 1,
		Most:       g.most,
	})
	release = func() {
		g.inFlight.Add(-1)
		caller.remove()
	}
	if verdict.Admitted {
		verdict = g.rate(request.Caller, now)
	}
	if !verdict.Admitted {
		release()
		return nil, fault.New(verdict.Kind, "caller %s", request.Caller).WithRetryAfter(verdict.RetryAfter)
	}
	g.budget.Earn()
	return release, nil
}

// counters are those of one caller, one in each row.
type counters [rows]*atomic.Int64

func (g *Gate) countersOf(caller ident.CallerName) counters {
	hash := maphash.String(g.seed, string(caller))
	var found counters
	for row := range found {
		found[row] = &g.callers[row][hash%stripes]
		hash /= stripes
	}
	return found
}

// add counts one request and returns how many the caller had before, at most.
func (c counters) add() int64 {
	least := int64(math.MaxInt64)
	for _, counter := range c {
		least = min(least, counter.Add(1)-1)
	}
	return least
}

func (c counters) remove() {
	for _, counter := range c {
		counter.Add(-1)
	}
}

// rate takes a token of the caller's limit, if the rules name one.
func (g *Gate) rate(caller ident.CallerName, now time.Time) Verdict {
	bound, limited := g.rules.Load().Limits[caller]
	if !limited {
		return Verdict{Admitted: true}
	}
	share := float64(max(g.members(), 1))
	wait, taken := g.bucket(caller).Take(now, bound.Rate/share, float64(bound.Burst)/share)
	if !taken {
		return refuse(fault.RateLimited, wait)
	}
	return Verdict{Admitted: true}
}

// bucket returns the bucket of a caller that the rules limit. Such callers are
// few, so the table is copied only when one is seen first.
func (g *Gate) bucket(caller ident.CallerName) *limit.Bucket {
	if bucket, found := (*g.buckets.Load())[caller]; found {
		return bucket
	}
	g.buckets.Update(func(current *map[ident.CallerName]*limit.Bucket) *map[ident.CallerName]*limit.Bucket {
		if _, found := (*current)[caller]; found {
			return current
		}
		next := make(map[ident.CallerName]*limit.Bucket, len(*current)+1)
		for name, bucket := range *current {
			next[name] = bucket
		}
		next[caller] = limit.NewBucket(g.start)
		return &next
	})
	return (*g.buckets.Load())[caller]
}
