package cell

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A worker that has left must not count, or a service without workers looks usable; and before
// the registry is read, no service may be called unused.
func TestPoolsCountRegisteredWorkers(t *testing.T) {
	c, _ := newCellWithOneWorker(t, 2)
	other, labeled := testInfo("i-other"), testInfo("i-labeled")
	other.Pool, other.Labels = "other", nil
	labeled.Labels = []string{"z", "a"}
	c.UpdateWorkers(testStart, []WorkerInfo{testInfo(testWorker), other, labeled})
	pools, complete := c.Pools()
	assert.Assert(t, complete)
	assert.Equal(t, len(pools), 2)
	assert.Equal(t, pools[0].Pool, "other")
	assert.Equal(t, pools[1].Workers, 2)
	assert.Assert(t, strings.HasPrefix(fmt.Sprint(pools[1].Labels), "[a"), "%v", pools[1].Labels)
	c.UpdateWorkers(testStart, []WorkerInfo{testInfo(testWorker)})
	pools, _ = c.Pools()
	assert.Equal(t, len(pools), 1)
	_, complete = New(Config{}).Pools()
	assert.Assert(t, !complete)
}

// The summary is sent as one reply: workers with odd pools and labels must not make it grow
// without bound, and what is left out must be known.
func TestPoolsAreBounded(t *testing.T) {
	var summary poolsSummary
	for i := range 2 * maxSummaryPools {
		summary.add(WorkerInfo{Pool: fmt.Sprintf("p%d", i), Labels: []string{strings.Repeat("l", 1000)}})
	}
	for i := range 2 * maxSummaryLabels {
		summary.add(WorkerInfo{Pool: "p0", Labels: []string{fmt.Sprintf("l%d", i)}})
	}
	pools, complete := MergePools(summary.sorted())
	assert.Assert(t, len(pools) <= maxSummaryPools && summary.morePools && complete)
	text := 0
	for _, pool := range pools {
		assert.Assert(t, len(pool.Labels) <= maxSummaryLabels)
		text += len(pool.Pool) + len(strings.Join(pool.Labels, ""))
	}
	assert.Assert(t, text <= maxSummaryTextBytes && pools[0].MoreLabels)
	merged, _ := MergePools([]PoolSummary{{"p", 2, []string{"a"}, false}}, []PoolSummary{{"p", 3, []string{"b", "a"}, true}})
	assert.DeepEqual(t, merged, []PoolSummary{{"p", 5, []string{"a", "b"}, true}})
}
