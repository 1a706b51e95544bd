package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/limit"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/admission"
	"poplarvalve/internal/request/serve"
	"poplarvalve/internal/version/rules"
)

var (
	start                 = time.Unix(1000, 0)
	check                 = rules.Service{Name: "check"}
	_     serve.Admission = (*admission.Gate)(nil)
)

func newGate(times *limit.ServiceTimes) *admission.Gate {
	set := &rules.Set{Limits: map[ident.CallerName]rules.CallerLimit{"partners": {RequestsPerSecond: 20, BurstRequests: 10}}}
	members := func() int { return 2 }
	return admission.NewGate(start, publish.New(set), times, limit.NewRetryBudget(), members, 100)
}

func newRequest(caller ident.CallerName) work.Request {
	return work.Request{Caller: caller, Remaining: time.Second}
}

// A caller that sends as many requests as it can must leave places for other
// callers. Its places must be free again once its requests end.
func TestOneCallerLeavesPlacesForOthers(t *testing.T) {
	g := newGate(limit.NewServiceTimes(start))
	var releases []func()
	for {
		release, err := g.Admit(newRequest("large"), check, start)
		if err != nil {
			assert.Equal(t, fault.KindOf(err), fault.Overloaded)
			break
		}
		releases = append(releases, release)
	}
	assert.Equal(t, len(releases), 50)
	release, err := g.Admit(newRequest("small"), check, start)
	assert.NilError(t, err)
	release()
	for _, release := range releases {
		release()
	}
	_, err = g.Admit(newRequest("large"), check, start)
	assert.NilError(t, err)
}

// A rate in the rules holds for all instances together, so one of two instances
// must grant a caller only half of it.
func TestRateIsSharedByInstances(t *testing.T) {
	g := newGate(limit.NewServiceTimes(start))
	for range 5 {
		release, err := g.Admit(newRequest("partners"), check, start)
		assert.NilError(t, err)
		release()
	}
	_, err := g.Admit(newRequest("partners"), check, start)
	failure := fault.From(err)
	assert.Equal(t, failure.Kind, fault.RateLimited)
	assert.Equal(t, failure.Outcome, fault.NotRun)
	assert.Equal(t, failure.RetryAfter, 100*time.Millisecond)
	_, err = g.Admit(newRequest("partners"), check, start.Add(failure.RetryAfter))
	assert.NilError(t, err)
}

// A request that cannot meet its deadline, by the measured times of its
// service, must be refused before it starts. It is admitted again once the
// measurements are old.
func TestRefusesRequestThatCannotMeetItsDeadline(t *testing.T) {
	times := limit.NewServiceTimes(start)
	times.Observe("check", 3*time.Second, start)
	g := newGate(times)
	_, err := g.Admit(newRequest("small"), check, start)
	failure := fault.From(err)
	assert.Equal(t, failure.Kind, fault.DeadlineTooShort)
	assert.Equal(t, failure.Outcome, fault.NotRun)
	assert.Equal(t, failure.RetryAfter, 2*time.Second)
	_, err = g.Admit(newRequest("small"), check, start.Add(20*time.Second))
	assert.NilError(t, err)
}
