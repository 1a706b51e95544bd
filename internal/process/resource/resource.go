// Package resource defines amounts of what a worker offers and a task needs.
package resource

import "fmt"

// Vector is an amount of each resource. The zero value is nothing of each.
type Vector struct {
	// CPU is in thousandths of a processor core.
	CPU int64 `cbor:"1,keyasint,omitempty" json:"cpu_millis,omitempty"`
	// Memory is in mebibytes.
	Memory int64 `cbor:"2,keyasint,omitempty" json:"memory_mib,omitempty"`
	// Accelerators is in whole devices.
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators,omitempty"`
	// Slots is in tasks that run at the same time.
	Slots int64 `cbor:"4,keyasint,omitempty" json:"slots,omitempty"`
	// Connections is in open connections.
	Connections int64 `cbor:"5,keyasint,omitempty" json:"connections,omitempty"`
}

// Add returns v + o.
func (v Vector) Add(o Vector) Vector {
	return Vector{
		CPU:          v.CPU + o.CPU,
		Memory:       v.Memory + o.Memory,
		Accelerators: v.Accelerators + o.Accelerators,
		Slots:        v.Slots + o.Slots,
		Connections:  v.Connections + o.Connections,
	}
}

// Sub returns v - o. An entry may become negative.
func (v Vector) Sub(o Vector) Vector {
	return Vector{
		CPU:          v.CPU - o.CPU,
		Memory:       v.Memory - o.Memory,
		Accelerators: v.Accelerators - o.Accelerators,
		Slots:        v.Slots - o.Slots,
		Connections:  v.Connections - o.Connections,
	}
}

// Fits reports whether v is at most limit in every entry.
func (v Vector) Fits(limit Vector) bool {
	return v.CPU <= limit.CPU &&
		v.Memory <= limit.Memory &&
		v.Accelerators <= limit.Accelerators &&
		v.Slots <= limit.Slots &&
		v.Connections <= limit.Connections
}

// IsZero reports whether every entry is zero.
func (v Vector) IsZero() bool {
	return v == Vector{}
}

// DominantShare returns the largest share of total that v takes in any entry.
// An entry of which total has nothing is left out.
func (v Vector) DominantShare(total Vector) float64 {
	share := 0.0
	share = max(share, ratio(v.CPU, total.CPU))
	share = max(share, ratio(v.Memory, total.Memory))
	share = max(share, ratio(v.Accelerators, total.Accelerators))
	share = max(share, ratio(v.Slots, total.Slots))
	return max(share, ratio(v.Connections, total.Connections))
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// String returns the amounts in the units of the rules file.
func (v Vector) String() string {
	return fmt.Sprintf("%dm cpu, %d MiB, %d accelerators, %d slots, %d connections",
		v.CPU, v.Memory, v.Accelerators, v.Slots, v.Connections)
}
