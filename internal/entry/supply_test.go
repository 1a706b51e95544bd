package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/poll"
)

const (
	configurationTopic = "keyed.op"
	// largeManifestBytes is the size of a manifest of appendManifest.
	largeManifestBytes = 200_000
)

// deployInZones starts five instances in each of the zones and waits until each zone that
// is not the leader's alone has a source.
func deployInZones(t *testing.T, zones ...string) *deployment {
	d := deploy(t, 0, 0)
	for _, zone := range zones {
		d.zone = zone
		for range 5 {
			d.start()
		}
	}
	d.awaitReady()
	for _, zone := range zones {
		d.source(zone)
	}
	return d
}

// source waits until all instances know the same running source of a zone, and returns it.
func (d *deployment) source(zone string) *instance {
	d.t.Helper()
	var found *instance
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		found = nil
		for _, i := range d.entries {
			state := i.entry.Dump()
			sources, _ := state["manifest_sources"].(map[string]string)
			known := d.instanceAt(sources[zone])
			if known == nil || found != nil && found != known {
				return poll.Continue("an instance knows the sources %v", sources)
			}
			found = known
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
	return found
}

// instanceAt returns the running instance with an address, or nil.
func (d *deployment) instanceAt(address string) *instance {
	for _, i := range d.entries {
		if i.address() == address {
			return i
		}
	}
	return nil
}

func (i *instance) address() string { return i.linkServer.Listener.Addr().String() }

// appendManifest appends a manifest of largeManifestBytes in which the path prefix of the
// only route names the version.
func (d *deployment) appendManifest(version int) {
	prefix := fmt.Sprintf("/v%d/", version)
	body := strings.NewReplacer(`"version":3`, fmt.Sprintf(`"version":%d`, version), "/jobs/", prefix).Replace(testManifest)
	padding := strings.Repeat("x", largeManifestBytes-len(body))
	d.log.AppendRecord(configurationTopic, "config", []byte(strings.TrimSuffix(body, "}")+`,"padding":"`+padding+`"}`))
}

// awaitManifest waits until a manifest of appendManifest is in force at all instances. No
// other manifest has a route for its path.
func (d *deployment) awaitManifest(version int) {
	d.t.Helper()
	for _, i := range d.entries {
		poll.WaitOn(d.t, func(poll.LogT) poll.Result {
			status, _, err := i.call(http.MethodGet, fmt.Sprintf("/v%d/%s", version, jobID(1)), "")
			if err == nil && status != http.StatusNotFound {
				return poll.Success()
			}
			return poll.Continue("status %d, %v", status, err)
		}, poll.WithTimeout(waitTimeout), poll.WithDelay(20*time.Millisecond))
	}
}

// awaitReady waits until all instances can serve, which takes a manifest.
func (d *deployment) awaitReady() {
	d.t.Helper()
	for _, i := range d.entries {
		poll.WaitOn(d.t, func(poll.LogT) poll.Result {
			if i.entry.Ready() {
				return poll.Success()
			}
			return poll.Continue("an instance is not ready")
		}, poll.WithTimeout(waitTimeout))
	}
}

// The instances of a zone must not depend on its source.
func TestManifestArrivesWithoutSource(t *testing.T) {
	for name, lose := range map[string]func(d *deployment, source *instance){
		"stopped": func(d *deployment, source *instance) {
			source.stop()
			d.entries = removeInstance(d.entries, source)
		},
		"cut off": func(d *deployment, source *instance) {
			others := []string{d.log.Address()}
			d.entries = removeInstance(d.entries, source)
			for _, i := range d.entries {
				others = append(others, i.address())
			}
			d.network.partition([]string{source.address()}, others)
		},
		"cut off from the log, with the leader": func(d *deployment, source *instance) {
			d.network.partition([]string{source.address(), d.leader().address()}, []string{d.log.Address()})
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := deployInZones(t, "a", "b")
			zone := "a"
			if d.source(zone) == d.leader() {
				zone = "b"
			}
			lose(d, d.source(zone))
			d.appendManifest(10)
			d.awaitManifest(10)
		})
	}
}
