package rules

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarvalve/internal/process/resource"
)

// init fixes the seed, so that the property test draws the same values in every
// run. The flag -rapid.seed overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

const sampleRules = `team permits weight 8 reserve 64cpu 128GB # ranger desk: checks first
service permit-check team permits class urgent cpu 250m memory 128MB idempotent deadline 800ms # ranger desk: lookups
service rebuild team permits class batch cpu 4 memory 8GB evict last # ranger desk: keep
limit caller partners rate 200 burst 400 # platform desk: storms
drain backend olympic-3 # platform desk: disk swap
`

// Parse must convert each unit and keep each comment. It must also add to the
// demand of a service the slot and the connection that every task occupies.
func TestParseReadsUnitsAndComments(t *testing.T) {
	set, problems := Parse("rules", sampleRules)
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, set.Teams["permits"].Reserve, resource.Vector{CPU: 64_000, Memory: 128 << 10})
	check := set.Services["permit-check"]
	assert.Equal(t, check.Demand, resource.Vector{CPU: 250, Memory: 128, Slots: 1, Connections: 1})
	assert.Equal(t, check.Deadline, 800*time.Millisecond)
	assert.Equal(t, set.Services["rebuild"].EvictPolicy, EvictLast)
	assert.Equal(t, set.Limits["partners"], CallerLimit{"partners", 200, 400})
	assert.Assert(t, set.DrainedWorkers["olympic-3"])
	assert.Equal(t, set.Comments[RuleKey{KindDrain, "olympic-3"}], Comment{"platform desk", "disk swap"})
}

// Each of these files has a mistake. If Parse returned a set for it, invalid
// rules could come into force, and a wrong position in the problem would send the
// operator to the wrong place.
func TestParseReportsInvalidRulesWithTheirPosition(t *testing.T) {
	const team = "team a weight 1 # x: y\n"
	cases := []struct{ text, want string }{
		{"team a weight 1", `f:1:16: the rule has no comment "# who: reason"`},
		{"team a weight 1 # why", `f:1:17: the comment is not of the form "# who: reason"`},
		{"teem a weight 1 # x: y", `f:1:1: unknown word "teem"`},
		{"team a size 1 # x: y", `f:1:8: unknown word "size"`},
		{"team a weight 1 weight 2 # x: y", `f:1:17: "weight" stands twice`},
		{"team a weight 0 # x: y", `f:1:15: "0" is not a whole number`},
		{"team a weight 1 reserve 2cpu quota 1cpu # x: y", "f:1:1: the reserve of team \"a\" is above its quota"},
		{"team a weight 1 quota 1cpu 2cpu # x: y", `f:1:28: "2cpu" states an amount of cpu twice`},
		{"team a weight 1 quota 1KB # x: y", `f:1:23: "1KB" is not an amount`},
		{team + team, `f:2:6: team "a" is already defined in line 1`},
		{"service s team b class batch cpu 1 memory 1GB # x: y", `f:1:9: service "s" names the unknown team "b"`},
		{team + "service s team a class batch cpu 1 memory 1GB deadline 1s # x: y", `f:2:47: "deadline" contradicts`},
		{team + "service s team a class urgent cpu 1 memory 1GB evict last # x: y", `f:2:48: "evict" contradicts`},
		{team + "service s team a class slow cpu 1 memory 1GB # x: y", `f:2:24: unknown class "slow"`},
		{team + "service s team a class batch cpu 1.5 memory 1GB # x: y", `f:2:34: "1.5" is not an amount of cpu`},
		{team + "service s team a class batch cpu 1 # x: y", `f:2:36: "memory" is missing`},
		{"limit caller p rate NaN # x: y", `f:1:21: "NaN" is not a rate`},
		{"drain backend w now # x: y", `f:1:17: unknown word "now"`},
		{"# only: comments", "f:1:1: the file holds no rule"},
		{strings.Repeat("a", MaxLineBytes+1), "f:1:1: the line has 513 bytes"},
		{strings.Repeat("\n", MaxFileBytes+1), "f:1:1: the file has"},
		{"team a weight 1 # x: \x00", "f:1:22: character U+0000"},
	}
	for _, c := range cases {
		set, problems := Parse("f", c.text)
		assert.Assert(t, set == nil, c.text)
		assert.Assert(t, len(problems) > 0, c.text)
		assert.Assert(t, strings.HasPrefix(problems[0].String(), c.want), "got %s, want %s", problems[0], c.want)
	}
}

