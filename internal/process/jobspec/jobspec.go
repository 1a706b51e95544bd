// Package jobspec holds the description of a job of steps as its caller
// submitted it.
//
// A Job is never modified after Check accepted it, so it may be shared between
// threads.
package jobspec

import (
	"time"

	"poplarvalve/internal/process/fault"
)

// ID is the identity that the caller chose for a job.
type ID string

const (
	// MaxSpecBytes bounds the text that a task is started with.
	MaxSpecBytes = 4000
	// MaxSteps bounds the steps of one job.
	MaxSteps = 64
	// MaxTasks bounds the tasks of one step.
	MaxTasks = 4096
	// MaxOccurrences bounds how often a job is repeated.
	MaxOccurrences = 100000
)

// Job is what a caller asks for.
type Job struct {
	// Spec is handed to each task unchanged.
	Spec  string `cbor:"1,keyasint"`
	Steps []Step `cbor:"2,keyasint"`
	// FirstRunMillis is the due time of occurrence 0, in Unix milliseconds.
	FirstRunMillis int64 `cbor:"3,keyasint,omitempty"`
	// IntervalMillis lies between the due times of two occurrences.
	IntervalMillis int64 `cbor:"4,keyasint,omitempty"`
	// Occurrences is 0 for a job that runs once and at once.
	Occurrences int `cbor:"5,keyasint,omitempty"`
}

// Step is a number of like tasks.
type Step struct {
	Count int `cbor:"1,keyasint"`
	// CPU is in thousandths of a core.
	CPU            int   `cbor:"2,keyasint,omitempty"`
	MemoryMB       int   `cbor:"3,keyasint,omitempty"`
	GPU            int   `cbor:"4,keyasint,omitempty"`
	EstimateMillis int64 `cbor:"5,keyasint,omitempty"`
	// After lists the steps whose tasks must all be done before.
	After []int `cbor:"6,keyasint,omitempty"`
	// Checkpointing tasks resume from their last checkpoint.
	Checkpointing bool `cbor:"7,keyasint,omitempty"`
	// Gang tasks start together and end together.
	Gang     bool `cbor:"8,keyasint,omitempty"`
	SameRack bool `cbor:"9,keyasint,omitempty"`
	// Label is one that the worker must have; empty means any worker.
	Label string `cbor:"10,keyasint,omitempty"`
	// DataRack is the rack on which the tasks run fastest.
	DataRack string `cbor:"11,keyasint,omitempty"`
	// Spread is the most tasks of the step on one worker; 0 means no limit.
	Spread int `cbor:"12,keyasint,omitempty"`
	// Speculative tasks may run as several copies at once.
	Speculative bool `cbor:"13,keyasint,omitempty"`
	// LongRunning tasks run until the job is canceled.
	LongRunning bool   `cbor:"14,keyasint,omitempty"`
	Image       string `cbor:"15,keyasint,omitempty"`
	// TargetMillis is the response time that the tail of a serving task must
	// stay below; 0 means none.
	TargetMillis float64 `cbor:"16,keyasint,omitempty"`
	// Fills tasks use the processors that others leave idle, so their CPU is
	// not reserved.
	Fills bool `cbor:"17,keyasint,omitempty"`
	// MayMiss is how many tasks may be unavailable because of the scheduler.
	MayMiss int `cbor:"18,keyasint,omitempty"`
}

// Runs returns how often the steps run.
func (j *Job) Runs() int {
	return max(1, j.Occurrences)
}

// Due returns when an occurrence may start. The zero time means at once.
func (j *Job) Due(occurrence int) time.Time {
	if j.Occurrences == 0 {
		return time.Time{}
	}
	return time.UnixMilli(j.FirstRunMillis + int64(occurrence)*j.IntervalMillis)
}

// Check returns a failure of kind BadRequest if the job can't be meant.
func (j *Job) Check() error {
	if len(j.Spec) > MaxSpecBytes {
		return fault.New(fault.BadRequest, "the spec has %d bytes, more than %d", len(j.Spec), MaxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fault.New(fault.BadRequest, "a job has 1 to %d steps", MaxSteps)
	}
	if j.Occurrences < 0 || j.Occurrences > MaxOccurrences || j.IntervalMillis < 0 {
		return fault.New(fault.BadRequest, "the repetition is out of range")
	}
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Step) check(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fault.New(fault.BadRequest, "step %d: a step has 1 to %d tasks", index, MaxTasks)
	}
	if s.CPU < 0 || s.MemoryMB < 0 || s.GPU < 0 || s.EstimateMillis < 0 || s.Spread < 0 || s.MayMiss < 0 {
		return fault.New(fault.BadRequest, "step %d: a size is negative", index)
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return fault.New(fault.BadRequest, "step %d: it can only come after an earlier step, not %d", index, earlier)
		}
	}
	return nil
}

// idBytes is the length of an ID.
const idBytes = 16

// Valid says whether the ID is made of 16 hexadecimal digits.
func (id ID) Valid() bool {
	if len(id) != idBytes {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}
