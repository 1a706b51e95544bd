package nearplace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.UnixMilli(1_000_000)

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func cores(n int) Size { return Size{n} }

// task returns the ask of a task of 8 cores with a run time near its data, and 1,500 ms left to
// wait.
func task(work time.Duration, factor float64) Ask {
	return Ask{Size: cores(8), Work: work, Factor: factor, Left: MaxWait, Slack: time.Minute}
}

// fullRack returns a rack of one server whose runs of 8 cores end after the given times.
func fullRack(ends ...int) *Forecast {
	f := &Forecast{}
	var freeings []Freeing
	for _, end := range ends {
		freeings = append(freeings, Freeing{millis(end), cores(8)})
	}
	f.AddServer(Size{}, freeings)
	return f
}

// A wait that can't pay off would only delay the task.
func TestNoWaitThatCannotPayOff(t *testing.T) {
	dependents, hurried, waitedLong := task(time.Second, 1.5), task(time.Second, 1.5), task(time.Second, 3)
	dependents.Dependents = true
	hurried.Slack = millis(600)
	waitedLong.Left = millis(100)
	for name, c := range map[string]struct {
		ask  Ask
		wait time.Duration
		pays bool
	}{
		"saves 500 ms":                          {task(time.Second, 1.5), millis(400), true},
		"saves less than it waits":              {task(time.Second, 1.5), millis(501), false},
		"not remote":                            {task(time.Second, 1), millis(1), false},
		"others wait for it":                    {dependents, millis(400), false},
		"in time elsewhere, and not after that": {hurried, millis(300), false},
		"in time elsewhere also after that":     {hurried, millis(90), true},
		"little is left of the bound":           {waitedLong, millis(200), false},
		"bound of all waits":                    {task(time.Minute, 3), millis(1501), false},
	} {
		assert.Equal(t, c.ask.Pays(c.wait), c.pays, name)
	}
	assert.Assert(t, !fullRack(2000).Share([]Ask{task(time.Minute, 3)}, 1)[0].Granted)
	assert.Assert(t, !(&Forecast{}).Share([]Ask{task(time.Minute, 3)}, 1)[0].Granted, "a rack without servers")
}

// In a hot rack, the tasks that save little must not wait behind those that save much, and a
// priority must not wait behind a lower one.
func TestHotRackGoesToThoseThatSaveMost(t *testing.T) {
	short, long, urgent := task(millis(500), 2), task(2*time.Second, 2), task(millis(400), 2)
	urgent.Priority = -1
	slots := fullRack(100, 300).Share([]Ask{short, long, urgent, long}, 1)
	assert.DeepEqual(t, slots, []Slot{{}, {true, millis(330)}, {true, millis(130)}, {true, millis(530)}})
	waiting := short
	waiting.Waiting = true
	slots = fullRack(100).Share([]Ask{task(millis(550), 2), waiting}, 1)
	assert.Assert(t, !slots[0].Granted && slots[1].Granted, "a small difference must not end a wait")
}

// A group that fits only by counting one server's room twice would never start.
func TestGroupWaitsUntilAllOfItFits(t *testing.T) {
	f := fullRack(100, 300)
	f.AddServer(cores(16), nil)
	at, ok := f.Group(cores(8), 4, 0)
	assert.Assert(t, ok && at == millis(300), "%v", at)
	_, ok = f.Group(cores(8), 5, 0)
	assert.Assert(t, !ok)
	at, ok = f.Group(cores(8), 2, 1)
	assert.Assert(t, ok && at == millis(100), "one on each server: %v", at)
}

// Room that a claim has taken from some time on must not be given away for a time that
// reaches beyond, and is free again after the claim.
func TestClaimsDoNotOverlap(t *testing.T) {
	f := fullRack(100)
	f.claim(0, cores(8), millis(100), millis(400))
	server, at := f.earliest(cores(4), 0)
	assert.Assert(t, server == 0 && at == millis(500), "%v", at)
}

// Forecasts that are too short by a factor of 5 must be corrected after few waits, also those
// of nearly 0; and a rack that was avoided must be tried again later.
func TestWrongForecastsAreNotRepeated(t *testing.T) {
	for _, expected := range []time.Duration{0, millis(100)} {
		var c Corrections
		ask, now, waits := task(time.Second, 1.5), start, 0
		actual := 5*expected + millis(600)
		for ; waits < 100; waits++ {
			wait := c.For(now, "r").Apply(max(expected, 1))
			if !ask.Pays(wait) {
				break
			}
			waited := min(actual, ask.Patience(wait))
			assert.Assert(t, waited <= ask.Saving(), "a wait in vain costs more than it was to save")
			now = now.Add(waited)
			c.Record(now, "r", wait, waited, GaveUp)
		}
		assert.Assert(t, waits > 0 && waits <= 6, "%d waits in vain", waits)
		assert.Assert(t, c.For(now, "other") == 1)
		assert.Assert(t, ask.Pays(c.For(now.Add(time.Minute), "r").Apply(millis(50))))
	}
	var c Corrections
	for i := range 20 {
		c.Record(start.Add(time.Duration(i)*time.Second), "r", millis(500), millis(100), PlacedNear)
	}
	assert.Assert(t, c.For(start.Add(20*time.Second), "r") < 0.7, "forecasts that are too long are corrected as well")
}
