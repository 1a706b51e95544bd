package cell

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxImageBytes is the length of the longest image name for which estimates are kept.
	maxImageBytes = 1024
	// maxRatioBytes, maxTailBytes and maxPairBytes limit the stored size of the ratios
	// of durations, of the unloaded tails and of the coefficients.
	maxRatioBytes = 32 << 10
	maxTailBytes  = 16 << 10
	maxPairBytes  = 47 << 10
	// estimateBytes and textBytes are the most that one number and the length of one
	// text take in a stored estimate.
	estimateBytes = 10
	textBytes     = 3
	// trimShare is the share of a limit to which estimates above it are trimmed.
	trimShare = 0.75
	// usageHalfLife is the time after which a use of an estimate counts half.
	usageHalfLife = 10 * time.Minute
)

// usage says how often an estimate was used to learn something new, and when last. It is
// zero for estimates of an earlier term that were not used in this one.
type usage struct {
	count float64
	last  time.Time
}

// mark counts a use. Earlier uses count less, the older they are.
func (u *usage) mark(now time.Time) {
	u.count = 1 + u.count*math.Exp2(-float64(now.Sub(u.last))/float64(usageHalfLife))
	u.last = now
}

// compareUsage orders estimates by what their uses count now, the most used first.
func compareUsage(now time.Time, a, b usage) int {
	return cmp.Compare(b.weight(now), a.weight(now))
}

// weight is the logarithm of what the uses count at a time.
func (u usage) weight(now time.Time) float64 {
	if u.last.IsZero() {
		return math.Inf(-1)
	}
	return math.Log2(u.count) - float64(now.Sub(u.last))/float64(usageHalfLife)
}

// imageEstimate is an estimate about one image.
type imageEstimate struct {
	value float64
	usage usage
}

// keepsEstimates reports whether estimates about the images are kept.
func keepsEstimates(images ...string) bool {
	return !slices.ContainsFunc(images, func(image string) bool { return len(image) > maxImageBytes })
}

// storedBytes returns the most that an estimate about images takes in a record.
func storedBytes(images ...string) int {
	total := estimateBytes
	for _, image := range images {
		total += textBytes + len(image)
	}
	return total
}

// trimImages removes the oldest and least used estimates about single images if all of
// them take more than limit bytes in a record.
func trimImages(now time.Time, estimates map[string]*imageEstimate, limit int) {
	trim(estimates, limit, func(image string) int { return storedBytes(image) }, func(a, b string) int {
		return cmp.Or(compareUsage(now, estimates[a].usage, estimates[b].usage), cmp.Compare(a, b))
	})
}

// trimPairs is trimImages for estimates about pairs of images.
func trimPairs(now time.Time, estimates map[imagePair]*coefficient, limit int) {
	trim(estimates, limit, func(pair imagePair) int { return storedBytes(pair.service, pair.bestEffort) }, func(a, b imagePair) int {
		return cmp.Or(compareUsage(now, estimates[a].usage, estimates[b].usage), cmp.Compare(a.service, b.service), cmp.Compare(a.bestEffort, b.bestEffort))
	})
}

// trim removes the last entries in an order if all of them take more than limit bytes.
func trim[K comparable, V any](entries map[K]V, limit int, size func(K) int, compare func(a, b K) int) {
	total := 0
	keys := make([]K, 0, len(entries))
	for key := range entries {
		total += size(key)
		keys = append(keys, key)
	}
	if total <= limit {
		return
	}
	slices.SortFunc(keys, compare)
	for _, key := range slices.Backward(keys) {
		if total <= int(trimShare*float64(limit)) {
			return
		}
		delete(entries, key)
		total -= size(key)
	}
}
