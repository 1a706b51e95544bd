package cell

import (
	"cmp"
	"slices"
)

const (
	// maxSummaryPools and maxSummaryLabels bound a summary of the pools and the labels of
	// each pool in it, and maxSummaryTextBytes all texts. The summary is sent to operators
	// as one reply.
	maxSummaryPools     = 1024
	maxSummaryLabels    = 256
	maxSummaryTextBytes = 256 << 10
)

// PoolSummary describes the registered workers of a pool.
type PoolSummary struct {
	Pool    string
	Workers int
	// Labels holds the labels that at least one of the workers has, in order. MoreLabels is
	// set if some were left out.
	Labels     []string
	MoreLabels bool
}

// Pools returns the pools of the registered workers, in the order of their names. complete is
// false if pools were left out, or if the registry has not been read in this term.
func (c *Cell) Pools() (pools []PoolSummary, complete bool) {
	var summary poolsSummary
	for _, w := range c.sortedWorkers() {
		if w.registered {
			summary.add(w.info)
		}
	}
	return summary.sorted(), c.registryRead && !summary.morePools
}

// MergePools joins the summaries of several cells. complete is false if pools were left out.
func MergePools(summaries ...[]PoolSummary) (pools []PoolSummary, complete bool) {
	var merged poolsSummary
	for _, pool := range slices.Concat(summaries...) {
		if p := merged.pool(pool.Pool); p != nil {
			p.Workers += pool.Workers
			p.MoreLabels = p.MoreLabels || pool.MoreLabels
			merged.addLabels(p, pool.Labels)
		}
	}
	return merged.sorted(), !merged.morePools
}

// poolsSummary collects summaries within the bounds.
type poolsSummary struct {
	byName    map[string]*PoolSummary
	textBytes int
	morePools bool
}

// pool returns the summary of a pool, or nil if it has to be left out.
func (s *poolsSummary) pool(name string) *PoolSummary {
	if known := s.byName[name]; known != nil {
		return known
	}
	if len(s.byName) >= maxSummaryPools || s.textBytes+len(name) > maxSummaryTextBytes {
		s.morePools = true
		return nil
	}
	if s.byName == nil {
		s.byName = map[string]*PoolSummary{}
	}
	s.textBytes += len(name)
	s.byName[name] = &PoolSummary{Pool: name}
	return s.byName[name]
}

func (s *poolsSummary) add(info WorkerInfo) {
	if pool := s.pool(info.Pool); pool != nil {
		pool.Workers++
		s.addLabels(pool, info.Labels)
	}
}

// addLabels adds labels to a pool as far as the bounds allow.
func (s *poolsSummary) addLabels(pool *PoolSummary, labels []string) {
	for _, label := range labels {
		at, known := slices.BinarySearch(pool.Labels, label)
		if known {
			continue
		}
		if len(pool.Labels) >= maxSummaryLabels || s.textBytes+len(label) > maxSummaryTextBytes {
			pool.MoreLabels = true
			continue
		}
		s.textBytes += len(label)
		pool.Labels = slices.Insert(pool.Labels, at, label)
	}
}

func (s *poolsSummary) sorted() []PoolSummary {
	pools := make([]PoolSummary, 0, len(s.byName))
	for _, pool := range s.byName {
		pools = append(pools, *pool)
	}
	slices.SortFunc(pools, func(a, b PoolSummary) int { return cmp.Compare(a.Pool, b.Pool) })
	return pools
}
