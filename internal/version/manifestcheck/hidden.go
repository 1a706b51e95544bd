package manifestcheck

import (
	"fmt"
	"math/big"
	"strings"

	"poplarvalve/internal/process/jobspec"
)

// idDigits are the digits of a job's ID, and idLength is their number.
const (
	idDigits = "0123456789abcdefABCDEF"
	idLength = 16
)

// checkHidden checks whether other prefixes of the host take the requests about jobs of a
// queue. The longest prefix with which a path begins wins, and the path of a job is the prefix
// of its queue and an ID. So only a prefix that continues this one with 1 to 16 digits of an ID
// takes any of them: those whose ID begins with these digits. The queue gets none if such
// prefixes cover all IDs. A query for the number of pending jobs has the prefix as its path
// and always reaches the queue.
func (c *checker) checkHidden(entry int) {
	queue := c.manifest.Queues[entry]
	taken := map[string]int{}
	for _, other := range c.index.prefixes[queue.Host] {
		digits, longer := strings.CutPrefix(c.manifest.Queues[other].Prefix, queue.Prefix)
		if longer && beginsID(digits) {
			taken[digits] = other
		}
	}
	if len(taken) == 0 {
		return
	}
	share, example, others := shareOfIDs(taken)
	by := fmt.Sprintf("%q (%s)", c.manifest.Queues[taken[example]].Prefix, c.manifest.Queues[taken[example]].Name)
	if others > 0 {
		by += fmt.Sprintf(" and %d more", others)
	}
	if share.IsInt() {
		c.add(Error, PrefixHidden, entry, "longer prefixes of the host take the requests about all jobs: %s", by)
		return
	}
	c.add(Warning, PrefixPartlyHidden, entry, "longer prefixes of the host take requests about jobs, such as those whose IDs begin with %q: %s", example, by)
}

// beginsID reports whether a job's ID may begin with a text that is not empty.
func beginsID(text string) bool {
	return text != "" && len(text) <= idLength &&
		jobspec.ID(text+strings.Repeat("0", idLength-len(text))).Valid()
}

// shareOfIDs returns the share of the IDs that begin with one of the keys, the shortest key,
// and the number of other keys that cover further IDs.
func shareOfIDs(taken map[string]int) (share *big.Rat, example string, others int) {
	share = new(big.Rat)
	covering := 0
	for digits := range taken {
		if hasShorterKey(taken, digits) {
			continue
		}
		covering++
		if example == "" || len(digits) < len(example) || len(digits) == len(example) && digits < example {
			example = digits
		}
		matching := new(big.Int).Exp(big.NewInt(int64(len(idDigits))), big.NewInt(int64(len(digits))), nil)
		share.Add(share, new(big.Rat).SetFrac(big.NewInt(1), matching))
	}
	return share, example, covering - 1
}

// hasShorterKey reports whether a proper prefix of digits is a key.
func hasShorterKey(taken map[string]int, digits string) bool {
	for length := 1; length < len(digits); length++ {
		if _, found := taken[digits[:length]]; found {
			return true
		}
	}
	return false
}
