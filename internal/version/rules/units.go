package rules

import (
	"strconv"
	"strings"

	"poplarvalve/internal/process/resource"
)

const (
	millisPerCPU    = 1000
	mebibytesPerGB  = 1024
	maxCPUMillis    = 1_000_000_000
	maxMemoryMiB    = 1 << 40
	maxAccelerators = 1_000_000
)

// unit is a suffix of an amount. MB and GB are binary multiples, since worker
// capacities are in mebibytes.
type unit struct {
	suffix string
	factor int64
	limit  int64
	entry  func(*resource.Vector) *int64
}

func cpuOf(v *resource.Vector) *int64          { return &v.CPU }
func memoryOf(v *resource.Vector) *int64       { return &v.Memory }
func acceleratorsOf(v *resource.Vector) *int64 { return &v.Accelerators }

// The longer of two suffixes that share an end comes first.
var units = []unit{
	{"mcpu", 1, maxCPUMillis, cpuOf},
	{"cpu", millisPerCPU, maxCPUMillis, cpuOf},
	{"MB", 1, maxMemoryMiB, memoryOf},
	{"GB", mebibytesPerGB, maxMemoryMiB, memoryOf},
	{"accelerators", 1, maxAccelerators, acceleratorsOf},
}

// parseCount returns a positive decimal number times factor, up to limit.
func parseCount(text string, factor, limit int64) (int64, bool) {
	if text == "" || text[0] == '+' {
		return 0, false
	}
	count, err := strconv.ParseInt(text, 10, 64)
	if err != nil || count <= 0 || count > limit/factor {
		return 0, false
	}
	return count * factor, true
}

func (r *reader) integer(what string, limit int64) int64 {
	word := r.word("the value of " + what)
	count, ok := parseCount(word.text, 1, limit)
	if !ok {
		r.fail(word.at, "%q is not a whole number from 1 to %d", word.text, limit)
	}
	return count
}

// cpu reads processor cores: "250m" for thousandths or "4" for whole cores.
func (r *reader) cpu() int64 {
	word := r.word("the cpu value")
	digits, thousandths := strings.CutSuffix(word.text, "m")
	factor := int64(millisPerCPU)
	if thousandths {
		factor = 1
	}
	count, ok := parseCount(digits, factor, maxCPUMillis)
	if !ok {
		r.fail(word.at, "%q is not an amount of cpu such as 250m or 4", word.text)
	}
	return count
}

func (r *reader) memory() int64 {
	word := r.word("the memory value")
	for _, u := range units[2:4] {
		digits, found := strings.CutSuffix(word.text, u.suffix)
		if !found {
			continue
		}
		if count, ok := parseCount(digits, u.factor, u.limit); ok {
			return count
		}
	}
	r.fail(word.at, "%q is not an amount of memory such as 128MB or 8GB", word.text)
	return 0
}

// amounts reads one or more amounts with units, such as "64cpu 128GB".
func (r *reader) amounts(what string) resource.Vector {
	var total resource.Vector
	count := 0
	for r.more() && startsWithDigit(r.tokens[r.next].text) {
		r.amount(&total)
		count++
	}
	if count == 0 {
		r.fail(r.end, "%q has no amount such as 64cpu, 128GB or 2accelerators", what)
	}
	return total
}

func (r *reader) amount(total *resource.Vector) {
	word := r.word("an amount")
	for _, u := range units {
		digits, found := strings.CutSuffix(word.text, u.suffix)
		if !found {
			continue
		}
		count, ok := parseCount(digits, u.factor, u.limit)
		entry := u.entry(total)
		if !ok {
			break
		}
		if *entry != 0 {
			r.fail(word.at, "%q states an amount of %s twice", word.text, u.suffix)
		}
		*entry = count
		return
	}
	r.fail(word.at, "%q is not an amount such as 64cpu, 500mcpu, 128MB, 8GB or 2accelerators", word.text)
}

func startsWithDigit(text string) bool {
	return text[0] >= '0' && text[0] <= '9'
}
