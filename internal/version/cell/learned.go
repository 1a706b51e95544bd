package cell

import (
	"maps"
	"time"
)

// savePeriod is the time between two records of what was learned. It is lost
// work, not wrong work, if a leader ends in between.
const savePeriod = 4 * time.Second

// RestoreLearned takes over what an earlier leader learned about images.
func (c *Cell) RestoreLearned(record LearnedRecord) {
	for _, known := range record.Pairs {
		c.pressures.coefficients[pair{known.Serving, known.Filling}] = &coefficient{mean: known.Coefficient, variance: learnedVariance}
	}
	maps.Copy(c.pressures.unloaded, record.Unloaded)
	maps.Copy(c.images.ratio, record.Ratios)
}

func (c *Cell) saveLearned(now time.Time) {
	if c.saved.IsZero() {
		c.saved = now
	}
	if now.Sub(c.saved) < savePeriod || len(c.pressures.coefficients)+len(c.images.ratio) == 0 {
		return
	}
	c.saved = now
	record := &LearnedRecord{Unloaded: maps.Clone(c.pressures.unloaded), Ratios: maps.Clone(c.images.ratio)}
	for images, known := range c.pressures.coefficients {
		if known.variance >= trialVariance {
			continue
		}
		record.Pairs = append(record.Pairs, PairRecord{Serving: images.serving, Filling: images.filling, Coefficient: known.mean})
	}
	c.write.Learned = record
}
