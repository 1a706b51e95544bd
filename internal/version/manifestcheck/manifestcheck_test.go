package manifestcheck

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/manifest"
)

// goodQueue returns a queue without findings.
func goodQueue(name string) manifest.Queue {
	return manifest.Queue{Name: name, Host: "h", Prefix: "/" + name + "/", Pool: "p", Attempts: 3, Stretch: 2, Objective: time.Second}
}

// allDigitPrefixes returns queues whose prefixes take all IDs from the prefix given.
func allDigitPrefixes(prefix string) (queues []manifest.Queue) {
	for _, digit := range idDigits {
		queue := goodQueue("x" + string(digit))
		queue.Prefix = prefix + string(digit)
		queues = append(queues, queue)
	}
	return queues
}

// Each case is a manifest that is wrong in one way. A check that misses it lets it come into
// force, and one that reports more hides it from the operator.
func TestEachFaultHasItsFinding(t *testing.T) {
	inForce := manifest.New(7, nil)
	change := func(change func(*manifest.Queue)) []manifest.Queue {
		queue := goodQueue("q")
		change(&queue)
		return []manifest.Queue{queue}
	}
	with := func(decision time.Duration) func(*manifest.Queue) {
		return func(q *manifest.Queue) {
			q.Advice = &manifest.AdviceLatency{Decision: decision, PerWorker: time.Millisecond}
		}
	}
	noServers := Deployment{PoolsComplete: true, Pools: []cell.PoolSummary{{Pool: "other", Workers: 2}}}
	servers := Deployment{PoolsComplete: true, Pools: []cell.PoolSummary{{Pool: "p", Workers: 2}}}
	cases := []struct {
		name       string
		version    int64
		queues     []manifest.Queue
		deployment Deployment
		want       []Code
	}{
		{"good", 8, []manifest.Queue{goodQueue("q"), goodQueue("r")}, servers, nil},
		{"unknown deployment", 8, []manifest.Queue{goodQueue("q")}, Deployment{}, nil},
		{"same version", 7, nil, Deployment{InForce: inForce}, []Code{NotNewer}},
		{"higher version", 8, nil, Deployment{InForce: inForce}, nil},
		{"version 0", 0, nil, Deployment{}, []Code{VersionNotPositive}},
		{"no name", 8, change(func(q *manifest.Queue) { q.Name = "" }), Deployment{}, []Code{EmptyName}},
		{"same name", 8, []manifest.Queue{goodQueue("q"), {Name: "q", Host: "i", Prefix: "/q/", Pool: "p", Attempts: 1, Stretch: 1}}, Deployment{}, []Code{DuplicateName}},
		{"names at the limit", 8, change(func(q *manifest.Queue) { q.Name = strings.Repeat("n", cell.MaxTermsBytes-1) }), Deployment{}, nil},
		{"names over the limit", 8, change(func(q *manifest.Queue) { q.Name = strings.Repeat("n", cell.MaxTermsBytes) }), Deployment{}, []Code{NameTooLong}},
		{"no host", 8, change(func(q *manifest.Queue) { q.Host = "" }), Deployment{}, []Code{EmptyHost}},
		{"host with port", 8, change(func(q *manifest.Queue) { q.Host = "h:80" }), Deployment{}, []Code{HostWithPort}},
		{"host in IPv6", 8, change(func(q *manifest.Queue) { q.Host = "::1" }), Deployment{}, nil},
		{"no prefix", 8, change(func(q *manifest.Queue) { q.Prefix = "" }), Deployment{}, []Code{EmptyPrefix}},
		{"no slash", 8, change(func(q *manifest.Queue) { q.Prefix = "q/" }), Deployment{}, []Code{PrefixWithoutSlash}},
		{"same prefix", 8, []manifest.Queue{goodQueue("q"), {Name: "r", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 1, Stretch: 1}}, Deployment{}, []Code{DuplicatePrefix}},
		{"same prefix, other host", 8, []manifest.Queue{goodQueue("q"), {Name: "r", Host: "i", Prefix: "/q/", Pool: "p", Attempts: 1, Stretch: 1}}, Deployment{}, nil},
		{"longer prefix that begins no ID", 8, append(change(func(q *manifest.Queue) { q.Prefix = "/" }), goodQueue("a")), Deployment{}, nil},
		{"longer prefix that begins IDs", 8, append(change(func(q *manifest.Queue) { q.Prefix = "/" }), manifest.Queue{Name: "a", Host: "h", Prefix: "/a", Pool: "p", Attempts: 1, Stretch: 1}), Deployment{}, []Code{PrefixPartlyHidden}},
		{"longer prefixes that begin all IDs", 8, append(change(func(q *manifest.Queue) { q.Prefix = "/" }), allDigitPrefixes("/")...), Deployment{}, []Code{PrefixHidden}},
		{"no service", 8, change(func(q *manifest.Queue) { q.Pool = "" }), servers, []Code{NoService}},
		{"no servers", 8, []manifest.Queue{goodQueue("q")}, noServers, []Code{NoServers}},
		{"not all servers known", 8, []manifest.Queue{goodQueue("q")}, Deployment{Pools: noServers.Pools}, nil},
		{"advice", 8, change(with(900 * time.Millisecond)), Deployment{}, nil},
		{"advice over objective", 8, change(with(time.Second)), Deployment{}, []Code{ObjectiveTooShort}},
		{"negative advice", 8, change(with(-time.Second)), Deployment{}, []Code{NegativeNumber}},
		{"no advice service", 8, change(with(0)), Deployment{LacksAdviceService: true}, []Code{NoAdviceService}},
		{"stretch under 1", 8, change(func(q *manifest.Queue) { q.Stretch = 0.9 }), Deployment{}, []Code{StretchUnderOne}},
		{"negative stretch", 8, change(func(q *manifest.Queue) { q.Stretch = -1 }), Deployment{}, []Code{NegativeNumber}},
		{"negative objective", 8, change(func(q *manifest.Queue) { q.Objective = -1 }), Deployment{}, []Code{NegativeNumber}},
		{"no attempts", 8, change(func(q *manifest.Queue) { q.Attempts = 0 }), Deployment{}, []Code{AttemptsOutOfRange}},
		{"most attempts", 8, change(func(q *manifest.Queue) { q.Attempts = cell.MaxAttempts }), Deployment{}, nil},
		{"too many attempts", 8, change(func(q *manifest.Queue) { q.Attempts = cell.MaxAttempts + 1 }), Deployment{}, []Code{AttemptsOutOfRange}},
		{"negative attempts", 8, change(func(q *manifest.Queue) { q.Attempts = -1 }), Deployment{}, []Code{NegativeNumber}},
		{"negative priority", 8, change(func(q *manifest.Queue) { q.Priority = -1 }), Deployment{}, []Code{NegativeNumber}},
	}
	for _, c := range cases {
		var got []Code
		for _, finding := range Check(manifest.New(c.version, c.queues), c.deployment) {
			got = append(got, finding.Code)
		}
		assert.Check(t, slices.Equal(got, c.want), "%s: got %v, want %v", c.name, got, c.want)
	}
}

