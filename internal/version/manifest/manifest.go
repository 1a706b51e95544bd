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
	Pools   []Pool
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64

	byHost map[string][]*Queue
	byName map[string]*Queue
	pools  map[string]*Pool
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
	// Timeout bounds one request.
	Timeout time.Duration
	// Advice is set for queues whose policy allows only some workers.
	Advice bool
}

// Pool is a set of like workers.
type Pool struct {
	Name string
	// Guarded workers refuse work beyond their capacity themselves.
	Guarded bool
	// Spare workers are off.
	Spare bool
}

// New returns an indexed manifest. It takes ownership of the slices.
func New(version int64, queues []Queue, pools []Pool, maxBody int64) *Manifest {
	m := &Manifest{
		Version:      version,
		Queues:       queues,
		Pools:        pools,
		MaxBodyBytes: maxBody,
		byHost:       map[string][]*Queue{},
		byName:       map[string]*Queue{},
		pools:        map[string]*Pool{},
	}
	for i := range queues {
		queue := &queues[i]
		m.byHost[queue.Host] = append(m.byHost[queue.Host], queue)
		m.byName[queue.Name] = queue
	}
	for _, list := range m.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range pools {
		m.pools[pools[i].Name] = &pools[i]
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

// Pool returns the pool of that name, or nil.
func (m *Manifest) Pool(name string) *Pool { return m.pools[name] }
