package instance

import (
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/logstream"
	"poplarvalve/internal/process/metrics"
)

// counts turns the running totals of other parts into the process's counters.
// One thread uses it.
type counts struct {
	instance *Instance
	appends  map[ident.StreamName]logstream.AppenderStats
	skipped  map[ident.StreamName]uint64
	// self is the incarnation whose link the bytes in sent belong to.
	self ident.Incarnation
	sent map[ident.RegionName]uint64
}

func newCounts(instance *Instance) *counts {
	return &counts{
		instance: instance,
		appends:  map[ident.StreamName]logstream.AppenderStats{},
		skipped:  map[ident.StreamName]uint64{},
		sent:     map[ident.RegionName]uint64{},
	}
}

// update adds what has come since the last call.
func (c *counts) update() {
	members, config := c.instance.members, c.instance.config
	c.stream(ident.MembersStream, members.appender.Stats(), members.follower.Progress())
	c.stream(ident.ConfigStream, config.appender.Stats(), config.follower.Progress())
	c.links()
}

func (c *counts) stream(name ident.StreamName, now logstream.AppenderStats, progress logstream.Progress) {
	before := c.appends[name]
	failed := now.FailedCalls - before.FailedCalls
	c.instance.options.Metrics.Appended(name, now.Calls-before.Calls-failed, failed)
	c.appends[name] = now
	var skipped uint64
	for _, records := range progress.Skipped {
		skipped += records
	}
	c.instance.options.Metrics.Skipped(name, skipped-c.skipped[name])
	c.skipped[name] = skipped
}

// links counts the bytes to other regions. The links of the next incarnation
// count from zero.
func (c *counts) links() {
	current := c.instance.current.Load()
	if current == nil {
		return
	}
	if current.self != c.self {
		c.self = current.self
		c.sent = map[ident.RegionName]uint64{}
	}
	for region, bytes := range current.node.Sent() {
		if region != c.instance.options.Place.Region {
			c.instance.options.Metrics.Crossed(region, metrics.Sent, bytes-c.sent[region])
		}
		c.sent[region] = bytes
	}
}
