package main

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/version/rules"
)

// The traffic counters must cover both directions, since the tables add them up.
func TestTrafficCountsBothDirections(t *testing.T) {
	var counted traffic
	client, server := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = client.Write(make([]byte, 300))
		_, _ = io.ReadFull(client, make([]byte, 500))
	}()
	conn := countingConn{server, &counted}
	_, err := io.ReadFull(conn, make([]byte, 300))
	assert.NilError(t, err)
	_, err = conn.Write(make([]byte, 500))
	assert.NilError(t, err)
	<-done
	assert.Equal(t, counted.counters(), counters{Received: 300, Sent: 500})
}

// The figures hold only for the stated inputs: the rules file must have no
// problems, and the membership as many members and departures as stated.
func TestMeasuredInputsAreValid(t *testing.T) {
	for _, services := range serviceCounts {
		set, problems := rules.Parse("rules", rulesText(services))
		assert.Equal(t, len(problems), 0)
		assert.Equal(t, len(set.Teams), teamCount)
		assert.Equal(t, len(set.Services), teamCount*services)
	}
	for _, n := range instanceCounts {
		state := membershipState(n)
		assert.Equal(t, len(state.Members), n)
		assert.Equal(t, len(state.Departed), 512)
	}
}

// The sum over the roles must not leave out a role or a resource.
func TestSumCoversAllRoles(t *testing.T) {
	all := sumRoles([]role{{sent: 1, received: 2, cpu: 3, memory: 4}, {sent: 10, received: 20, cpu: 30, memory: 40}})
	assert.Equal(t, all, role{name: "sum", sent: 11, received: 22, cpu: 33, memory: 44})
}
