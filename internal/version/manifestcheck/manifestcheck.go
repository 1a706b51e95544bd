// Package manifestcheck finds errors in a manifest before operators send it, and its
// differences from the one in force. It decides from its arguments alone.
package manifestcheck

import (
	"fmt"
	"strings"
	"time"

	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/manifest"
)

// Severity says how bad a finding is.
type Severity string

const (
	// Error means that an instance refuses the manifest or an entry can't work.
	Error Severity = "error"
	// Warning means that instances accept what is probably not intended.
	Warning Severity = "warning"
)

// Code identifies the kind of a finding. Scripts rely on the values.
type Code string

// Codes of findings for which instances keep the manifest in force.
const (
	BadSyntax Code = "bad_syntax"
	BadType   Code = "bad_type"
	Removed   Code = "removes_configuration"
	NotNewer  Code = "version_not_higher"
	TooLarge  Code = "too_large"
)

// Codes of findings about manifests that instances accept.
const (
	VersionNotPositive Code = "version_not_positive"
	MaybeTooLarge      Code = "perhaps_too_large"
	EmptyName          Code = "empty_name"
	DuplicateName      Code = "duplicate_name"
	NameTooLong        Code = "name_too_long"
	EmptyHost          Code = "empty_host"
	HostWithPort       Code = "host_with_port"
	EmptyPrefix        Code = "empty_prefix"
	PrefixWithoutSlash Code = "prefix_without_slash"
	DuplicatePrefix    Code = "duplicate_prefix"
	PrefixHidden       Code = "prefix_hidden"
	PrefixPartlyHidden Code = "prefix_partly_hidden"
	NoService          Code = "no_service"
	NoServers          Code = "no_backend_servers"
	NoAdviceService    Code = "no_advice_service"
	ObjectiveTooShort  Code = "objective_under_advice"
	StretchUnderOne    Code = "stretch_under_one"
	AttemptsOutOfRange Code = "attempts_out_of_range"
	NegativeNumber     Code = "negative_number"
)

// WholeManifest is the entry of a finding that is about no single entry.
const WholeManifest = -1

// Finding is one thing that is wrong, or probably wrong, in a manifest.
type Finding struct {
	Severity Severity
	Code     Code
	// Entry is the index of the queue, or WholeManifest.
	Entry int
	// Name is the name of the queue.
	Name string
	Text string
}

// Refused reports whether instances keep the manifest in force because of a finding.
func (f Finding) Refused() bool {
	switch f.Code {
	case BadSyntax, BadType, Removed, NotNewer, TooLarge:
		return true
	}
	return false
}

// Deployment is what is known about the deployment for which a manifest is meant. The zero
// value stands for a deployment of which nothing is known.
type Deployment struct {
	// InForce is the manifest in force, or nil.
	InForce *manifest.Manifest
	// Pools describes the registered workers that are known. They are all workers if
	// PoolsComplete is set.
	Pools         []cell.PoolSummary
	PoolsComplete bool
	// LacksAdviceService is set if the deployment is known to have no advice service.
	LacksAdviceService bool
	// RecordBytes is the size of the largest record that the log takes, or 0 if it is not
	// known.
	RecordBytes int
}

// Check returns the findings about a manifest: those about the whole of it first, then by
// entry.
func Check(m *manifest.Manifest, deployment Deployment) []Finding {
	c := checker{manifest: m, deployment: deployment, index: indexEntries(m), workers: map[string]int{}}
	for _, pool := range deployment.Pools {
		c.workers[pool.Pool] += pool.Workers
	}
	c.checkVersion()
	for i := range m.Queues {
		c.checkNames(i)
		c.checkAddress(i)
		c.checkServers(i)
		c.checkLimits(i)
	}
	return c.findings
}

// checker collects the findings about one manifest.
type checker struct {
	manifest   *manifest.Manifest
	deployment Deployment
	index      entryIndex
	// workers is the number of known workers of each pool.
	workers  map[string]int
	findings []Finding
}

// address is where requests for a queue are sent.
type address struct{ host, prefix string }

// entryIndex holds the index of the first queue with each name and each address.
type entryIndex struct {
	byName    map[string]int
	byAddress map[address]int
	// prefixes holds the first queues of each address by host.
	prefixes map[string][]int
}

func indexEntries(m *manifest.Manifest) entryIndex {
	index := entryIndex{byName: map[string]int{}, byAddress: map[address]int{}, prefixes: map[string][]int{}}
	for i, queue := range m.Queues {
		if _, found := index.byName[queue.Name]; !found {
			index.byName[queue.Name] = i
		}
		at := address{queue.Host, queue.Prefix}
		if _, found := index.byAddress[at]; !found {
			index.byAddress[at] = i
			index.prefixes[queue.Host] = append(index.prefixes[queue.Host], i)
		}
	}
	return index
}

func (c *checker) add(severity Severity, code Code, entry int, format string, args ...any) {
	finding := Finding{Severity: severity, Code: code, Entry: entry, Text: fmt.Sprintf(format, args...)}
	if entry != WholeManifest {
		finding.Name = c.manifest.Queues[entry].Name
	}
	c.findings = append(c.findings, finding)
}

