package cell

import (
	"maps"
	"time"
)

// learnedSavePeriod is the time between two stored records of the learned
// estimates. If a leader ends in between, the next one has to learn the newest
// estimates again, but takes no wrong decision.
const learnedSavePeriod = 4 * time.Second

// RestoreLearned loads the estimates that an earlier leader stored.
func (c *Cell) RestoreLearned(record LearnedRecord) {
	for _, pair := range record.Pairs {
		c.pressures.coefficients[imagePair{pair.ServiceImage, pair.BestEffortImage}] = &coefficient{mean: pair.Coefficient, variance: restoredVariance}
	}
	maps.Copy(c.pressures.unloadedTails, record.UnloadedTails)
	maps.Copy(c.durations.ratios, record.DurationRatios)
}

func (c *Cell) saveLearned(now time.Time) {
	if c.learnedSavedAt.IsZero() {
		c.learnedSavedAt = now
	}
	if now.Sub(c.learnedSavedAt) < learnedSavePeriod || len(c.pressures.coefficients)+len(c.durations.ratios) == 0 {
		return
	}
	c.learnedSavedAt = now
	record := &LearnedRecord{UnloadedTails: maps.Clone(c.pressures.unloadedTails), DurationRatios: maps.Clone(c.durations.ratios)}
	for images, entry := range c.pressures.coefficients {
		if entry.variance >= trialVariance {
			continue
		}
		record.Pairs = append(record.Pairs, PressureRecord{ServiceImage: images.service, BestEffortImage: images.bestEffort, Coefficient: entry.mean})
	}
	c.write.Learned = record
}
