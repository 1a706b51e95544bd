// Package manifest holds one version of the operators' configuration: which
// queues exist, which host and path requests use to reach them, and how their jobs
// are run. A Manifest is immutable.
package manifest

import (
	"sort"
	"strings"
	"time"
)

// Manifest is one version of the configuration. Of two manifests the one with the
// higher Version is newer.
type Manifest struct {
	Version int64
	Queues  []Queue

	byHost map[string][]*Queue
	byName map[string]*Queue
}

// Queue is the configuration of one queue of jobs.
type Queue struct {
	Name string
	// Host and Prefix are the HTTP host and the path prefix of the requests that
	// are for the queue.
	Host   string
	Prefix string
	// Pool is the name of the pool of workers that run the tasks.
	Pool string
	// Priority orders the queues; 0 is the most urgent.
	Priority int
	// Attempts is the number of times that a task may fail before its job fails.
	Attempts int
	// Stretch and Objective define the time in which a job should end: Stretch
	// times the duration of its longest chain of dependent tasks, plus
	// Objective.
	Stretch   float64
	Objective time.Duration
	// Advice is set for a queue whose policy allows only some workers to run its
	// tasks. The advice service answers which ones; nil allows all workers.
	Advice *AdviceLatency
}

// AdviceLatency describes how long the advice service takes to answer for a queue.
type AdviceLatency struct {
	// Decision is the fixed time that each call takes.
	Decision time.Duration
	// PerWorker is the additional time for each worker that the call names.
	PerWorker time.Duration
}

// New returns a manifest with the given version and queues. The caller must not
// use the slice afterwards.
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
	for _, hostQueues := range m.byHost {
		sort.SliceStable(hostQueues, func(i, j int) bool { return len(hostQueues[i].Prefix) > len(hostQueues[j].Prefix) })
	}
	return m
}

// Match returns the queue with the longest prefix that matches the host and path
// of a request, and the rest of the path after that prefix. The queue is nil if
// none matches.
func (m *Manifest) Match(host, path string) (queue *Queue, rest string) {
	for _, candidate := range m.byHost[host] {
		if strings.HasPrefix(path, candidate.Prefix) {
			return candidate, path[len(candidate.Prefix):]
		}
	}
	return nil, ""
}

// Queue returns the queue with the given name, or nil if there is none.
func (m *Manifest) Queue(name string) *Queue { return m.byName[name] }

// Supersedes reports whether m takes the place of the manifest in force, which is nil if
// there is none. The version in force never goes back.
func (m *Manifest) Supersedes(inForce *Manifest) bool {
	return inForce == nil || m.Version > inForce.Version
}
