// Package rules holds the checked set of rules that is in force as one version.
//
// A Set is immutable. Every name that a rule mentions is defined in the same
// set, so readers need no further checks.
package rules

import (
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
)

// EvictPolicy says how willingly a task is evicted.
type EvictPolicy uint8

const (
	// EvictNormal tasks are evicted by cost alone.
	EvictNormal EvictPolicy = iota
	// EvictLast tasks are evicted only when no other victim is left.
	EvictLast
	// EvictNever tasks are not evicted for other work.
	EvictNever
)

// String returns the policy as the rules file writes it.
func (p EvictPolicy) String() string {
	switch p {
	case EvictLast:
		return "last"
	case EvictNever:
		return "never"
	default:
		return "normal"
	}
}

// Team is a group of services that shares a weight, a reserve and a quota.
type Team struct {
	Name   ident.TeamName
	Weight int64
	// Reserve is the guaranteed minimum over all workers.
	Reserve resource.Vector
	// Quota is the most that the team may hold; a zero entry has no limit.
	Quota resource.Vector
}

// Service is a kind of work with its declared size for one task.
type Service struct {
	Name       ident.ServiceName
	Team       ident.TeamName
	Class      work.Class
	Demand     resource.Vector
	Idempotent bool
	Evict      EvictPolicy
	// Deadline applies to requests that state none; zero means the default of
	// the instance.
	Deadline time.Duration
}

// Limit bounds the requests of one caller.
type Limit struct {
	Caller ident.CallerName
	// Rate is in requests a second, over all instances together.
	Rate float64
	// Burst is in requests.
	Burst int64
}

// Set is one version of the rules.
type Set struct {
	Teams    map[ident.TeamName]Team
	Services map[ident.ServiceName]Service
	Limits   map[ident.CallerName]Limit
	// Drained backend servers get no new work.
	Drained map[ident.WorkerID]bool
	// Comments holds who made each rule and why.
	Comments map[Key]Comment
}

// Key names one rule of a set.
type Key struct {
	Kind Kind
	Name string
}

// Kind is the first word of a rule.
type Kind string

const (
	KindTeam    Kind = "team"
	KindService Kind = "service"
	KindLimit   Kind = "limit"
	KindDrain   Kind = "drain"
)

// Comment says who made a rule and why.
type Comment struct {
	Who    string
	Reason string
}
