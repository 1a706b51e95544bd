package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// soakZones is the number of zones over which the workers are spread.
	soakZones = 3
	// evacuationApply is the time within which nothing starts in an evacuated zone any more.
	evacuationApply = 4 * time.Second
)

// evacuationSetting returns the value of the setting by which zones can be evacuated.
func (d *deployment) evacuationSetting() string {
	if !d.size.evacuations {
		return ""
	}
	return fmt.Sprint(evacuationApply.Milliseconds())
}

// evacuateZones evacuates one zone after the other, for shorter and for longer than it takes
// to apply that, until stop is closed. Now and then there is a request for an unknown zone, or
// an unreadable one.
func (d *deployment) evacuateZones(random *rand.Rand, stop <-chan struct{}) {
	if !d.size.evacuations {
		return
	}
	for pause(random, stop, 200*time.Millisecond, 1500*time.Millisecond) {
		zone := fmt.Sprint("z", random.IntN(soakZones+1))
		d.journal("%s is evacuated", zone)
		d.log.AppendRecord("keyed.op", "evacuate/"+zone, []byte("{}"))
		d.log.AppendRecord("keyed.op", "evacuate/", []byte{byte(random.IntN(256))})
		d.history.evacuate(zone, true)
		pause(random, stop, time.Second, 9*time.Second)
		d.history.evacuate(zone, false)
		d.journal("%s is back", zone)
		d.log.AppendRecord("keyed.op", "evacuate/"+zone, nil)
	}
}

// showZone records the zone of a worker.
func (h *history) showZone(worker, zone string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zones[worker] = zone
}

// evacuate records that a zone is evacuated, or will be back.
func (h *history) evacuate(zone string, evacuated bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !evacuated {
		delete(h.evacuatedAt, zone)
		return
	}
	h.evacuatedAt[zone] = time.Now()
}
