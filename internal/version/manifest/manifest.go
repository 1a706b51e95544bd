// Package manifest holds one version of the operators' configuration: which
// queues exist, how they are reached and how their jobs are treated.
//
// A Manifest is immutable.
package manifest

import (
	"sort"
	"strings"
	"time"
)

// Manifest is one version.
type Manifest struct {
	Version int64
	Queues  []Queue

	byHost map[string][]*Queue
	byName map[string]*Queue
}

// Queue takes the jobs of one kind.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Pool names the workers that run the tasks.
	Pool string
	// Priority 0 comes first.
	Priority int
	// Attempts is how often a task may fail before its job has failed.
	Attempts int
	// Stretch and Objective bound the time of a job that is in time: Stretch
	// times its longest chain of work, and Objective more.
	Stretch   float64
	Objective time.Duration
	// Advice is set for queues whose policy allows only some workers, which the
	// advice service knows.
	Advice *Advice
}

// Advice says how the advice service answers for a queue.
type Advice struct {
	// Decision is the time that each call takes, PerWorker the time for each
	// worker that it names.
	Decision  time.Duration
	PerWorker time.Duration
}

// New returns an indexed manifest. It takes ownership of the slice.
func New(version int64, queues []Queue) *Manifest {
	m := &Manifest{
		Version: version,
		Queues:  queues,
		byHost:  map[string][]*Queue{},
		byName:  map[string]*Queue{},
	}
	for i := range queues {
		queue := &queues[i]
		m.byHost[queue.Host] = append(m.byHost[queue.Host], queue)
		m.byName[queue.Name] = queue
	}
	for _, list := range m.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return m
}

// Match returns the queue of a request and what follows its prefix, or nil if
// there is none.
func (m *Manifest) Match(host, path string) (queue *Queue, rest string) {
	for _, candidate := range m.byHost[host] {
		if strings.HasPrefix(path, candidate.Prefix) {
			return candidate, path[len(candidate.Prefix):]
		}
	}
	return nil, ""
}

// Queue returns the queue of that name, or nil.
func (m *Manifest) Queue(name string) *Queue { return m.byName[name] }
