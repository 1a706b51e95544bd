package rules

import (
	"math"
	"strconv"
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
)

// Upper bounds of the values that a rule may state.
const (
	maxWeight            = 1_000_000
	maxRequestsPerSecond = 1e9
	maxBurstRequests     = 1_000_000_000
	maxDeadline          = 24 * time.Hour
)

// ruleParser parses the words of one rule. After the first problem, every method
// that reads a word returns a zero value and reports nothing, so that one mistake
// in a rule is reported only once.
type ruleParser struct {
	// file is the parser of the whole file. It collects rules and problems.
	file   *fileParser
	tokens []token
	// tokenIndex is the index in tokens of the next word to read.
	tokenIndex int
	// endPosition is just after the last word of the rule; a missing word is
	// reported there.
	endPosition    position
	failed         bool
	seenAttributes map[string]bool
}

// fail reports a problem, unless the rule already has one.
func (r *ruleParser) fail(at position, format string, args ...any) {
	if !r.failed {
		r.file.report(at, format, args...)
	}
	r.failed = true
}

// next returns the next word of the rule. If the rule has no more words, it
// reports that description is missing.
func (r *ruleParser) next(description string) token {
	if r.failed {
		return token{position: r.endPosition}
	}
	if r.tokenIndex >= len(r.tokens) {
		r.fail(r.endPosition, "%s is missing", description)
		return token{position: r.endPosition}
	}
	word := r.tokens[r.tokenIndex]
	r.tokenIndex++
	return word
}

// hasNext reports whether the rule has more words and no problem so far.
func (r *ruleParser) hasNext() bool {
	return !r.failed && r.tokenIndex < len(r.tokens)
}

// nextAttribute returns the next word as the name of an attribute. An attribute
// may occur only once in a rule.
func (r *ruleParser) nextAttribute() token {
	word := r.next("an attribute")
	if r.seenAttributes[word.text] {
		r.fail(word.position, "%q stands twice in the rule", word.text)
	}
	if r.seenAttributes == nil {
		r.seenAttributes = map[string]bool{}
	}
	r.seenAttributes[word.text] = true
	return word
}

// requireAttributes reports the first of the named attributes that the rule does
// not have.
func (r *ruleParser) requireAttributes(names ...string) {
	for _, name := range names {
		if !r.seenAttributes[name] {
			r.fail(r.endPosition, "%q is missing", name)
		}
	}
}

// rejectAttribute reports a problem with the given reason if the rule has the
// named attribute.
func (r *ruleParser) rejectAttribute(name, reason string) {
	if !r.seenAttributes[name] {
		return
	}
	for _, word := range r.tokens[2:] {
		if word.text == name {
			r.fail(word.position, "%q contradicts the rule: %s", name, reason)
		}
	}
}

func (r *ruleParser) failUnknownWord(word token) {
	r.fail(word.position, "unknown word %q", word.text)
}

// parseRule parses one rule, adds it to the set and returns its key. It returns
// false if the rule has a problem.
func (r *ruleParser) parseRule() (RuleKey, bool) {
	kind := r.next("a rule")
	var key RuleKey
	switch Kind(kind.text) {
	case KindTeam:
		key = r.parseTeam()
	case KindService:
		key = r.parseService()
	case KindCallerLimit:
		key = r.parseCallerLimit()
	case KindDrain:
		key = r.parseDrain()
	default:
		r.failUnknownWord(kind)
	}
	return key, !r.failed
}

// parseNewName parses the name of the rule and reports a problem if an earlier
// rule of the same kind has that name.
func (r *ruleParser) parseNewName(kind Kind) string {
	word := r.next("the name")
	r.checkName(word)
	if !r.failed && !r.file.defineKey(RuleKey{kind, word.text}, word.position) {
		r.failed = true
	}
	return word.text
}

// checkName reports a name that is too long or has a character that is not
// allowed.
func (r *ruleParser) checkName(word token) {
	if r.failed {
		return
	}
	if len(word.text) > MaxNameBytes {
		r.fail(word.position, "the name has %d bytes; the limit is %d", len(word.text), MaxNameBytes)
		return
	}
	for i, character := range word.text {
		if !isNameCharacter(character, i == 0) {
			r.fail(word.position, "%q is not a name: use letters, digits, and after the first also '-', '_' and '.'", word.text)
			return
		}
	}
}

func isNameCharacter(character rune, first bool) bool {
	switch {
	case character >= 'a' && character <= 'z', character >= 'A' && character <= 'Z', character >= '0' && character <= '9':
		return true
	case character == '-', character == '_', character == '.':
		return !first
	default:
		return false
	}
}

// expectWord reads the next word, which must equal expected.
func (r *ruleParser) expectWord(expected string) {
	word := r.next(strconv.Quote(expected))
	if !r.failed && word.text != expected {
		r.fail(word.position, "%q stands where %q is expected", word.text, expected)
	}
}