// checkVersion checks the version. Instances report version 0 if they have no manifest, so
// that they don't ask each other for one that is not above it.
func (c *checker) checkVersion() {
	if !c.manifest.Supersedes(c.deployment.InForce) {
		c.add(Error, NotNewer, WholeManifest, "version %d is not higher than version %d, which is in force; instances ignore it",
			c.manifest.Version, c.deployment.InForce.Version)
	}
	if c.manifest.Version < 1 {
		c.add(Error, VersionNotPositive, WholeManifest, "the version is %d; instances hand on versions from 1", c.manifest.Version)
	}
}

func (c *checker) checkNames(entry int) {
	queue := c.manifest.Queues[entry]
	if queue.Name == "" {
		c.add(Warning, EmptyName, entry, "the name is missing, so that operators can't address the queue")
	}
	if first := c.index.byName[queue.Name]; first != entry {
		c.add(Error, DuplicateName, entry, "entry %d has the same name; requests by name reach only the last one", first+1)
	}
	if err := (cell.QueueTerms{Queue: queue.Name, Pool: queue.Pool}).Check(); err != nil {
		c.add(Error, NameTooLong, entry, "instances refuse all jobs: %v", err)
	}
}

func (c *checker) checkAddress(entry int) {
	queue := c.manifest.Queues[entry]
	if queue.Host == "" {
		c.add(Error, EmptyHost, entry, "the host is missing; requests name one")
	}
	if host, port, found := strings.Cut(queue.Host, ":"); found && host != "" && !strings.Contains(port, ":") {
		c.add(Warning, HostWithPort, entry, "the host of a request is compared without its port, so that %q does not match", queue.Host)
	}
	switch {
	case queue.Prefix == "":
		c.add(Error, EmptyPrefix, entry, "the prefix is missing; the rest of a path would begin with a slash, which no job's ID does")
	case queue.Prefix[0] != '/':
		c.add(Error, PrefixWithoutSlash, entry, "no path begins with the prefix %q, since it has no leading slash", queue.Prefix)
	}
	if first := c.index.byAddress[address{queue.Host, queue.Prefix}]; first != entry {
		c.add(Error, DuplicatePrefix, entry, "entry %d (%s) has the same host and prefix and gets all requests of callers", first+1, c.manifest.Queues[first].Name)
		return
	}
	c.checkHidden(entry)
}

func (c *checker) checkServers(entry int) {
	queue := c.manifest.Queues[entry]
	if queue.Pool == "" {
		c.add(Error, NoService, entry, "the service is missing; no backend server registers without one")
	} else if c.deployment.PoolsComplete && c.workers[queue.Pool] == 0 {
		c.add(Error, NoServers, entry, "no backend server of the service %q is registered", queue.Pool)
	}
	if queue.Advice != nil && c.deployment.LacksAdviceService {
		c.add(Error, NoAdviceService, entry, "the queue needs advice and the instance has no advice service; it refuses all jobs")
	}
}

func (c *checker) checkLimits(entry int) {
	queue := c.manifest.Queues[entry]
	if queue.Priority < 0 {
		c.add(Warning, NegativeNumber, entry, "the priority is %d; 0 is meant to be the most urgent", queue.Priority)
	}
	switch {
	case queue.Attempts < 0:
		c.add(Error, NegativeNumber, entry, "the attempts are %d", queue.Attempts)
	case queue.Attempts == 0:
		c.add(Warning, AttemptsOutOfRange, entry, "the attempts are 0 or missing; instances count 1")
	case queue.Attempts > cell.MaxAttempts:
		c.add(Warning, AttemptsOutOfRange, entry, "the attempts are %d; instances count at most %d", queue.Attempts, cell.MaxAttempts)
	}
	switch {
	case queue.Stretch < 0:
		c.add(Error, NegativeNumber, entry, "the stretch is %g", queue.Stretch)
	case queue.Stretch < 1:
		c.add(Warning, StretchUnderOne, entry, "the stretch is %g, so that jobs are due before their longest chain can end", queue.Stretch)
	}
	if queue.Objective < 0 {
		c.add(Error, NegativeNumber, entry, "the objective is negative or out of range")
	}
	c.checkAdvice(entry)
}

// checkAdvice compares the objective with the time that advice about one worker takes, which
// passes before the first task starts.
func (c *checker) checkAdvice(entry int) {
	queue := c.manifest.Queues[entry]
	if queue.Advice == nil {
		return
	}
	if queue.Advice.Decision < 0 || queue.Advice.PerWorker < 0 {
		c.add(Error, NegativeNumber, entry, "a time of the advice is negative or out of range")
		return
	}
	least := queue.Advice.Decision + queue.Advice.PerWorker
	if queue.Objective >= 0 && queue.Objective < least {
		c.add(Warning, ObjectiveTooShort, entry, "the objective is %v and advice about one backend server takes %v",
			queue.Objective, least.Round(time.Microsecond))
	}
}
