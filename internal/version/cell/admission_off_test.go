package cell

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

// Guards against other decisions in a deployment that does not refuse hopeless jobs. The sums
// are those of the traces of commit 19418c7a, which had no admission control. Only an intended
// change of the decisions, or of the simulation, may change them.
func TestDecisionsWithoutRefusalsAreUnchanged(t *testing.T) {
	for seed, want := range map[uint64]string{1: "8960 a166e551ad0ee445", 2: "8646 fff01e5f683febbe"} {
		s := newSimulation(t, seed, 12)
		s.lossRate = 0.02
		s.startTerm()
		s.advance(time.Second)
		for range 4 {
			s.submit(longRunningJob(s.random), 0)
		}
		s.submitJobs(15*time.Second, 12)
		s.schedule(5*time.Second, func() { s.crash(s.workers[2], 3*time.Second) })
		s.schedule(9*time.Second, s.startTerm)
		s.advance(25 * time.Second)
		assert.Equal(t, fmt.Sprintf("%d %016x", len(s.trace), xxhash.Sum64String(strings.Join(s.trace, "\n"))), want)
	}
}
