package manifest

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// sourceReadDelay is how old the newest proof may be that an instance has the newest
	// manifest before a source reads the log itself, and memberReadDelay the same for
	// other instances. The difference is the time in which a source hands the manifest on
	// that it has read. Both leave a second of the time within which a manifest must be in
	// force.
	sourceReadDelay = 1200 * time.Millisecond
	memberReadDelay = 1700 * time.Millisecond
	// readDelayJitter is the upper bound of the random time that is added to both.
	readDelayJitter = 250 * time.Millisecond

	// partWait is how long after a part of a newer manifest an instance waits for the next
	// one. On a full link between regions, a read of the log beside the transfer delays
	// both.
	partWait = 800 * time.Millisecond

	// ReadBytesPerSecond is the rate to which reads of the log are paced. It is a quarter
	// of a link between regions of 30 Mbit/s.
	ReadBytesPerSecond = 1_000_000
	// maxReadPause bounds the pause after a read, so that the manifest that follows a
	// large one is still in force in time, and that two pauses of the leader in a row end
	// before sourceReadDelay.
	maxReadPause = 300 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a failed read. It doubles with
	// each further failure.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
)

// Role says how an instance gets newer manifests.
type Role uint8

const (
	// Reader reads the log. The leader of the first cell is one.
	Reader Role = iota
	// Source takes manifests from the leader and hands them on in its availability zone.
	Source
	// Member takes manifests from the source of its availability zone.
	Member
)

// Supply decides when an instance reads the manifest from the log itself. Its zero value
// belongs to an instance that has heard nothing from others.
type Supply struct {
	// provenAt is the newest time at which this instance had the newest manifest, as far
	// as other instances have shown.
	provenAt time.Time
	// pending holds, by version, the newest time of proofs about versions that were not in
	// force here yet. Without it, an instance that gets each version shortly before the
	// next one never has a proof.
	pending map[int64]time.Time
	// arrivedAt is when a part of a newer manifest last arrived.
	arrivedAt time.Time
}

// maxPendingProofs bounds the versions of Supply.pending.
const maxPendingProofs = 64

// Prove records that another instance has found at the time checked that no manifest is
// newer than the version reported. own is the version in force here.
func (s *Supply) Prove(checked time.Time, reported, own int64) {
	if s.pending == nil {
		s.pending = map[int64]time.Time{}
	}
	known, found := s.pending[reported]
	if (found || len(s.pending) < maxPendingProofs) && checked.After(known) {
		s.pending[reported] = checked
	}
	s.settle(own)
}

// PartArrived records that a part of a newer manifest has arrived from another instance.
func (s *Supply) PartArrived(now time.Time) { s.arrivedAt = now }

// settle applies the proofs about versions up to own.
func (s *Supply) settle(own int64) {
	for version, checked := range s.pending {
		if version > own {
			continue
		}
		delete(s.pending, version)
		if checked.After(s.provenAt) {
			s.provenAt = checked
		}
	}
}

// ReadDelay returns how long the instance waits before it reads the log itself, or 0. own is
// the version in force here, and random is from 0 to 1.
func (s *Supply) ReadDelay(now time.Time, role Role, own int64, random float64) time.Duration {
	s.settle(own)
	delay := time.Duration(random * float64(readDelayJitter))
	switch role {
	case Reader:
		return 0
	case Source:
		delay += sourceReadDelay
	case Member:
		delay += memberReadDelay
	}
	return max(0, delay-now.Sub(s.provenAt), partWait-now.Sub(s.arrivedAt))
}

// PauseAfterRead returns the time after a read of the log before the next one, so that
// reads keep to ReadBytesPerSecond.
func PauseAfterRead(bytes int) time.Duration {
	return min(maxReadPause, time.Duration(bytes)*time.Second/ReadBytesPerSecond)
}

// PauseAfterFailure returns the time after a number of failed reads before the next one.
func PauseAfterFailure(failures int) time.Duration {
	return min(maxRetryPause, minRetryPause<<min(failures-1, 4))
}

// Candidate is an instance that can hand on manifests.
type Candidate struct {
	Address string
	Zone    string
	// CPUShare is the part of a core that it may use.
	CPUShare float64
}

// ChooseSources returns the address of the source of each availability zone. heard holds
// the instances that the leader hears, without itself. A source stays while it is heard.
func ChooseSources(current map[string]string, heard []Candidate) map[string]string {
	sorted := slices.SortedFunc(slices.Values(heard), func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(a.Address, b.Address))
	})
	chosen := map[string]string{}
	for _, candidate := range sorted {
		stays := current[candidate.Zone] == candidate.Address
		if _, found := chosen[candidate.Zone]; !found || stays {
			chosen[candidate.Zone] = candidate.Address
		}
	}
	if maps.Equal(chosen, current) {
		return current
	}
	return chosen
}
