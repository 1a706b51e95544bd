// Package rules parses, checks and prints the rules that operators state for
// teams, services, callers and backend servers.
//
// A Set is one checked version of the rules and is immutable. Each service of a
// set refers to a team of the same set, so users of a set need no further checks.
package rules

import (
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
)

// EvictPolicy says when tasks of a service may be evicted to free resources for
// other tasks.
type EvictPolicy uint8

const (
	// EvictNormal means that victims are chosen by the cost of evicting them alone.
	EvictNormal EvictPolicy = iota
	// EvictLast means that a task is evicted only if there is no other victim.
	EvictLast
	// EvictNever means that tasks are never evicted for other work.
	EvictNever
)

// String returns the policy as it is written in the rules file.
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

// Team is a group of services that share a weight, a reserve and a quota.
type Team struct {
	Name   ident.TeamName
	Weight int64
	// Reserve is the minimum that the team is guaranteed, summed over all workers.
	Reserve resource.Vector
	// Quota is the maximum that the tasks of the team may use together. Zero for a
	// resource means no limit.
	Quota resource.Vector
}

// Service is a kind of work that callers can request.
type Service struct {
	Name  ident.ServiceName
	Team  ident.TeamName
	Class work.Class
	// Demand is the resources that one task needs.
	Demand resource.Vector
	// Idempotent means that a request may run more than once without harm, so it
	// can be retried or sent to a second worker.
	Idempotent  bool
	EvictPolicy EvictPolicy
	// Deadline is the deadline of requests that state none. Zero means the default
	// of the instance.
	Deadline time.Duration
}

// CallerLimit is the rate limit of one caller.
type CallerLimit struct {
	Caller ident.CallerName
	// RequestsPerSecond is the sum over all instances.
	RequestsPerSecond float64
	// BurstRequests is the maximum number of requests in a burst.
	BurstRequests int64
}

// Set is one checked version of the rules. It is not changed after Parse returns
// it.
type Set struct {
	Teams    map[ident.TeamName]Team
	Services map[ident.ServiceName]Service
	Limits   map[ident.CallerName]CallerLimit
	// DrainedWorkers holds the backend servers that get no new work.
	DrainedWorkers map[ident.WorkerID]bool
	// Comments has an entry for every rule of the set.
	Comments map[RuleKey]Comment
}

// RuleKey identifies a rule of a set. A name is unique among the rules of one
// kind.
type RuleKey struct {
	Kind Kind
	Name string
}

// Kind is the kind of a rule, which is its first word in the rules file.
type Kind string

const (
	// KindTeam is the kind of rules that define a Team.
	KindTeam Kind = "team"
	// KindService is the kind of rules that define a Service.
	KindService Kind = "service"
	// KindCallerLimit is the kind of rules that define a CallerLimit.
	KindCallerLimit Kind = "limit"
	// KindDrain is the kind of rules that drain a backend server.
	KindDrain Kind = "drain"
)

// Comment says who made a rule and why.
type Comment struct {
	Author string
	Reason string
}
