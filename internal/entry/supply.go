package entry

import (
	"context"
	"maps"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/celllink"
	"poplarvalve/internal/process/boottime"
	"poplarvalve/internal/process/metrics"
	"poplarvalve/internal/version/manifest"
)

const (
	// sourcesCell is the cell whose leader reads the manifest from the log and chooses the
	// instances that hand it on.
	sourcesCell = 0
	// sourcesPeriod is the time between two choices.
	sourcesPeriod = 300 * time.Millisecond
	// sourceMaxSilence is how long a source stays one after its last heartbeat.
	sourceMaxSilence = 1200 * time.Millisecond
	// sourceLinkPeriod is how long a link to a source stays open while the manifest is
	// awaited. sourceLinkPause is the pause before the next one.
	sourceLinkPeriod = time.Second
	sourceLinkPause  = 200 * time.Millisecond
	// handOnBytesPerSecond is the rate at which an instance sends manifests to other
	// availability zones, a quarter of a link between regions of 60 Mbit/s. handOnBurst must
	// hold a part.
	handOnBytesPerSecond = 2_000_000
	handOnBurst          = 256 << 10
	// maxLinkLatency is the longest that the fastest heartbeat on a link takes. Without it, a
	// check that instances report to each other in turn would never age.
	maxLinkLatency = 50 * time.Millisecond
	// maxReportedCheckAge is the age from which the check of a manifest is not reported.
	maxReportedCheckAge = 10 * time.Second
)

// missingManifest is the newest manifest that another instance has and this one lacks, and
// the end of the configuration in the log that the other instance has reported with it.
type missingManifest struct {
	version   int64
	endOffset int64
}

// manifestRole returns how this instance gets newer manifests, and the address of the
// instance from which it takes them, or "" if that isn't known.
func (l *leaderDirectory) manifestRole() (role manifest.Role, upstream string) {
	table := l.table.Load()
	if table.ledHere[sourcesCell] != nil || len(table.ledHere) > 0 && l.entry.followsEvacuations() {
		return manifest.Reader, ""
	}
	source := table.sources.ByZone[l.entry.options.Zone]
	if source == "" || source == l.entry.options.Self.Address {
		return manifest.Source, table.byCell[sourcesCell].Address
	}
	return manifest.Member, source
}

// configurationReadDelay returns how long this instance waits before it reads the
// configuration from the log, or 0. random is from 0 to 1.
func (l *leaderDirectory) configurationReadDelay(now time.Time, random float64) time.Duration {
	role, _ := l.manifestRole()
	own := l.entry.manifestVersion()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.manifestSupply.ReadDelay(now, role, own, random)
}

// addManifest adds to a heartbeat for another instance what it says about the manifest. The
// check is read first: a manifest that comes into force meanwhile is no older.
func (l *leaderDirectory) addManifest(heartbeat *cellcodec.LinkHeartbeat, remote celllink.RemoteManifest) {
	now := time.Now()
	if check := l.entry.manifestCheck.Load(); check != nil && check.at.Since() < maxReportedCheckAge {
		heartbeat.ManifestCheck = &cellcodec.ManifestCheck{AgeMillis: max(0, check.at.Since().Milliseconds()), EndOffset: check.endOffset}
		if check.evacuations != nil {
			heartbeat.Evacuations = &cellcodec.Evacuations{Offset: check.evacuations.Offset(), Requests: check.evacuations.Requests()}
		}
	}
	if encoded := l.entry.encodedManifests.Load(); encoded != nil {
		heartbeat.ManifestVersion = (*encoded)[0].version
		if remote.Wanted != nil && remote.Version < heartbeat.ManifestVersion {
			heartbeat.ManifestPart = l.partWithinBudget(now, encoded.next(now, *remote.Wanted), remote.Nonce)
		}
	}
	_, upstream := l.manifestRole()
	fromSource := upstream != "" && l.voters.addressOf(remote.Nonce) == upstream
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.manifestPull.Request(now, heartbeat.ManifestVersion, remote.Version, fromSource) {
		heartbeat.ManifestWanted = l.manifestParts.Ask()
	}
}

// partWithinBudget returns a part of a manifest, or nil if it must not be sent to a process
// now.
func (l *leaderDirectory) partWithinBudget(now time.Time, part *cellcodec.ManifestPart, nonce uint64) *cellcodec.ManifestPart {
	if part == nil {
		return nil // The other instance reads the log.
	}
	receiver, heard := l.voters.senderOf(nonce)
	sameZone := heard && receiver.Zone != "" && receiver.Zone == l.entry.options.Zone
	if !sameZone && !l.handOnBudget.AllowN(now, len(part.Data)) {
		return nil
	}
	return part
}

// handleManifestPart adds a part of a manifest and applies the manifest once it is complete. The
// next part is asked for at once, but not after a manifest that can't be used.
func (l *leaderDirectory) handleManifestPart(part cellcodec.ManifestPart) {
	l.mu.Lock()
	encoded, used, err := l.manifestParts.Add(part)
	l.mu.Unlock()
	if err != nil {
		l.entry.skipRecord(metrics.SourcePeer, "manifest", err)
		return
	}
	if !used || encoded != nil && !l.entry.applyEncodedManifest(encoded) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.manifestPull.PartArrived()
	l.manifestSupply.PartArrived(time.Now())
}

