package entry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/process/boottime"
)

const testEvacuationApply = 5 * time.Second

// newEvacuationReader is newTestConfigurationReader for an instance that follows evacuations. It
// has read the log.
func newEvacuationReader(t *testing.T) (appendRecord func(key, value string), reader *configurationReader) {
	t.Helper()
	emulatedLog, reader, _ := newTestConfigurationReader(t)
	reader.entry.options.Limits.EvacuationApply = testEvacuationApply
	appendPaddedManifest(emulatedLog, 1)
	readUntil(t, reader, 1)
	return func(key, value string) { emulatedLog.AppendRecord(configurationTopic, key, []byte(value)) }, reader
}

// readZones reads until the end of the log is known again and returns the evacuated zones.
func readZones(t *testing.T, r *configurationReader) []string {
	t.Helper()
	before := r.entry.manifestCheck.Load()
	for range maxTestReads {
		_, err := r.read(t.Context())
		assert.NilError(t, err)
		if r.entry.manifestCheck.Load() != before {
			return r.entry.knownEvacuations().Zones()
		}
	}
	t.Fatal("the end of the configuration is not found")
	return nil
}

// A request between manifests that come faster than they are read was left out with them: all
// but the newest manifest are skipped.
func TestRequestAmongSkippedManifestsIsFound(t *testing.T) {
	appendRecord, reader := newEvacuationReader(t)
	for version := 2; version <= 40; version++ {
		appendRecord("config", fmt.Sprintf(`{"version":%d,"padding":"%s"}`, version, strings.Repeat("x", paddedManifestBytes)))
		if version == 3 {
			appendRecord("evacuate/a", "{}")
		}
		if version == 30 {
			appendRecord("evacuate/b", "{}")
			appendRecord("evacuate/c", "{}")
			appendRecord("evacuate/c", "")
		}
	}
	assert.DeepEqual(t, readZones(t, reader), []string{"a", "b"})
	appendRecord("evacuate/a", "")
	assert.DeepEqual(t, readZones(t, reader), []string{"b"})
}

// A malformed request, or one without a zone, must change nothing else.
func TestUnreadableRequestChangesNothing(t *testing.T) {
	appendRecord, reader := newEvacuationReader(t)
	appendRecord("evacuate/a", "not an object")
	appendRecord("evacuate/", "{}")
	appendRecord("evacuate/\xff", "{}")
	appendRecord("evacuated", "{}")
	assert.DeepEqual(t, readZones(t, reader), []string{"a"})
}

// What is known grows old while the log can't be read. A leader that relied on it would start
// tasks in a zone after the operator was told that it gets none.
func TestOldKnowledgeOfEvacuationsIsNotUsed(t *testing.T) {
	_, reader := newEvacuationReader(t)
	assert.Assert(t, reader.entry.knownEvacuations() != nil)
	check := *reader.entry.manifestCheck.Load()
	check.at = boottime.Now().Add(-testEvacuationApply + evacuationReserve - time.Millisecond)
	reader.entry.manifestCheck.Publish(&check)
	assert.Assert(t, reader.entry.knownEvacuations() == nil)
}

// An instance of an earlier version, or one that doesn't follow evacuations, reports the end of
// the configuration without the zones. It must not count as a proof that none is evacuated.
func TestCheckWithoutEvacuationsProvesNothing(t *testing.T) {
	appendRecord, reader := newEvacuationReader(t)
	appendRecord("evacuate/a", "{}")
	heartbeat := cellcodec.LinkHeartbeat{ManifestVersion: 1, ManifestCheck: &cellcodec.ManifestCheck{EndOffset: 2}}
	known := reader.entry.manifestCheck.Load()
	reader.entry.leaders.handleManifest(time.Now(), heartbeat)
	assert.Equal(t, reader.entry.manifestCheck.Load(), known)
	heartbeat.Evacuations = &cellcodec.Evacuations{Offset: 2, Requests: map[string]int64{"a": 1}}
	time.Sleep(2 * maxLinkLatency) // The check counts as older by that.
	reader.entry.leaders.handleManifest(time.Now(), heartbeat)
	assert.DeepEqual(t, reader.entry.knownEvacuations().Zones(), []string{"a"})
	assert.DeepEqual(t, readZones(t, reader), []string{"a"})
}
