package entry

import (
	"context"
	"errors"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/process/metrics"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/manifest"
)

const (
	// configurationReadWait is how long a read of the configuration waits for a
	// change. It is shorter than the time within which a change must take
	// effect, so that an unresponsive connection is abandoned in time.
	configurationReadWait = 1500 * time.Millisecond
	// configurationReadMargin is the time that a read may take in addition to
	// configurationReadWait.
	configurationReadMargin = 700 * time.Millisecond
	// configurationRetryPause is the pause after a failed read.
	configurationRetryPause = 200 * time.Millisecond
)

// encodedManifest is a manifest in the encoding in which it is sent to other
// instances.
type encodedManifest struct {
	version int64
	bytes   []byte
}

// followConfiguration reads the configuration from the log until ctx ends and
// applies each newer manifest.
func (e *Entry) followConfiguration(ctx context.Context) {
	nextOffset := int64(-1)
	reachable := true
	for ctx.Err() == nil {
		err := e.readConfiguration(ctx, &nextOffset)
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != reachable {
			reachable = err == nil
			e.options.Journal.DependencyChanged("platform log", reachable, err)
		}
		if err != nil {
			sleep(ctx, configurationRetryPause)
		}
	}
}

// readConfiguration reads the configuration records from *nextOffset on, applies
// them and advances the offset. If *nextOffset is negative, or the records at that
// offset are no longer retained, it starts again from the newest record of each key.
func (e *Entry) readConfiguration(ctx context.Context, nextOffset *int64) error {
	ctx, cancel := context.WithTimeout(ctx, configurationReadWait+configurationReadMargin)
	defer cancel()
	if *nextOffset < 0 {
		records, end, err := e.options.Log.Newest(ctx, e.options.Configuration)
		if err != nil {
			return err
		}
		e.applyConfiguration(records)
		*nextOffset = end
		return nil
	}
	batch, err := e.options.Log.Read(ctx, e.options.Configuration, *nextOffset, configurationReadWait)
	if isExpired(err) {
		*nextOffset = -1
		sleep(ctx, configurationRetryPause) // The next read may find the same.
		return nil
	}
	if err != nil {
		return err
	}
	e.applyConfiguration(batch.Records)
	*nextOffset = batch.NextOffset
	return nil
}

func (e *Entry) applyConfiguration(records []store.Record) {
	for _, record := range records {
		decoded, err := decodeRecord(record, e.options.Decoder.Manifest)
		if err != nil {
			e.skipRecord(metrics.SourceConfiguration, record.Key, err)
			continue
		}
		if decoded != nil {
			e.applyManifest(decoded, "log")
		}
	}
}

// applyManifest puts a manifest into force if its version is higher than that of
// the manifest in force. A process never returns to an earlier version. source is
// logged.
func (e *Entry) applyManifest(received *manifest.Manifest, source string) {
	applied := false
	e.manifest.Update(func(current *manifest.Manifest) *manifest.Manifest {
		if current != nil && current.Version >= received.Version {
			return current
		}
		applied = true
		return received
	})
	if !applied {
		return
	}
	e.options.Journal.ManifestInForce(received.Version, source, len(received.Queues))
	encoded, err := cellcodec.EncodeManifest(received)
	if err != nil {
		e.skipRecord(metrics.SourceConfiguration, "manifest", err)
		return
	}
	e.encodedManifest.Update(func(current *encodedManifest) *encodedManifest {
		if current != nil && current.version >= received.Version {
			return current
		}
		return &encodedManifest{received.Version, encoded}
	})
}

// skipRecord logs and counts a record that can't be used.
func (e *Entry) skipRecord(source metrics.RecordSource, key string, err error) {
	e.options.Metrics.RecordSkipped(source)
	e.options.Journal.RecordSkipped(source.String(), key, err)
}

// applyEncodedManifest applies a manifest that another instance has sent.
func (e *Entry) applyEncodedManifest(encoded []byte) {
	decoded, err := cellcodec.DecodeManifest(encoded)
	if err != nil {
		e.skipRecord(metrics.SourcePeer, "manifest", err)
		return
	}
	e.applyManifest(decoded, "peer")
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
