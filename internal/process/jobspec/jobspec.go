// Package jobspec defines the specification of a multi-step job as its caller
// submits it, and validates it.
//
// A Job is not modified after Check has accepted it, so goroutines may share
// it.
package jobspec

import (
	"time"

	"poplarvalve/internal/process/fault"
)

// ID is the identifier that the caller chose for a job.
type ID string

const (
	// MaxSpecBytes is the maximum length of Job.Spec in bytes. Each task is
	// started with this text.
	MaxSpecBytes = 4000
	// MaxSteps is the maximum number of steps of a job.
	MaxSteps = 64
	// MaxTasks is the maximum number of tasks of a step.
	MaxTasks = 4096
	// MaxJobTasks is the maximum number of tasks of all steps of a job.
	MaxJobTasks = 65536
	// MaxJobBytes is the maximum size of a job, as Size returns it. A job is stored as
	// one record.
	MaxJobBytes = 128 << 10
	// MaxImageBytes is the maximum length of the name of an image.
	MaxImageBytes = 1024
	// MaxOccurrences is the maximum number of runs of a periodic job.
	MaxOccurrences = 100000
)

// Job is the specification of a job. Its steps run once, or periodically if
// Occurrences is greater than 0.
type Job struct {
	// Spec is passed unchanged to each task when it starts.
	Spec  string `cbor:"1,keyasint"`
	Steps []Step `cbor:"2,keyasint"`
	// FirstRunMillis is the due time of occurrence 0, in milliseconds since the
	// Unix epoch.
	FirstRunMillis int64 `cbor:"3,keyasint,omitempty"`
	// IntervalMillis is the time between the due times of two consecutive
	// occurrences, in milliseconds.
	IntervalMillis int64 `cbor:"4,keyasint,omitempty"`
	// Occurrences is the number of runs of a periodic job. It is 0 for a job
	// that runs once, as soon as it is accepted.
	Occurrences int `cbor:"5,keyasint,omitempty"`
}

// Step is a group of equal tasks. The steps of a job are numbered from 0.
type Step struct {
	// Count is the number of tasks, from 1 to MaxTasks.
	Count int `cbor:"1,keyasint"`
	// CPUMillis is the demand of one task in thousandths of a processor core.
	CPUMillis int `cbor:"2,keyasint,omitempty"`
	// MemoryMB is the memory that one task needs, in megabytes.
	MemoryMB int `cbor:"3,keyasint,omitempty"`
	// GPU is the number of accelerators that one task needs.
	GPU int `cbor:"4,keyasint,omitempty"`
	// EstimateMillis is the caller's estimate of the run time of one task, in
	// milliseconds.
	EstimateMillis int64 `cbor:"5,keyasint,omitempty"`
	// DependsOn lists the indexes of earlier steps. All their tasks must be done
	// before a task of this step starts.
	DependsOn []int `cbor:"6,keyasint,omitempty"`
	// Checkpointing says that a task started again resumes from its last
	// checkpoint.
	Checkpointing bool `cbor:"7,keyasint,omitempty"`
	// Gang says that all tasks of the step start together and end together.
	Gang bool `cbor:"8,keyasint,omitempty"`
	// SameRack says that the tasks of a gang must all run on one rack.
	SameRack bool `cbor:"9,keyasint,omitempty"`
	// Label is a label that the worker must have. If it is empty, any worker
	// may run the tasks.
	Label string `cbor:"10,keyasint,omitempty"`
	// DataRack is the rack on which the tasks run fastest. Empty means no
	// preference.
	DataRack string `cbor:"11,keyasint,omitempty"`
	// MaxPerWorker is the maximum number of tasks of the step on one worker; 0
	// means no limit.
	MaxPerWorker int `cbor:"12,keyasint,omitempty"`
	// Speculative says that a slow task may have speculative runs beside its
	// first run.
	Speculative bool `cbor:"13,keyasint,omitempty"`
	// LongRunning says that the tasks run until the job is canceled.
	LongRunning bool `cbor:"14,keyasint,omitempty"`
	// Image names the program image that the tasks run.
	Image string `cbor:"15,keyasint,omitempty"`
	// LatencyTargetMillis is the latency target of a service task: its tail
	// latency in milliseconds must stay below it. 0 means that the task has no
	// target.
	LatencyTargetMillis float64 `cbor:"16,keyasint,omitempty"`
	// BestEffort marks best-effort tasks. They use processors that other tasks
	// leave idle, so their CPU is not reserved.
	BestEffort bool `cbor:"17,keyasint,omitempty"`
	// MaxUnavailable is the number of tasks of the step that may be unavailable
	// because of the scheduler.
	MaxUnavailable int `cbor:"18,keyasint,omitempty"`
}

