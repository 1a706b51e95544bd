package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/process/boottime"
	"poplarvalve/internal/process/metrics"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/evacuation"
	"poplarvalve/internal/version/manifest"
)

const (
	// configurationReadWait is how long a read of the configuration waits for a
	// change. Others rely on what it has found for somewhat longer than that.
	configurationReadWait = 300 * time.Millisecond
	// configurationReadLimit is the time that one read of the configuration may take. The
	// client ends a read earlier that makes no progress.
	configurationReadLimit = 8 * time.Second
	// newestConfigurationLimit is the same for a read of the newest records, which also
	// ends then if it makes no progress.
	newestConfigurationLimit = 4 * time.Second
	// configurationExpiredPause is the pause before the newest records are read because
	// others are no longer retained.
	configurationExpiredPause = 200 * time.Millisecond
)

// Manifests before the one in force are kept while an instance receives them: otherwise it would
// get none while new ones come faster than their parts.
const (
	// transferPause is how long after a part was asked for the next one may be.
	transferPause = 2 * time.Second
	// maxKeptEncodings bounds the manifests that are kept. Each takes up to 1 MiB encoded.
	maxKeptEncodings = 32
)

// encodedManifests holds the manifests that this instance can send, the one in force first.
type encodedManifests []encodedManifest

// encodedManifest is a manifest in the encoding in which it is sent to other instances, with
// its checksum. It is encoded when it is first asked for.
type encodedManifest struct {
	version int64
	encode  func() (encoded []byte, sum uint64)
	// askedAt is when a part was last asked for, or nil.
	askedAt *atomic.Pointer[time.Time]
}

// inTransfer returns the manifests of which parts are being sent, the newest ones first.
func (m encodedManifests) inTransfer(now time.Time) (kept encodedManifests) {
	for _, candidate := range m {
		asked := candidate.askedAt.Load()
		if asked != nil && now.Sub(*asked) < transferPause && len(kept) < maxKeptEncodings-1 {
			kept = append(kept, candidate)
		}
	}
	return kept
}

// newEncodedManifest returns the encoding of a manifest, which is received if that is not nil.
// It is empty if the manifest can't be sent, which is logged.
func (e *Entry) newEncodedManifest(m *manifest.Manifest, received []byte) encodedManifest {
	return encodedManifest{m.Version, sync.OnceValues(func() ([]byte, uint64) {
		if received != nil {
			return received, cellcodec.ManifestSum(received)
		}
		encoded, err := cellcodec.EncodeManifest(m)
		if err != nil {
			e.options.Journal.Retrying("handing on a manifest", err)
			return nil, 0
		}
		return encoded, cellcodec.ManifestSum(encoded)
	}), &atomic.Pointer[time.Time]{}}
}

// next returns the part that another instance asks for, or nil if the manifest can't be sent.
func (m encodedManifests) next(now time.Time, wanted cellcodec.ManifestWanted) *cellcodec.ManifestPart {
	chosen := m[0]
	if wanted.Offset > 0 {
		for _, kept := range m {
			if _, sum := kept.encode(); sum == wanted.Sum && sum != 0 {
				chosen = kept
				break
			}
		}
	}
	encoded, sum := chosen.encode()
	if len(encoded) == 0 {
		return nil
	}
	chosen.askedAt.Store(&now)
	return wanted.Next(sum, encoded)
}

// manifestCheck says that at a time no manifest was newer than the one in force, and that the
// configuration in the log ended at an offset.
type manifestCheck struct {
	at        boottime.Moment
	endOffset int64
	// evacuations are the evacuated zones at endOffset, or nil if they are not followed.
	evacuations *evacuation.View
}

// configurationReader reads the configuration from the log.
type configurationReader struct {
	entry *Entry
	// nextOffset is the offset of the next read. If it is negative, the newest record of
	// each key is read.
	nextOffset int64
	// skipped is set if records before nextOffset were left out, which may hold the newest
	// manifest.
	skipped bool
	// checked is the time up to which nextOffset takes account of manifestCheck.
	checked  boottime.Moment
	failures int
	// evacuations holds the evacuated zones up to nextOffset, or further; nil before the
	// first read, or if they are not followed.
	evacuations *evacuation.View
}

