package entry

import (
	"net"
	"sync"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/version/election"
)

const (
	// maxVoterAddressBytes bounds the address of a voter, which is stored with the term.
	maxVoterAddressBytes = 64
	// heardRetention is how long an instance that is no longer heard is remembered.
	heardRetention = time.Minute
)

// voterDirectory holds what other instances have last confirmed on the links. Its methods
// may be called concurrently.
type voterDirectory struct {
	mu sync.Mutex
	// senders holds the instance of each linked process, by nonce.
	senders map[uint64]election.Voter
	// heard is keyed by address.
	heard map[string]heardInstance
}

// heardInstance is an instance, when it was last heard, and the term of each cell that it
// has confirmed last.
type heardInstance struct {
	election.HeardInstance
	terms map[int]confirmedTerm
}

// confirmedTerm is a term that an instance knew as the newest one after the time since.
type confirmedTerm struct {
	epoch int64
	since time.Time
}

func newVoterDirectory() *voterDirectory {
	return &voterDirectory{senders: map[uint64]election.Voter{}, heard: map[string]heardInstance{}}
}

// record applies a heartbeat that was true after echoed.
func (d *voterDirectory) record(now time.Time, heartbeat cellcodec.LinkHeartbeat, echoed time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if heartbeat.Sender != nil && isVoterAddress(heartbeat.Sender.Address) {
		d.senders[heartbeat.Nonce] = *heartbeat.Sender
	}
	sender, known := d.senders[heartbeat.Nonce]
	if !known {
		return
	}
	instance, found := d.heard[sender.Address]
	if !found {
		instance.terms = map[int]confirmedTerm{}
	}
	instance.HeardInstance = election.HeardInstance{Voter: sender, At: now}
	d.heard[sender.Address] = instance
	if echoed.IsZero() {
		return
	}
	for _, term := range heartbeat.KnownTerms {
		last := instance.terms[term.Cell]
		if term.Epoch > last.epoch || term.Epoch == last.epoch && echoed.After(last.since) {
			instance.terms[term.Cell] = confirmedTerm{term.Epoch, echoed}
		}
	}
}

// addressOf returns the address of the instance of a linked process, or "" if that has not
// been heard.
func (d *voterDirectory) addressOf(nonce uint64) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.senders[nonce].Address
}

// senderOf returns the instance of a linked process, if that has been heard.
func (d *voterDirectory) senderOf(nonce uint64) (sender election.Voter, heard bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sender, heard = d.senders[nonce]
	return sender, heard
}

// isVoterAddress reports whether a voter can be dialled at the address.
func isVoterAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && host != "" && port != "" && len(address) <= maxVoterAddressBytes
}

// confirmations returns, by address, when the instances that know the term as the newest
// one have last confirmed it.
func (d *voterDirectory) confirmations(cell int, epoch int64) map[string]time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	confirmed := map[string]time.Time{}
	for address, instance := range d.heard {
		if term := instance.terms[cell]; term.epoch == epoch {
			confirmed[address] = term.since
		}
	}
	return confirmed
}

// heardInstances returns the instances that were heard. It forgets those that were not for
// heardRetention.
func (d *voterDirectory) heardInstances(now time.Time) []election.HeardInstance {
	d.mu.Lock()
	defer d.mu.Unlock()
	var instances []election.HeardInstance
	for address, instance := range d.heard {
		if now.Sub(instance.At) > heardRetention {
			delete(d.heard, address)
			continue
		}
		instances = append(instances, instance.HeardInstance)
	}
	for nonce, sender := range d.senders {
		if _, found := d.heard[sender.Address]; !found {
			delete(d.senders, nonce)
		}
	}
	return instances
}
