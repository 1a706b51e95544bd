package celllink

// clockDrift is the greatest part of the elapsed time by which the steady clocks of two
// instances are taken to move apart.
const clockDrift = 0.001

// transit measures how much longer heartbeats take than the fastest one on their link. A
// heartbeat that has waited in a queue, or at a receiver that was suspended, says nothing about
// the time at which it is received. It is used by the goroutine that receives.
type transit struct {
	known bool
	// fastest is the smallest difference between the times at which a heartbeat was
	// received and sent, each counted by its own end, as of the time at.
	fastest float64
	at      int64
}

// delayMillis returns by how much longer than the fastest heartbeat one has taken that was
// sent and received at these times, in milliseconds of the clocks of both ends.
func (t *transit) delayMillis(received, sent int64) int64 {
	difference := float64(received - sent)
	if !t.known {
		t.known, t.fastest, t.at = true, difference, received
	}
	t.fastest += clockDrift * float64(received-t.at)
	t.at = received
	t.fastest = min(t.fastest, difference)
	return int64(difference - t.fastest)
}
