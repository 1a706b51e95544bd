package entry

import (
	"context"
	"errors"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/manifest"
)

const (
	// followWait is how long a read of the configuration waits for a change.
	// It is short of the time within which a change must be in force, so that
	// a connection that has gone silent is given up in time.
	followWait = 1500 * time.Millisecond
	// followTimeout bounds a read beyond its wait.
	followTimeout = 700 * time.Millisecond
	// followPause is the pause after a read that failed.
	followPause = 200 * time.Millisecond
)

// encodedManifest is a manifest as peers pass it on.
type encodedManifest struct {
	version int64
	bytes   []byte
}

// followConfiguration applies each newer manifest from the log.
func (e *Entry) followConfiguration(ctx context.Context) {
	next := int64(-1)
	reachable := true
	for ctx.Err() == nil {
		err := e.readConfiguration(ctx, &next)
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != reachable {
			reachable = err == nil
			e.options.Journal.Dependency("platform log", reachable, err)
		}
		if err != nil {
			sleep(ctx, followPause)
		}
	}
}

func (e *Entry) readConfiguration(ctx context.Context, next *int64) error {
	ctx, cancel := context.WithTimeout(ctx, followWait+followTimeout)
	defer cancel()
	if *next < 0 {
		records, end, err := e.options.Log.Newest(ctx, e.options.Configuration)
		if err != nil {
			return err
		}
		e.applyConfiguration(records)
		*next = end
		return nil
	}
	batch, err := e.options.Log.Read(ctx, e.options.Configuration, *next, followWait)
	if expired(err) {
		*next = -1
		return nil
	}
	if err != nil {
		return err
	}
	e.applyConfiguration(batch.Records)
	*next = batch.Next
	return nil
}

func (e *Entry) applyConfiguration(records []store.Record) {
	for _, record := range records {
		decoded, err := e.options.Decoder.Manifest(record)
		if err != nil {
			e.options.Journal.Skipped("configuration", record.Key, err)
			continue
		}
		if decoded != nil {
			e.adopt(decoded, "log")
		}
	}
}

// adopt puts a manifest in force if it is newer than the one in force. A
// process never goes back.
func (e *Entry) adopt(next *manifest.Manifest, source string) {
	adopted := false
	e.manifest.Update(func(current *manifest.Manifest) *manifest.Manifest {
		if current != nil && current.Version >= next.Version {
			return current
		}
		adopted = true
		return next
	})
	if !adopted {
		return
	}
	e.options.Journal.Manifest(next.Version, source, len(next.Queues))
	bytes, err := cellcodec.EncodeManifest(next)
	if err != nil {
		e.options.Journal.Skipped("configuration", "manifest", err)
		return
	}
	e.encoded.Update(func(current *encodedManifest) *encodedManifest {
		if current != nil && current.version >= next.Version {
			return current
		}
		return &encodedManifest{next.Version, bytes}
	})
}

// adoptEncoded takes a manifest from a peer.
func (e *Entry) adoptEncoded(bytes []byte) {
	decoded, err := cellcodec.DecodeManifest(bytes)
	if err != nil {
		e.options.Journal.Skipped("peer", "manifest", err)
		return
	}
	e.adopt(decoded, "peer")
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// expired says whether a read failed because its records are no longer kept.
func expired(err error) bool {
	var failure *store.Error
	return errors.As(err, &failure) && failure.Reason == store.Expired
}
