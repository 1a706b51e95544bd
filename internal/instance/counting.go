package instance

import (
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/logstream"
	"poplarvalve/internal/process/metrics"
)

// counterUpdater adds the increase of the running totals that other components
// keep to the metrics counters of the process. It is not safe for concurrent
// use.
type counterUpdater struct {
	instance          *Instance
	lastAppenderStats map[ident.StreamName]logstream.AppenderStats
	lastSkipped       map[ident.StreamName]uint64
	// linksOwner is the incarnation whose links have sent the bytes in
	// lastSentBytes.
	linksOwner    ident.Incarnation
	lastSentBytes map[ident.RegionName]uint64
}

func newCounterUpdater(instance *Instance) *counterUpdater {
	return &counterUpdater{
		instance:          instance,
		lastAppenderStats: map[ident.StreamName]logstream.AppenderStats{},
		lastSkipped:       map[ident.StreamName]uint64{},
		lastSentBytes:     map[ident.RegionName]uint64{},
	}
}

// updateAll adds the increases since the previous call to the counters.
func (c *counterUpdater) updateAll() {
	members, config := c.instance.memberAgent, c.instance.configAgent
	c.updateStreamCounters(ident.MembersStream, members.appender.Stats(), members.follower.Progress())
	c.updateStreamCounters(ident.ConfigStream, config.appender.Stats(), config.follower.Progress())
	c.updateLinkCounters()
}

func (c *counterUpdater) updateStreamCounters(name ident.StreamName, stats logstream.AppenderStats, progress logstream.Progress) {
	lastStats := c.lastAppenderStats[name]
	failed := stats.FailedCalls - lastStats.FailedCalls
	c.instance.options.Metrics.CountAppends(name, stats.Calls-lastStats.Calls-failed, failed)
	c.lastAppenderStats[name] = stats
	var skipped uint64
	for _, records := range progress.Skipped {
		skipped += records
	}
	c.instance.options.Metrics.CountSkippedRecords(name, skipped-c.lastSkipped[name])
	c.lastSkipped[name] = skipped
}

// updateLinkCounters counts the bytes sent to other regions. The totals start
// again from zero with the links of the next incarnation.
func (c *counterUpdater) updateLinkCounters() {
	current := c.instance.currentIncarnation.Load()
	if current == nil {
		return
	}
	if current.self != c.linksOwner {
		c.linksOwner = current.self
		c.lastSentBytes = map[ident.RegionName]uint64{}
	}
	for region, bytes := range current.peerNode.SentBytesByRegion() {
		if region != c.instance.options.Origin.Region {
			c.instance.options.Metrics.CountRegionBytes(region, metrics.Sent, bytes-c.lastSentBytes[region])
		}
		c.lastSentBytes[region] = bytes
	}
}