// handleManifest applies what a heartbeat says about the manifest.
func (l *leaderDirectory) handleManifest(now time.Time, heartbeat cellcodec.LinkHeartbeat) {
	before := l.entry.manifestVersion()
	if heartbeat.ManifestSources != nil {
		l.recordSources(*heartbeat.ManifestSources)
	}
	if heartbeat.ManifestPart != nil {
		l.handleManifestPart(*heartbeat.ManifestPart)
	}
	own := l.entry.manifestVersion()
	check := heartbeat.ManifestCheck
	l.mu.Lock()
	begins := l.manifestPull.Observe(now, own, heartbeat.ManifestVersion)
	if begins && check != nil {
		l.missing = missingManifest{heartbeat.ManifestVersion, check.EndOffset}
	}
	if check != nil {
		l.manifestSupply.Prove(checkedAt(check).Time(), heartbeat.ManifestVersion, own)
	}
	l.mu.Unlock()
	if view, usable := l.entry.reportedEvacuations(heartbeat); check != nil && usable && heartbeat.ManifestVersion <= own {
		l.entry.recordManifestCheck(manifestCheck{checkedAt(check), check.EndOffset, view})
	}
	if begins {
		l.manifestMissing.Publish(nil)
	}
	if begins || own > before {
		l.notifyLinks() // One of the heartbeats asks for the manifest, or all report it.
	}
}

// checkedAt returns the time of a check that was received now. Its age includes what the
// heartbeat has taken longer than the fastest one on its link.
func checkedAt(check *cellcodec.ManifestCheck) boottime.Moment {
	age := min(max(0, check.AgeMillis), maxReportedCheckAge.Milliseconds())
	return boottime.Now().Add(-time.Duration(age)*time.Millisecond - maxLinkLatency)
}

// missingManifest returns the newest manifest that this instance is known to lack.
func (l *leaderDirectory) missingManifest() (missing missingManifest, lacks bool) {
	own := l.entry.manifestVersion()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.missing, l.missing.version > own
}

// recordSources records the sources that a leader has chosen, unless newer ones are known.
func (l *leaderDirectory) recordSources(sources cellcodec.ManifestSources) {
	l.updateTable(func(next *leaderTable) bool {
		known := next.sources
		if sources.Epoch < known.Epoch || sources.Epoch == known.Epoch && sources.Revision <= known.Revision {
			return false
		}
		next.sources = sources
		return true
	})
}

// followManifestSource links this instance to the source of its availability zone whenever
// it lacks a manifest, until ctx ends.
func (l *leaderDirectory) followManifestSource(ctx context.Context) {
	for ctx.Err() == nil {
		missing := l.manifestMissing.Changed()
		role, source := l.manifestRole()
		if _, lacks := l.missingManifest(); lacks && role == manifest.Member {
			l.awaitManifest(ctx, source)
			continue
		}
		select {
		case <-missing:
		case <-ctx.Done():
		}
	}
}

// awaitManifest keeps a link to a source until no manifest is missing, for at most
// sourceLinkPeriod.
func (l *leaderDirectory) awaitManifest(ctx context.Context, source string) {
	ctx, cancel := context.WithTimeout(ctx, sourceLinkPeriod)
	defer cancel()
	opened := l.liveLink(source) == nil
	link, err := l.dialLink(ctx, source)
	if err != nil {
		sleep(ctx, sourceLinkPause)
		return
	}
	for {
		changed := l.entry.manifest.Changed()
		if _, lacks := l.missingManifest(); !lacks {
			break
		}
		select {
		case <-changed:
			continue
		case <-link.Done():
			sleep(ctx, sourceLinkPause)
		case <-ctx.Done():
		}
		break
	}
	if opened && !l.needsLink(source) {
		link.Close()
	}
}

// needsLink reports whether a link to an address may serve anything but manifests: it leads
// a cell, or this instance does.
func (l *leaderDirectory) needsLink(address string) bool {
	table := l.table.Load()
	for _, leader := range table.byCell {
		if leader.Address == address {
			return true
		}
	}
	return len(table.ledHere) > 0
}

// manifestCandidates returns the linked instances that may hand manifests on.
func (l *leaderDirectory) manifestCandidates(now time.Time) []manifest.Candidate {
	l.mu.Lock()
	defer l.mu.Unlock()
	var candidates []manifest.Candidate
	for nonce, report := range l.cpuShares {
		sender, heard := l.voters.senderOf(nonce)
		if heard && now.Sub(report.reportedAt) < sourceMaxSilence {
			candidates = append(candidates, manifest.Candidate{Address: sender.Address, Zone: sender.Zone, CPUShare: report.cores})
		}
	}
	return candidates
}

// chooseManifestSources chooses the sources of manifests until the term ends.
func (l *leadership) chooseManifestSources(ctx context.Context) {
	leaders := l.entry.leaders
	for revision := int64(1); ctx.Err() == nil; {
		current := leaders.table.Load().sources
		chosen := manifest.ChooseSources(current.ByZone, leaders.manifestCandidates(time.Now()))
		if current.Epoch < l.term.Epoch || !maps.Equal(chosen, current.ByZone) {
			leaders.recordSources(cellcodec.ManifestSources{Epoch: l.term.Epoch, Revision: revision, ByZone: chosen})
			revision++
		}
		sleep(ctx, sourcesPeriod)
	}
}
