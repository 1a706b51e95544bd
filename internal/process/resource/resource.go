// Package resource defines amounts of resources, such as the capacity of a
// worker or the demand of a task.
package resource

import "fmt"

// Vector holds one amount for each resource. All amounts of the zero value are
// zero.
type Vector struct {
	// CPU is processor time in thousandths of a core.
	CPU int64 `cbor:"1,keyasint,omitempty" json:"cpu_millis,omitempty"`
	// Memory is memory in mebibytes.
	Memory int64 `cbor:"2,keyasint,omitempty" json:"memory_mib,omitempty"`
	// Accelerators is the number of whole accelerator devices.
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators,omitempty"`
	// Slots is the number of tasks that run at the same time.
	Slots int64 `cbor:"4,keyasint,omitempty" json:"slots,omitempty"`
	// Connections is the number of open connections.
	Connections int64 `cbor:"5,keyasint,omitempty" json:"connections,omitempty"`
}

// Add returns the sum of v and other, resource by resource.
func (v Vector) Add(other Vector) Vector {
	return Vector{
		CPU:          v.CPU + other.CPU,
		Memory:       v.Memory + other.Memory,
		Accelerators: v.Accelerators + other.Accelerators,
		Slots:        v.Slots + other.Slots,
		Connections:  v.Connections + other.Connections,
	}
}

// Sub returns v minus other, resource by resource. The amounts may be negative.
func (v Vector) Sub(other Vector) Vector {
	return Vector{
		CPU:          v.CPU - other.CPU,
		Memory:       v.Memory - other.Memory,
		Accelerators: v.Accelerators - other.Accelerators,
		Slots:        v.Slots - other.Slots,
		Connections:  v.Connections - other.Connections,
	}
}

// Fits reports whether no amount of v exceeds that of limit.
func (v Vector) Fits(limit Vector) bool {
	return v.CPU <= limit.CPU &&
		v.Memory <= limit.Memory &&
		v.Accelerators <= limit.Accelerators &&
		v.Slots <= limit.Slots &&
		v.Connections <= limit.Connections
}

// IsZero reports whether all amounts are zero.
func (v Vector) IsZero() bool {
	return v == Vector{}
}

// DominantShare returns the largest share of total that v has of any resource.
// It ignores resources of which total has nothing.
func (v Vector) DominantShare(total Vector) float64 {
	share := 0.0
	share = max(share, shareOf(v.CPU, total.CPU))
	share = max(share, shareOf(v.Memory, total.Memory))
	share = max(share, shareOf(v.Accelerators, total.Accelerators))
	share = max(share, shareOf(v.Slots, total.Slots))
	return max(share, shareOf(v.Connections, total.Connections))
}

func shareOf(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// String returns the amounts in the units that the rules file uses.
func (v Vector) String() string {
	return fmt.Sprintf("%dm cpu, %d MiB, %d accelerators, %d slots, %d connections",
		v.CPU, v.Memory, v.Accelerators, v.Slots, v.Connections)
}