// OccurrenceCount returns how many times the steps of the job run, which is at
// least 1.
func (j *Job) OccurrenceCount() int {
	return max(1, j.Occurrences)
}

// DueTime returns the earliest time at which an occurrence may start. It is the
// zero time for a job that runs once, which may start at once.
func (j *Job) DueTime(occurrence int) time.Time {
	if j.Occurrences == 0 {
		return time.Time{}
	}
	return time.UnixMilli(j.FirstRunMillis + int64(occurrence)*j.IntervalMillis)
}

const (
	// jobFieldBytes and stepFieldBytes are the most that the fields of a job and of a
	// step take in a record beside their texts, and dependencyBytes what one
	// dependency takes.
	jobFieldBytes   = 64
	stepFieldBytes  = 200
	dependencyBytes = 2
)

// Size returns the most bytes that the job takes in a record.
func (j *Job) Size() int {
	size := jobFieldBytes + len(j.Spec)
	for i := range j.Steps {
		s := &j.Steps[i]
		size += stepFieldBytes + len(s.Image) + len(s.Label) + len(s.DataRack) + dependencyBytes*len(s.DependsOn)
	}
	return size
}

const (
	// jobMemoryBytes, stepMemoryBytes and dependencyMemoryBytes are what a job, a step and a
	// dependency take in memory beside their texts.
	jobMemoryBytes        = 128
	stepMemoryBytes       = 192
	dependencyMemoryBytes = 8
)

// MemoryBytes returns the bytes that the job takes in memory.
func (j *Job) MemoryBytes() int {
	size := jobMemoryBytes + len(j.Spec)
	for i := range j.Steps {
		s := &j.Steps[i]
		size += stepMemoryBytes + len(s.Image) + len(s.Label) + len(s.DataRack) + dependencyMemoryBytes*len(s.DependsOn)
	}
	return size
}

// Tasks returns the number of tasks of one occurrence.
func (j *Job) Tasks() int {
	count := 0
	for i := range j.Steps {
		count += j.Steps[i].Count
	}
	return count
}

// Check returns a failure of kind BadRequest that names the first field out of
// range, a failure of kind TooLarge that names the limit which the job exceeds, or nil if
// the job is valid.
func (j *Job) Check() error {
	if len(j.Spec) > MaxSpecBytes {
		return fault.New(fault.BadRequest, "the spec has %d bytes; the limit is %d bytes", len(j.Spec), MaxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fault.New(fault.BadRequest, "the number of steps is out of range: a job must have 1 to %d steps", MaxSteps)
	}
	if j.Occurrences < 0 || j.Occurrences > MaxOccurrences || j.IntervalMillis < 0 {
		return fault.New(fault.BadRequest, "the number of occurrences is negative or above its limit, or the interval is negative")
	}
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
	}
	if tasks := j.Tasks(); tasks > MaxJobTasks {
		return fault.New(fault.TooLarge, "the job has %d tasks; the limit is %d tasks in all steps", tasks, MaxJobTasks)
	}
	if size := j.Size(); size > MaxJobBytes {
		return fault.New(fault.TooLarge, "the job takes up to %d bytes; the limit is %d bytes", size, MaxJobBytes)
	}
	return nil
}

func (s *Step) check(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fault.New(fault.BadRequest, "step %d: the number of tasks is out of range: a step must have 1 to %d tasks", index, MaxTasks)
	}
	if s.CPUMillis < 0 || s.MemoryMB < 0 || s.GPU < 0 || s.EstimateMillis < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return fault.New(fault.BadRequest, "step %d: a resource demand, the estimate, the limit of tasks per worker or the number of tasks that may be unavailable is negative", index)
	}
	if len(s.Image) > MaxImageBytes {
		return fault.New(fault.TooLarge, "step %d: the name of the image has %d bytes; the limit is %d bytes", index, len(s.Image), MaxImageBytes)
	}
	for _, dependency := range s.DependsOn {
		if dependency < 0 || dependency >= index {
			return fault.New(fault.BadRequest, "step %d: the step depends on step %d, but it may depend only on steps before it", index, dependency)
		}
	}
	return nil
}

// idBytes is the length of an ID in bytes, one for each hexadecimal digit.
const idBytes = 16

// Valid reports whether the ID consists of 16 hexadecimal digits.
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