// drawManifest draws a manifest whose prefixes often continue each other with digits of IDs.
func drawManifest(t *rapid.T) *manifest.Manifest {
	prefix := rapid.StringMatching(`(/[ag]?){0,2}[0aF]{0,2}`)
	var queues []manifest.Queue
	for range rapid.IntRange(0, 8).Draw(t, "queues") {
		queue := goodQueue("q")
		queue.Host = rapid.SampledFrom([]string{"h", "i"}).Draw(t, "host")
		queue.Prefix = prefix.Draw(t, "prefix")
		queues = append(queues, queue)
	}
	if len(queues) > 0 && rapid.Bool().Draw(t, "cover") {
		queues = append(queues, allDigitPrefixes(queues[0].Prefix)...)
	}
	return manifest.New(1, queues)
}

// freeID returns an ID that no longer prefix of the host of a queue takes, or "".
func freeID(m *manifest.Manifest, queue manifest.Queue, digits string) string {
	taken := func(other manifest.Queue) bool {
		return digits != "" && other.Host == queue.Host && other.Prefix == queue.Prefix+digits
	}
	if slices.ContainsFunc(m.Queues, taken) {
		return ""
	}
	if len(digits) == 4 { // No drawn prefix continues another one with more digits.
		return digits + strings.Repeat("0", idLength-len(digits))
	}
	for _, digit := range idDigits {
		if id := freeID(m, queue, digits+string(digit)); id != "" {
			return id
		}
	}
	return ""
}

