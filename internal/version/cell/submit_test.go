package cell

import (
	"time"

	"poplarvalve/internal/process/jobspec"
)

// SubmitInDoubt submits a job that an earlier leader may have stored.
func (c *Cell) SubmitInDoubt(now time.Time, request uint64, id jobspec.ID, spec *jobspec.Job, terms QueueTerms) SubmitResult {
	return c.SubmitJob(now, request, Submission{ID: id, Job: spec, Terms: terms, InDoubt: true})
}
