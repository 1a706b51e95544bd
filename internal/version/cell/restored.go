package cell

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// RestoredState counts what a cell has restored of earlier terms.
type RestoredState struct {
	EndedJobs, IdleWorkers, BoundWorkers int
	// DoneTasks and FailedRuns count the ends that are restored of the open occurrences
	// of jobs.
	DoneTasks, FailedRuns int
	// DoneByTerm counts the tasks that are done by the term of their last run. 0 stands
	// for the term that accepted the job.
	DoneByTerm map[int64]int
}

// Restored counts what Restore and RestoreLeaseBounds have restored. It must be called before
// any other event.
func (c *Cell) Restored() RestoredState {
	restored := RestoredState{DoneByTerm: map[int64]int{}, BoundWorkers: c.bounds.restored}
	for _, w := range c.workers {
		if w.info.Idle {
			restored.IdleWorkers++
		}
	}
	for _, j := range c.jobs {
		if j.state.IsFinal() {
			restored.EndedJobs++
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				restored.addTasks(s.tasks)
			}
		}
	}
	return restored
}

func (r *RestoredState) addTasks(tasks []*task) {
	for _, t := range tasks {
		r.FailedRuns += len(t.failedRuns)
		if t.done {
			r.DoneTasks++
			r.DoneByTerm[t.lastRun/runsPerTerm]++
		}
	}
}

// maxListedTerms limits the terms that DescribeTerms lists.
const maxListedTerms = 8

// DescribeTerms lists the terms of DoneByTerm with their numbers of tasks, the latest
// first. It sums up the terms beyond maxListedTerms.
func (r RestoredState) DescribeTerms() string {
	terms := slices.SortedFunc(maps.Keys(r.DoneByTerm), func(a, b int64) int { return cmp.Compare(b, a) })
	var listed []string
	others := 0
	for i, term := range terms {
		if i < maxListedTerms {
			listed = append(listed, fmt.Sprintf("%d: %d", term, r.DoneByTerm[term]))
		} else {
			others += r.DoneByTerm[term]
		}
	}
	if others > 0 {
		listed = append(listed, fmt.Sprintf("earlier: %d", others))
	}
	return strings.Join(listed, ", ")
}
