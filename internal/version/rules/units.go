package rules

import (
	"strconv"
	"strings"

	"poplarvalve/internal/process/resource"
)

// Factors between units, and upper bounds of the amounts that a rule may state.
const (
	millisPerCPU    = 1000
	mebibytesPerGB  = 1024
	maxCPUMillis    = 1_000_000_000
	maxMemoryMiB    = 1 << 40
	maxAccelerators = 1_000_000
)

// unit is a unit in which a rule can state an amount of a resource. MB and GB are
// binary multiples, because the capacities of workers are in mebibytes.
type unit struct {
	suffix string
	// factor is the size of the unit in the base unit of the resource.
	factor int64
	// maximum is the largest amount that may be stated, in the base unit.
	maximum int64
	// amount returns the field of a vector that holds the resource.
	amount func(*resource.Vector) *int64
}

func cpuAmount(v *resource.Vector) *int64          { return &v.CPU }
func memoryAmount(v *resource.Vector) *int64       { return &v.Memory }
func acceleratorsAmount(v *resource.Vector) *int64 { return &v.Accelerators }

// units holds all units. If one suffix is the end of another, the longer suffix
// must come first, because the first match is taken. parseMemory relies on the
// places of MB and GB.
var units = []unit{
	{"mcpu", 1, maxCPUMillis, cpuAmount},
	{"cpu", millisPerCPU, maxCPUMillis, cpuAmount},
	{"MB", 1, maxMemoryMiB, memoryAmount},
	{"GB", mebibytesPerGB, maxMemoryMiB, memoryAmount},
	{"accelerators", 1, maxAccelerators, acceleratorsAmount},
}

// parseCount parses a positive decimal integer without a sign and returns it
// multiplied by factor. It returns false if text is not such a number or if the
// product is above maximum.
func parseCount(text string, factor, maximum int64) (int64, bool) {
	if text == "" || text[0] == '+' {
		return 0, false
	}
	count, err := strconv.ParseInt(text, 10, 64)
	if err != nil || count <= 0 || count > maximum/factor {
		return 0, false
	}
	return count * factor, true
}

// parseInteger parses the value of an attribute, an integer from 1 to maximum.
func (r *ruleParser) parseInteger(attribute string, maximum int64) int64 {
	word := r.next("the value of " + attribute)
	count, ok := parseCount(word.text, 1, maximum)
	if !ok {
		r.fail(word.position, "%q is not a whole number from 1 to %d", word.text, maximum)
	}
	return count
}

// parseCPU parses an amount of processor cores and returns it in thousandths of a
// core. "250m" states thousandths and "4" states whole cores.
func (r *ruleParser) parseCPU() int64 {
	word := r.next("the cpu value")
	digits, thousandths := strings.CutSuffix(word.text, "m")
	factor := int64(millisPerCPU)
	if thousandths {
		factor = 1
	}
	count, ok := parseCount(digits, factor, maxCPUMillis)
	if !ok {
		r.fail(word.position, "%q is not an amount of cpu such as 250m or 4", word.text)
	}
	return count
}

// parseMemory parses an amount of memory, such as "128MB" or "8GB", and returns
// it in mebibytes.
func (r *ruleParser) parseMemory() int64 {
	word := r.next("the memory value")
	for _, u := range units[2:4] {
		digits, found := strings.CutSuffix(word.text, u.suffix)
		if !found {
			continue
		}
		if count, ok := parseCount(digits, u.factor, u.maximum); ok {
			return count
		}
	}
	r.fail(word.position, "%q is not an amount of memory such as 128MB or 8GB", word.text)
	return 0
}

// parseAmounts parses the value of an attribute that consists of one or more
// amounts with units, such as "64cpu 128GB".
func (r *ruleParser) parseAmounts(attribute string) resource.Vector {
	var total resource.Vector
	count := 0
	for r.hasNext() && startsWithDigit(r.tokens[r.tokenIndex].text) {
		r.parseAmount(&total)
		count++
	}
	if count == 0 {
		r.fail(r.endPosition, "%q has no amount such as 64cpu, 128GB or 2accelerators", attribute)
	}
	return total
}

// parseAmount parses one amount with its unit and stores it in total. Each
// resource may be stated only once.
func (r *ruleParser) parseAmount(total *resource.Vector) {
	word := r.next("an amount")
	for _, u := range units {
		digits, found := strings.CutSuffix(word.text, u.suffix)
		if !found {
			continue
		}
		count, ok := parseCount(digits, u.factor, u.maximum)
		stored := u.amount(total)
		if !ok {
			break
		}
		if *stored != 0 {
			r.fail(word.position, "%q states an amount of %s twice", word.text, u.suffix)
		}
		*stored = count
		return
	}
	r.fail(word.position, "%q is not an amount such as 64cpu, 500mcpu, 128MB, 8GB or 2accelerators", word.text)
}

func startsWithDigit(text string) bool {
	return text[0] >= '0' && text[0] <= '9'
}
