package cell

import "time"

// learnedSavePeriod is the time between two stored records of the learned
// estimates. If a leader ends in between, the next one has to learn the newest
// estimates again, but takes no wrong decision.
const learnedSavePeriod = 4 * time.Second

// MaxLearnedBytes is the maximum size of the stored record of the learned estimates.
const MaxLearnedBytes = 96 << 10

// RestoreLearned loads the estimates that an earlier leader stored.
func (c *Cell) RestoreLearned(record LearnedRecord) {
	for _, pair := range record.Pairs {
		if keepsEstimates(pair.ServiceImage, pair.BestEffortImage) {
			c.pressures.coefficients[imagePair{pair.ServiceImage, pair.BestEffortImage}] = &coefficient{mean: pair.Coefficient, variance: restoredVariance}
		}
	}
	restoreEstimates(c.pressures.unloadedTails, record.UnloadedTails)
	restoreEstimates(c.durations.ratios, record.DurationRatios)
	c.recountWork()
}

func restoreEstimates(estimates map[string]*imageEstimate, stored map[string]float64) {
	for image, value := range stored {
		if keepsEstimates(image) {
			estimates[image] = &imageEstimate{value: value}
		}
	}
}

// saveLearned stores the estimates. The oldest and least used ones are forgotten if the
// record would become too large.
func (c *Cell) saveLearned(now time.Time) {
	if c.learnedSavedAt.IsZero() {
		c.learnedSavedAt = now
	}
	if now.Sub(c.learnedSavedAt) < learnedSavePeriod || len(c.pressures.coefficients)+len(c.durations.ratios) == 0 {
		return
	}
	c.learnedSavedAt = now
	trimPairs(now, c.pressures.coefficients, maxPairBytes)
	trimImages(now, c.pressures.unloadedTails, maxTailBytes)
	trimImages(now, c.durations.ratios, maxRatioBytes)
	record := &LearnedRecord{UnloadedTails: storedEstimates(c.pressures.unloadedTails), DurationRatios: storedEstimates(c.durations.ratios)}
	for images, entry := range c.pressures.coefficients {
		if entry.variance >= trialVariance {
			continue
		}
		record.Pairs = append(record.Pairs, PressureRecord{ServiceImage: images.service, BestEffortImage: images.bestEffort, Coefficient: entry.mean})
	}
	c.write.Learned = record
}

func storedEstimates(estimates map[string]*imageEstimate) map[string]float64 {
	stored := make(map[string]float64, len(estimates))
	for image, estimate := range estimates {
		stored[image] = estimate.value
	}
	return stored
}