// followConfiguration reads the configuration from the log until ctx ends, as long as no
// other instance shows that the manifest in force is the newest one.
func (e *Entry) followConfiguration(ctx context.Context) {
	reader := configurationReader{entry: e, nextOffset: -1}
	random := rand.Float64()
	for ctx.Err() == nil {
		if delay := e.leaders.configurationReadDelay(time.Now(), random); delay > 0 {
			sleep(ctx, delay)
			continue
		}
		sleep(ctx, reader.readOnce(ctx))
	}
}

// readOnce reads the configuration once and returns the pause before the next read.
func (r *configurationReader) readOnce(ctx context.Context) (pause time.Duration) {
	read, err := r.read(ctx)
	if ctx.Err() != nil {
		return 0
	}
	if (err == nil) != (r.failures == 0) {
		r.entry.options.Journal.DependencyChanged("platform log", err == nil, err)
	}
	if err != nil {
		r.failures++
		return manifest.PauseAfterFailure(r.failures)
	}
	r.failures = 0
	return manifest.PauseAfterRead(read)
}

// read reads the configuration records from nextOffset on, applies them and advances the
// offset. It returns the number of bytes read. If the records at that offset are no longer
// retained, the next read is of the newest record of each key.
func (r *configurationReader) read(ctx context.Context) (read int, err error) {
	r.skipSuperseded()
	if r.nextOffset < 0 {
		return r.readNewest(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, configurationReadLimit)
	defer cancel()
	checked, from := boottime.Now(), r.nextOffset
	batch, err := r.entry.options.Log.Read(ctx, r.entry.options.Configuration, r.nextOffset, configurationReadWait)
	if isExpired(err) {
		r.nextOffset = -1
		sleep(ctx, configurationExpiredPause) // The next read may find the same.
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if len(batch.Records) == 0 {
		checked = checked.Add(configurationReadWait) // The log has waited before it answered.
	}
	found := r.entry.applyConfiguration(batch.Records)
	if !r.advanceEvacuations(from, batch) {
		r.nextOffset = -1
		return sizeOf(batch.Records), nil
	}
	r.advance(batch, found, checked)
	if found {
		r.entry.leaders.notifyLinks() // Now the heartbeats include the check.
	}
	return sizeOf(batch.Records), nil
}

// readNewest reads the newest record of each key.
func (r *configurationReader) readNewest(ctx context.Context) (read int, err error) {
	ctx, cancel := context.WithTimeout(ctx, newestConfigurationLimit)
	defer cancel()
	checked := boottime.Now()
	records, end, err := r.entry.options.Log.Newest(ctx, r.entry.options.Configuration)
	if err != nil {
		return 0, err
	}
	r.entry.applyConfiguration(records)
	r.nextOffset, r.skipped, r.checked = end, false, checked
	if r.entry.followsEvacuations() {
		r.evacuations = evacuation.Newer(r.evacuations, evacuation.FromNewest(r.entry.evacuationRequests(records), end))
	}
	r.entry.recordManifestCheck(manifestCheck{checked, end, r.evacuations})
	r.entry.leaders.notifyLinks()
	return sizeOf(records), nil
}

// skipSuperseded moves on to where other instances have read to. If one of them has a newer
// manifest, that is the last record before the end that it has reported.
func (r *configurationReader) skipSuperseded() {
	if check := r.entry.manifestCheck.Load(); check != nil && check.at.After(r.checked) && (r.nextOffset < 0 || check.endOffset >= r.nextOffset) {
		r.nextOffset, r.skipped, r.checked = check.endOffset, false, check.at
		r.evacuations = evacuation.Newer(r.evacuations, check.evacuations)
	}
	if r.entry.followsEvacuations() {
		return // A record that is left out may be a request to evacuate a zone.
	}
	if missing, lacks := r.entry.leaders.missingManifest(); lacks && r.nextOffset >= 0 && missing.endOffset-1 > r.nextOffset {
		r.nextOffset, r.skipped = missing.endOffset-1, true
	}
}

// advance moves on behind the records of a batch. If there are more, all but the last are
// left out, since a later manifest replaces those before it. If evacuations are followed, the
// newest record of each key is read instead.
func (r *configurationReader) advance(batch store.Batch, found bool, checked boottime.Moment) {
	switch {
	case batch.NextOffset < batch.EndOffset && r.entry.followsEvacuations():
		r.nextOffset = -1
	case batch.NextOffset < batch.EndOffset:
		r.nextOffset, r.skipped, r.checked = batch.EndOffset-1, true, checked
	case r.skipped && !found:
		r.nextOffset = -1 // The newest manifest may be among the records left out.
	default:
		r.nextOffset, r.skipped, r.checked = batch.NextOffset, false, checked
		r.entry.recordManifestCheck(manifestCheck{checked, batch.NextOffset, r.evacuations})
	}
}

// recordManifestCheck records what was found about the manifest in force, unless something
// newer is known.
func (e *Entry) recordManifestCheck(found manifestCheck) {
	e.manifestCheck.Update(func(current *manifestCheck) *manifestCheck {
		if current != nil && !found.at.After(current.at) {
			return current
		}
		if current != nil {
			found.evacuations = evacuation.Newer(current.evacuations, found.evacuations)
		}
		return &found
	})
	e.options.Metrics.EvacuatedZones(len(e.manifestCheck.Load().evacuations.Zones()))
}

// sizeOf returns the number of bytes of records.
func sizeOf(records []store.Record) (bytes int) {
	for _, record := range records {
		bytes += len(record.Key) + len(record.Value)
	}
	return bytes
}

// applyConfiguration applies the manifests among the records and reports whether there is
// one.
func (e *Entry) applyConfiguration(records []store.Record) (found bool) {
	for _, record := range records {
		decoded, err := decodeRecord(record, e.options.Decoder.Manifest)
		if err != nil {
			e.skipRecord(metrics.SourceConfiguration, record.Key, err)
			continue
		}
		if decoded != nil {
			found = true
			e.applyManifest(decoded, nil)
		}
	}
	return found
}

// applyManifest puts a manifest into force if its version is higher than that of
// the manifest in force. A process never returns to an earlier version. encoded is its
// encoding if another instance has sent it, or nil if it was read from the log. The caller
// tells the other instances.
func (e *Entry) applyManifest(received *manifest.Manifest, encoded []byte) {
	// The encodings come first: a heartbeat that reports the check of a version must not name
	// an earlier one.
	e.encodedManifests.Update(func(current *encodedManifests) *encodedManifests {
		if current != nil && (*current)[0].version >= received.Version {
			return current
		}
		next := encodedManifests{e.newEncodedManifest(received, encoded)}
		if current != nil {
			next = append(next, current.inTransfer(time.Now())...)
		}
		return &next
	})
	applied := false
	e.manifest.Update(func(current *manifest.Manifest) *manifest.Manifest {
		if !received.Supersedes(current) {
			return current
		}
		applied = true
		return received
	})
	if !applied {
		return
	}
	source := "log"
	if encoded != nil {
		source = "peer"
	}
	e.options.Journal.ManifestInForce(received.Version, source, len(received.Queues))
}

// manifestVersion returns the version of the manifest in force, or 0.
func (e *Entry) manifestVersion() int64 {
	if inForce := e.manifest.Load(); inForce != nil {
		return inForce.Version
	}
	return 0
}

// skipRecord logs and counts a record that can't be used.
func (e *Entry) skipRecord(source metrics.RecordSource, key string, err error) {
	e.options.Metrics.RecordSkipped(source)
	e.options.Journal.RecordSkipped(source.String(), key, err)
}

// applyEncodedManifest applies a manifest that another instance has sent and reports whether it
// can be used.
func (e *Entry) applyEncodedManifest(encoded []byte) bool {
	decoded, err := cellcodec.DecodeManifest(encoded)
	if err != nil {
		e.skipRecord(metrics.SourcePeer, "manifest", err)
		return false
	}
	e.applyManifest(decoded, encoded)
	return true
}

// sleep waits for the duration d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// isExpired reports whether a read failed because the log no longer retains the
// records at its offset.
func isExpired(err error) bool {
	var storeError *store.Error
	return errors.As(err, &storeError) && storeError.Reason == store.Expired
}