// The line is within the limit, but its canonical form is not, because "1h" is
// printed as "1h0m0s". Such a set could be printed but not parsed again.
func TestParseRejectsRuleWithTooLongCanonicalForm(t *testing.T) {
	const team = "team a weight 1 # x: y\n"
	line := "service s team a class urgent cpu 1 memory 1GB deadline 1h # x: "
	line += strings.Repeat("y", MaxLineBytes-len(line))
	set, problems := Parse("f", team+line)
	assert.Assert(t, set == nil)
	assert.Equal(t, problems[0].String(), "f:2:1: the rule has 516 bytes in canonical form; the limit is 512")
}

// A file may define at most MaxRules rules; the problem names the first line
// above the limit.
func TestParseRejectsTooManyRules(t *testing.T) {
	var text strings.Builder
	for i := range MaxRules + 1 {
		fmt.Fprintf(&text, "drain backend w%d # x: y\n", i)
	}
	set, problems := Parse("f", text.String())
	assert.Assert(t, set == nil)
	assert.Equal(t, problems[0].Line, MaxRules+1)
}

// Diff must not omit a changed rule or list an unchanged one, since operators
// decide by it whether to apply a file. A nil set counts as empty.
func TestDiffListsOnlyChangedRules(t *testing.T) {
	a, _ := Parse("a", sampleRules)
	b, _ := Parse("b", strings.Replace(strings.Replace(sampleRules, "weight 8", "weight 9", 1), "drain backend olympic-3", "drain backend olympic-4", 1))
	assert.DeepEqual(t, Diff(a, b), []string{
		"- team permits weight 8 reserve 64cpu 128GB # ranger desk: checks first",
		"+ team permits weight 9 reserve 64cpu 128GB # ranger desk: checks first",
		"- drain backend olympic-3 # platform desk: disk swap",
		"+ drain backend olympic-4 # platform desk: disk swap",
	})
	assert.Equal(t, len(Diff(a, a)), 0)
	assert.Equal(t, len(Diff(nil, a)), 5)
}

// The canonical text of a set must have the same meaning as the text that it was
// parsed from, for all units, classes and rates.
func TestPrintedRulesParseToTheSameSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		cpu := rapid.Int64Range(1, 5000).Draw(t, "cpu")
		memory := rapid.Int64Range(1, 5000).Draw(t, "memory")
		fmt.Fprintf(&text, "team t weight %d reserve %dmcpu %dMB %daccelerators # a: b\n",
			rapid.Int64Range(1, maxWeight).Draw(t, "weight"), cpu, memory, rapid.IntRange(1, 9).Draw(t, "accelerators"))
		class := rapid.SampledFrom([]string{"urgent idempotent deadline 90s", "batch evict last", "live evict never", "feed"}).Draw(t, "class")
		fmt.Fprintf(&text, "service s team t cpu %dm memory %dMB class %s # a: b: c\n", cpu, memory, class)
		fmt.Fprintf(&text, "limit caller c rate %g # a: b\n", rapid.Float64Range(1e-6, 1e8).Draw(t, "rate"))
		set, problems := Parse("drawn", text.String())
		assert.Equal(t, len(problems), 0, "%v", problems)
		reparsed, problems := Parse("printed", Print(set))
		assert.Equal(t, len(problems), 0, "%v", problems)
		assert.DeepEqual(t, reparsed, set)
	})
}

// FuzzParse checks that no text makes Parse panic, that Parse returns either a set
// or problems, and that a set stays equal when it is printed and parsed again.
func FuzzParse(f *testing.F) {
	f.Add(sampleRules)
	f.Add("team a weight 1 quota 1cpu # x: y\r\n")
	f.Add("service  s\tteam # :")
	f.Add("limit caller é rate 1e400 burst -1 # a:b")
	f.Fuzz(func(t *testing.T, text string) {
		set, problems := Parse("fuzz", text)
		assert.Equal(t, set == nil, len(problems) > 0)
		if set == nil {
			return
		}
		reparsed, problems := Parse("printed", Print(set))
		assert.Equal(t, len(problems), 0, "%v", problems)
		assert.DeepEqual(t, reparsed, set)
	})
}
