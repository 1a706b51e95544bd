package admission

import (
	"hash/maphash"
	"sync/atomic"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/limit"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/rules"
)

// stripes is the number of counters over which callers are spread. Two callers
// that share a counter share its room.
const stripes = 1024

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
	callers  [stripes]atomic.Int64
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
	caller := &g.callers[maphash.String(g.seed, string(request.Caller))%stripes]
	verdict := Decide(Facts{
		Remaining:  request.Remaining,
		Expected:   g.times.Estimate(service.Name, now),
		FromCaller: caller.Add(1) - 1,
		InFlight:   g.inFlight.Add(1) - 1,
		Most:       g.most,
	})
	release = func() {
		g.inFlight.Add(-1)
		caller.Add(-1)
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