// If a prefix that requests reach was called hidden, operators would remove a queue that
// works; one that is missed takes no jobs.
func TestPrefixIsCalledHiddenExactlyIfNoJobReachesIt(t *testing.T) {
	id := rapid.StringMatching(`[0-9a-fA-F]{16}`)
	rapid.Check(t, func(t *rapid.T) {
		m := drawManifest(t)
		codes := map[int][]Code{}
		for _, finding := range Check(m, Deployment{}) {
			codes[finding.Entry] = append(codes[finding.Entry], finding.Code)
		}
		for i := range m.Queues {
			queue := &m.Queues[i]
			duplicate, hidden := slices.Contains(codes[i], DuplicatePrefix), slices.Contains(codes[i], PrefixHidden)
			pending, _ := m.Match(queue.Host, queue.Prefix)
			assert.Equal(t, duplicate, pending != queue, "%d of %v", i, m.Queues)
			if duplicate || hidden {
				for range 5 {
					matched, _ := m.Match(queue.Host, queue.Prefix+id.Draw(t, "id"))
					assert.Assert(t, matched != queue, "%d of %v is reached", i, m.Queues)
				}
				continue
			}
			free := freeID(m, *queue, "")
			assert.Assert(t, free != "", "%d of %v is hidden", i, m.Queues)
			matched, rest := m.Match(queue.Host, queue.Prefix+free)
			assert.Assert(t, matched == queue && rest == free, "%d of %v: %s", i, m.Queues, free)
		}
	})
}

// A change that the differences leave out comes into force unseen.
func TestDifferencesNameEachChange(t *testing.T) {
	before := manifest.New(7, []manifest.Queue{goodQueue("kept"), goodQueue("gone"), goodQueue("changed"), goodQueue("twice")})
	changed := goodQueue("changed")
	changed.Host, changed.Prefix, changed.Pool, changed.Priority, changed.Attempts, changed.Stretch = "i", "/", "o", 1, 4, 1.5
	changed.Objective, changed.Advice = time.Minute, &manifest.AdviceLatency{Decision: time.Second, PerWorker: time.Millisecond}
	after := manifest.New(8, []manifest.Queue{changed, goodQueue("kept"), goodQueue("new"), goodQueue("twice"), goodQueue("twice")})
	assert.DeepEqual(t, Differences(before, after), []Difference{
		{FieldChanged, "", "version", "7", "8"},
		{QueueRemoved, "gone", "", "", ""},
		{FieldChanged, "changed", "host", "h", "i"},
		{FieldChanged, "changed", "prefix", "/changed/", "/"},
		{FieldChanged, "changed", "service", "p", "o"},
		{FieldChanged, "changed", "priority", "0", "1"},
		{FieldChanged, "changed", "attempts", "3", "4"},
		{FieldChanged, "changed", "stretch", "2", "1.5"},
		{FieldChanged, "changed", "objective", "1s", "1m0s"},
		{FieldChanged, "changed", "advice", "none", "1s + 1ms per backend server"},
		{QueueAdded, "new", "", "", ""},
		{QueueAdded, "twice", "", "", ""},
	})
	assert.Equal(t, len(Differences(before, before)), 0)
	assert.Equal(t, len(Differences(nil, before)), 5)
}
