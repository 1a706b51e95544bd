package rules

import (
	"math"
	"strconv"
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
)

const (
	maxWeight   = 1_000_000
	maxRate     = 1e9
	maxBurst    = 1_000_000_000
	maxDeadline = 24 * time.Hour
)

// reader reads the words of one rule. After the first problem every further
// read returns zero values, so that one mistake is reported once.
type reader struct {
	parser *parser
	tokens []token
	next   int
	end    place
	failed bool
	seen   map[string]bool
}

func (r *reader) fail(at place, format string, args ...any) {
	if !r.failed {
		r.parser.report(at, format, args...)
	}
	r.failed = true
}

// word returns the next word, which must exist.
func (r *reader) word(what string) token {
	if r.failed {
		return token{at: r.end}
	}
	if r.next >= len(r.tokens) {
		r.fail(r.end, "%s is missing", what)
		return token{at: r.end}
	}
	word := r.tokens[r.next]
	r.next++
	return word
}

func (r *reader) more() bool {
	return !r.failed && r.next < len(r.tokens)
}

// attribute returns the next word as the name of an attribute, which may
// stand only once in a rule.
func (r *reader) attribute() token {
	word := r.word("an attribute")
	if r.seen[word.text] {
		r.fail(word.at, "%q stands twice in the rule", word.text)
	}
	if r.seen == nil {
		r.seen = map[string]bool{}
	}
	r.seen[word.text] = true
	return word
}

func (r *reader) require(names ...string) {
	for _, name := range names {
		if !r.seen[name] {
			r.fail(r.end, "%q is missing", name)
		}
	}
}

// refuse reports the attribute name, if the rule has it.
func (r *reader) refuse(name, reason string) {
	if !r.seen[name] {
		return
	}
	for _, word := range r.tokens[2:] {
		if word.text == name {
			r.fail(word.at, "%q contradicts the rule: %s", name, reason)
		}
	}
}

func (r *reader) unknown(word token) {
	r.fail(word.at, "unknown word %q", word.text)
}

// rule reads one rule into the set and returns its key.
func (r *reader) rule() (Key, bool) {
	kind := r.word("a rule")
	var key Key
	switch Kind(kind.text) {
	case KindTeam:
		key = r.team()
	case KindService:
		key = r.service()
	case KindLimit:
		key = r.limit()
	case KindDrain:
		key = r.drain()
	default:
		r.unknown(kind)
	}
	return key, !r.failed
}

// name reads a name and claims it.
func (r *reader) name(kind Kind) string {
	word := r.word("the name")
	r.checkName(word)
	if !r.failed && !r.parser.define(Key{kind, word.text}, word.at) {
		r.failed = true
	}
	return word.text
}

func (r *reader) checkName(word token) {
	if r.failed {
		return
	}
	if len(word.text) > MaxNameBytes {
		r.fail(word.at, "the name has %d bytes; the limit is %d", len(word.text), MaxNameBytes)
		return
	}
	for i, char := range word.text {
		if !isNameChar(char, i == 0) {
			r.fail(word.at, "%q is not a name: use letters, digits, and after the first also '-', '_' and '.'", word.text)
			return
		}
	}
}

func isNameChar(char rune, first bool) bool {
	switch {
	case char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z', char >= '0' && char <= '9':
		return true
	case char == '-', char == '_', char == '.':
		return !first
	default:
		return false
	}
}

// fixed reads a word that must be exactly want.
func (r *reader) fixed(want string) {
	word := r.word(strconv.Quote(want))
	if !r.failed && word.text != want {
		r.fail(word.at, "%q stands where %q is expected", word.text, want)
	}
}

func (r *reader) team() Key {
	team := Team{Name: ident.TeamName(r.name(KindTeam))}
	for r.more() {
		word := r.attribute()
		switch word.text {
		case "weight":
			team.Weight = r.integer("weight", maxWeight)
		case "reserve":
			team.Reserve = r.amounts("reserve")
		case "quota":
			team.Quota = r.amounts("quota")
		default:
			r.unknown(word)
		}
	}
	r.require("weight")
	if entry, above := exceeds(team.Reserve, team.Quota); above {
		r.fail(r.tokens[0].at, "the reserve of team %q is above its quota in %s", team.Name, entry)
	}
	if !r.failed {
		r.parser.set.Teams[team.Name] = team
	}
	return Key{KindTeam, string(team.Name)}
}

