package rules

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
)

// kindOrder is the order of the kinds of rules in the canonical text.
var kindOrder = []Kind{KindTeam, KindService, KindCallerLimit, KindDrain}

// Print returns the canonical text of a set: one rule per line, sorted by kind and
// name. Parsing the text gives an equal set.
func Print(set *Set) string {
	var text strings.Builder
	for _, key := range sortedKeys(set) {
		text.WriteString(canonicalLine(set, key))
		text.WriteByte('\n')
	}
	return text.String()
}

// Diff returns the differences between the sets a and b, each as a rule in
// canonical form: "- rule" for a rule that is only in a, and "+ rule" for a rule
// that is only in b. A changed rule gives both lines. A nil set is an empty set.
func Diff(a, b *Set) []string {
	before, after := linesByKey(a), linesByKey(b)
	keys := slices.Collect(maps.Keys(before))
	for key := range after {
		if _, found := before[key]; !found {
			keys = append(keys, key)
		}
	}
	sortKeys(keys)
	var changes []string
	for _, key := range keys {
		if before[key] == after[key] {
			continue
		}
		if old := before[key]; old != "" {
			changes = append(changes, "- "+old)
		}
		if added := after[key]; added != "" {
			changes = append(changes, "+ "+added)
		}
	}
	return changes
}

// linesByKey returns the canonical line of each rule of a set, which may be nil.
func linesByKey(set *Set) map[RuleKey]string {
	result := map[RuleKey]string{}
	if set == nil {
		return result
	}
	for _, key := range sortedKeys(set) {
		result[key] = canonicalLine(set, key)
	}
	return result
}

// sortedKeys returns the keys of all rules of a set in canonical order.
func sortedKeys(set *Set) []RuleKey {
	keys := slices.Collect(maps.Keys(set.Comments))
	sortKeys(keys)
	return keys
}

// sortKeys sorts keys by kind, in the order of kindOrder, and then by name.
func sortKeys(keys []RuleKey) {
	slices.SortFunc(keys, func(a, b RuleKey) int {
		if a.Kind != b.Kind {
			return slices.Index(kindOrder, a.Kind) - slices.Index(kindOrder, b.Kind)
		}
		return strings.Compare(a.Name, b.Name)
	})
}

// canonicalLine returns a rule with its comment in canonical form.
func canonicalLine(set *Set, key RuleKey) string {
	comment := set.Comments[key]
	return fmt.Sprintf("%s # %s: %s", ruleText(set, key), comment.Author, comment.Reason)
}

// ruleText returns a rule in canonical form without its comment.
func ruleText(set *Set, key RuleKey) string {
	switch key.Kind {
	case KindTeam:
		return teamText(set.Teams[ident.TeamName(key.Name)])
	case KindService:
		return serviceText(set.Services[ident.ServiceName(key.Name)])
	case KindCallerLimit:
		limit := set.Limits[ident.CallerName(key.Name)]
		rate := strconv.FormatFloat(limit.RequestsPerSecond, 'f', -1, 64)
		return fmt.Sprintf("limit caller %s rate %s burst %d", limit.Caller, rate, limit.BurstRequests)
	default:
		return "drain backend " + key.Name
	}
}

func teamText(team Team) string {
	text := fmt.Sprintf("team %s weight %d", team.Name, team.Weight)
	if !team.Reserve.IsZero() {
		text += " reserve" + amountsText(team.Reserve)
	}
	if !team.Quota.IsZero() {
		text += " quota" + amountsText(team.Quota)
	}
	return text
}

// amountsText returns the amounts that are not zero, each with its unit and a
// leading space.
func amountsText(v resource.Vector) string {
	text := ""
	if v.CPU > 0 && v.CPU%millisPerCPU == 0 {
		text += fmt.Sprintf(" %dcpu", v.CPU/millisPerCPU)
	} else if v.CPU > 0 {
		text += fmt.Sprintf(" %dmcpu", v.CPU)
	}
	if v.Memory > 0 {
		text += " " + memoryText(v.Memory)
	}
	if v.Accelerators > 0 {
		text += fmt.Sprintf(" %daccelerators", v.Accelerators)
	}
	return text
}

func memoryText(mebibytes int64) string {
	if mebibytes%mebibytesPerGB == 0 {
		return fmt.Sprintf("%dGB", mebibytes/mebibytesPerGB)
	}
	return fmt.Sprintf("%dMB", mebibytes)
}

func cpuText(millis int64) string {
	if millis%millisPerCPU == 0 {
		return strconv.FormatInt(millis/millisPerCPU, 10)
	}
	return fmt.Sprintf("%dm", millis)
}

func serviceText(service Service) string {
	text := fmt.Sprintf("service %s team %s class %s cpu %s memory %s", service.Name, service.Team,
		service.Class, cpuText(service.Demand.CPU), memoryText(service.Demand.Memory))
	if service.Demand.Accelerators > 0 {
		text += fmt.Sprintf(" accelerators %d", service.Demand.Accelerators)
	}
	if service.Idempotent {
		text += " idempotent"
	}
	if service.EvictPolicy != EvictNormal && service.Class != work.Urgent {
		text += " evict " + service.EvictPolicy.String()
	}
	if service.Deadline > 0 {
		text += " deadline " + service.Deadline.String()
	}
	return text
}