func (r *ruleParser) parseTeam() RuleKey {
	team := Team{Name: ident.TeamName(r.parseNewName(KindTeam))}
	for r.hasNext() {
		word := r.nextAttribute()
		switch word.text {
		case "weight":
			team.Weight = r.parseInteger("weight", maxWeight)
		case "reserve":
			team.Reserve = r.parseAmounts("reserve")
		case "quota":
			team.Quota = r.parseAmounts("quota")
		default:
			r.failUnknownWord(word)
		}
	}
	r.requireAttributes("weight")
	if resourceName, exceeded := exceededResource(team.Reserve, team.Quota); exceeded {
		r.fail(r.tokens[0].position, "the reserve of team %q is above its quota in %s", team.Name, resourceName)
	}
	if !r.failed {
		r.file.set.Teams[team.Name] = team
	}
	return RuleKey{KindTeam, string(team.Name)}
}

func (r *ruleParser) parseService() RuleKey {
	service := Service{Name: ident.ServiceName(r.parseNewName(KindService))}
	for r.hasNext() {
		r.parseServiceAttribute(&service, r.nextAttribute())
	}
	r.requireAttributes("team", "class", "cpu", "memory")
	r.checkClassAttributes(service)
	// Each task occupies one slot of its worker and one connection to it.
	service.Demand.Slots = 1
	service.Demand.Connections = 1
	if !r.failed {
		r.file.set.Services[service.Name] = service
	}
	return RuleKey{KindService, string(service.Name)}
}

// parseServiceAttribute parses the value of the attribute that word names into
// service.
func (r *ruleParser) parseServiceAttribute(service *Service, word token) {
	switch word.text {
	case "team":
		team := r.next("the team")
		r.checkName(team)
		service.Team = ident.TeamName(team.text)
	case "class":
		service.Class = r.parseClass()
	case "cpu":
		service.Demand.CPU = r.parseCPU()
	case "memory":
		service.Demand.Memory = r.parseMemory()
	case "accelerators":
		service.Demand.Accelerators = r.parseInteger("accelerators", maxAccelerators)
	case "idempotent":
		service.Idempotent = true
	case "evict":
		service.EvictPolicy = r.parseEvictPolicy()
	case "deadline":
		service.Deadline = r.parseDeadline()
	default:
		r.failUnknownWord(word)
	}
}

// checkClassAttributes reports attributes that have no meaning for the class of
// the service.
func (r *ruleParser) checkClassAttributes(service Service) {
	if service.Class != work.Urgent {
		r.rejectAttribute("deadline", "only urgent requests have a deadline")
		r.rejectAttribute("idempotent", "only urgent requests are retried as requests")
		return
	}
	r.rejectAttribute("evict", "urgent requests are not evicted")
}

func (r *ruleParser) parseClass() work.Class {
	word := r.next("the class")
	class, ok := work.ParseClass(word.text)
	if !ok {
		r.fail(word.position, "unknown class %q: use batch, urgent, live or feed", word.text)
	}
	return class
}

func (r *ruleParser) parseEvictPolicy() EvictPolicy {
	word := r.next("the eviction policy")
	for _, policy := range []EvictPolicy{EvictNormal, EvictLast, EvictNever} {
		if policy.String() == word.text {
			return policy
		}
	}
	r.fail(word.position, "unknown eviction policy %q: use normal, last or never", word.text)
	return EvictNormal
}

func (r *ruleParser) parseDeadline() time.Duration {
	word := r.next("the deadline")
	deadline, err := time.ParseDuration(word.text)
	if err != nil || deadline <= 0 || deadline > maxDeadline {
		r.fail(word.position, "%q is not a time such as 800ms or 2s, up to %s", word.text, maxDeadline)
	}
	return deadline
}

func (r *ruleParser) parseCallerLimit() RuleKey {
	r.expectWord("caller")
	limit := CallerLimit{Caller: ident.CallerName(r.parseNewName(KindCallerLimit))}
	for r.hasNext() {
		word := r.nextAttribute()
		switch word.text {
		case "rate":
			limit.RequestsPerSecond = r.parseRate()
		case "burst":
			limit.BurstRequests = r.parseInteger("burst", maxBurstRequests)
		default:
			r.failUnknownWord(word)
		}
	}
	r.requireAttributes("rate")
	if limit.BurstRequests == 0 {
		limit.BurstRequests = int64(math.Ceil(limit.RequestsPerSecond))
	}
	if !r.failed {
		r.file.set.Limits[limit.Caller] = limit
	}
	return RuleKey{KindCallerLimit, string(limit.Caller)}
}

func (r *ruleParser) parseRate() float64 {
	word := r.next("the rate")
	rate, err := strconv.ParseFloat(word.text, 64)
	// Every comparison with NaN is false, so the negated condition also rejects
	// NaN.
	if err != nil || !(rate > 0 && rate <= maxRequestsPerSecond) {
		r.fail(word.position, "%q is not a rate in requests a second above 0", word.text)
		return 0
	}
	return rate
}

func (r *ruleParser) parseDrain() RuleKey {
	r.expectWord("backend")
	name := r.parseNewName(KindDrain)
	if r.hasNext() {
		r.failUnknownWord(r.next(""))
	}
	if !r.failed {
		r.file.set.DrainedWorkers[ident.WorkerID(name)] = true
	}
	return RuleKey{KindDrain, name}
}

// exceededResource returns the name of the first resource of which amount is
// above limit, and whether there is one. A zero in limit means no limit.
func exceededResource(amount, limit resource.Vector) (string, bool) {
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
