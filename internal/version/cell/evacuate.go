package cell

import (
	"fmt"
	"time"

	"poplarvalve/internal/version/evacuation"
)

// An availability zone that is evacuated gets no starts. What runs there stays: a move would
// lose work, and the operators ask for no more than that nothing is sent to the zone. The
// guarantee holds from the call of SetEvacuations on, also for starts that wait until they are
// stored and for places that are reserved for moves.

// coldPenalty, in spare cores, keeps tasks off a worker that is cold for coldPenaltyAfter or
// more, as long as others have room. It falls to 0 with the time that is left, so that a zone
// that was evacuated gets its share back by and by.
const (
	coldPenalty      = 150
	coldPenaltyAfter = 2 * time.Second
)

// SetEvacuations replaces the evacuated zones. nil means that they are not known: nothing is
// started until they are.
func (c *Cell) SetEvacuations(view *evacuation.View) {
	earlier := c.evacuations
	c.evacuations = view
	if view == nil {
		if earlier != nil {
			c.addEvent(DecisionEvent{Event: "evacuations unknown"})
		}
		return
	}
	if earlier != nil && earlier.SameZones(view) {
		return
	}
	for _, w := range c.sortedWorkers() {
		w.evacuated = view.Evacuates(w.info.Zone)
	}
	c.reportEvacuations(earlier, view)
}

// reportEvacuations logs the zones whose evacuation has begun or ended.
func (c *Cell) reportEvacuations(earlier, view *evacuation.View) {
	for _, zone := range view.Zones() {
		if earlier == nil || !earlier.Evacuates(zone) {
			c.addEvent(DecisionEvent{Event: "evacuation begun", Outcome: zone + ", " + c.describeZone(zone)})
		}
	}
	if earlier == nil {
		return
	}
	for _, zone := range earlier.Zones() {
		if !view.Evacuates(zone) {
			c.addEvent(DecisionEvent{Event: "evacuation ended", Outcome: zone + ", " + c.describeZone(zone)})
		}
	}
}

// describeZone returns the numbers of workers and runs in a zone for the log.
func (c *Cell) describeZone(zone string) string {
	workers, runs := 0, 0
	for _, w := range c.sortedWorkers() {
		if w.info.Zone == zone {
			workers++
			runs += len(w.runs)
		}
	}
	return fmt.Sprintf("%d workers with %d runs", workers, runs)
}

// evacuates reports whether a zone is known to be evacuated.
func (c *Cell) evacuates(zone string) bool {
	return c.evacuations != nil && c.evacuations.Evacuates(zone)
}

// awaitsEvacuations reports whether nothing may be started because the evacuated zones are not
// known.
func (c *Cell) awaitsEvacuations() bool { return c.config.Evacuations && c.evacuations == nil }

// coldScore rates a worker for a task by the time for which it stays cold.
func (c *Cell) coldScore(now time.Time, w *worker) float64 {
	left := w.info.ColdUntil.Sub(now)
	if !c.config.Evacuations || c.config.LearnSpeed || left <= 0 {
		return 0
	}
	return -coldPenalty * min(1, left.Seconds()/coldPenaltyAfter.Seconds())
}

// dumpEvacuations returns the evacuated zones with their workers and runs, and how many ready
// tasks only workers in them could take, for the operators' dump.
func (c *Cell) dumpEvacuations() any {
	if !c.config.Evacuations {
		return nil
	}
	if c.evacuations == nil {
		return "not known"
	}
	zones := map[string]string{}
	for _, zone := range c.evacuations.Zones() {
		zones[zone] = c.describeZone(zone)
	}
	return map[string]any{"offset": c.evacuations.Offset(), "zones": zones, "waiting_tasks": c.countAwaitingZones()}
}

// countAwaitingZones returns the number of ready tasks for which only workers in evacuated zones
// have room.
func (c *Cell) countAwaitingZones() int {
	if len(c.evacuations.Zones()) == 0 {
		return 0
	}
	count := 0
	for _, t := range c.readyTasks {
		elsewhere, evacuated := false, false
		for _, w := range c.sortedWorkers() {
			if w.registered && w.policyAllows(t) && w.free().canHold(t.size()) {
				elsewhere = elsewhere || !w.evacuated
				evacuated = evacuated || w.evacuated
			}
		}
		if evacuated && !elsewhere {
			count++
		}
	}
	return count
}
