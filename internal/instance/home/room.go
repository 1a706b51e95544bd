package home

import (
	"time"

	"poplarvalve/internal/process/fault"
)

const (
	// ownShare is the part of the memory of the process that the jobs and keys of its shards may
	// take, and commonShare the part that those of all instances together may take, so that any of
	// them can become the home of all shards.
	ownShare    = 0.15
	commonShare = 0.5
	// shardMultiple lets the shard of one team take this many times what is free, so that some room
	// stays free for the other shards.
	shardMultiple = 9
	// roomWait is when a caller should return for whose job there is no room, with up to
	// roomWaitSpread more, so that callers don't return together.
	roomWait       = 5 * time.Second
	roomWaitSpread = 5 * time.Second
	// unlimitedRoom stands for the limit of a process whose memory is not limited.
	unlimitedRoom = 1 << 56
)

// reserveRoom counts the memory of a new job or key of the shard until release is called, or refuses
// it. By then the table of the shard counts it.
func (s *shard) reserveRoom(bytes int64) (release func(), err error) {
	h := s.home
	appending := h.appending.Add(bytes)
	release = func() { h.appending.Add(-bytes) }
	limit := h.roomLimit()
	free := limit - h.heldBytes() - appending
	if free < 0 || s.currentTable().Bytes+bytes > shardMultiple*free {
		release()
		spread := time.Duration(h.config.Jitter() * float64(roomWaitSpread))
		// An earlier attempt may be on its way to the log.
		return nil, unknownOutcome(fault.Overloaded, "the jobs and keys take the %d bytes that the instance has for them", limit).WithRetryAfter(roomWait + spread)
	}
	return release, nil
}

// roomLimit returns the memory that the jobs and keys of all shards of this instance may take.
func (h *Home) roomLimit() int64 {
	memory := float64(h.config.MemoryBytes)
	if memory == 0 {
		return unlimitedRoom
	}
	members := 1
	if table := h.config.Ownership.Load(); table != nil {
		members = max(1, table.MemberCount())
	}
	return int64(min(ownShare, commonShare/float64(members)) * memory)
}

// heldBytes returns the memory that the jobs and keys of all shards of this instance take.
func (h *Home) heldBytes() (bytes int64) {
	for _, s := range *h.shards.Load() {
		bytes += s.currentTable().Bytes
	}
	return bytes
}