func (r *reader) service() Key {
	service := Service{Name: ident.ServiceName(r.name(KindService))}
	for r.more() {
		r.serviceAttribute(&service, r.attribute())
	}
	r.require("team", "class", "cpu", "memory")
	r.checkClass(service)
	// Each task takes one place on its worker and one connection to it.
	service.Demand.Slots = 1
	service.Demand.Connections = 1
	if !r.failed {
		r.parser.set.Services[service.Name] = service
	}
	return Key{KindService, string(service.Name)}
}

func (r *reader) serviceAttribute(service *Service, word token) {
	switch word.text {
	case "team":
		team := r.word("the team")
		r.checkName(team)
		service.Team = ident.TeamName(team.text)
	case "class":
		service.Class = r.class()
	case "cpu":
		service.Demand.CPU = r.cpu()
	case "memory":
		service.Demand.Memory = r.memory()
	case "accelerators":
		service.Demand.Accelerators = r.integer("accelerators", maxAccelerators)
	case "idempotent":
		service.Idempotent = true
	case "evict":
		service.Evict = r.evict()
	case "deadline":
		service.Deadline = r.deadline()
	default:
		r.unknown(word)
	}
}

// checkClass refuses attributes that mean nothing for the class.
func (r *reader) checkClass(service Service) {
	if service.Class != work.Urgent {
		r.refuse("deadline", "only urgent requests have a deadline")
		r.refuse("idempotent", "only urgent requests are retried as requests")
		return
	}
	r.refuse("evict", "urgent requests are not evicted")
}

func (r *reader) class() work.Class {
	word := r.word("the class")
	class, ok := work.ParseClass(word.text)
	if !ok {
		r.fail(word.at, "unknown class %q: use batch, urgent, live or feed", word.text)
	}
	return class
}

func (r *reader) evict() EvictPolicy {
	word := r.word("the eviction policy")
	for _, policy := range []EvictPolicy{EvictNormal, EvictLast, EvictNever} {
		if policy.String() == word.text {
			return policy
		}
	}
	r.fail(word.at, "unknown eviction policy %q: use normal, last or never", word.text)
	return EvictNormal
}

func (r *reader) deadline() time.Duration {
	word := r.word("the deadline")
	deadline, err := time.ParseDuration(word.text)
	if err != nil || deadline <= 0 || deadline > maxDeadline {
		r.fail(word.at, "%q is not a time such as 800ms or 2s, up to %s", word.text, maxDeadline)
	}
	return deadline
}

func (r *reader) limit() Key {
	r.fixed("caller")
	limit := Limit{Caller: ident.CallerName(r.name(KindLimit))}
	for r.more() {
		word := r.attribute()
		switch word.text {
		case "rate":
			limit.Rate = r.rate()
		case "burst":
			limit.Burst = r.integer("burst", maxBurst)
		default:
			r.unknown(word)
		}
	}
	r.require("rate")
	if limit.Burst == 0 {
		limit.Burst = int64(math.Ceil(limit.Rate))
	}
	if !r.failed {
		r.parser.set.Limits[limit.Caller] = limit
	}
	return Key{KindLimit, string(limit.Caller)}
}

func (r *reader) rate() float64 {
	word := r.word("the rate")
	rate, err := strconv.ParseFloat(word.text, 64)
	// The comparison is written so that it also refuses a NaN.
	if err != nil || !(rate > 0 && rate <= maxRate) {
		r.fail(word.at, "%q is not a rate in requests a second above 0", word.text)
		return 0
	}
	return rate
}

func (r *reader) drain() Key {
	r.fixed("backend")
	name := r.name(KindDrain)
	if r.more() {
		r.unknown(r.word(""))
	}
	if !r.failed {
		r.parser.set.Drained[ident.WorkerID(name)] = true
	}
	return Key{KindDrain, name}
}

// exceeds names the first entry in which amount is above a limit that is set.
func exceeds(amount, limit resource.Vector) (string, bool) {
	switch {
	case limit.CPU > 0 && amount.CPU > limit.CPU:
		return "cpu", true
	case limit.Memory > 0 && amount.Memory > limit.Memory:
		return "memory", true
	case limit.Accelerators > 0 && amount.Accelerators > limit.Accelerators:
		return "accelerators", true
	default:
		return "", false
	}
}
