// Package settings reads and checks the settings file of a daemon.
//
// A Settings value that Load or Parse returns is complete and valid. The
// durations of leases and heartbeats are not settings: instances rely on each
// other's values, so two instances with different ones could run a task twice.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
)

// Settings holds the settings of a daemon, by section of the file.
type Settings struct {
	Instance Instance
	Platform Platform
	Limits   Limits
	Region   Region
	Log      Log
	Security Security
}

// Instance holds the name, the location and the listen addresses of the
// instance.
type Instance struct {
	Name            ident.InstanceName
	Zone            ident.ZoneName
	Region          ident.RegionName
	CallerAddress   netip.AddrPort
	PeerAddress     netip.AddrPort
	OperatorAddress netip.AddrPort
}

// Platform holds the addresses and parameters of the platform's services.
type Platform struct {
	Log       netip.AddrPort
	Instances netip.AddrPort
	// Shards is the number of streams that hold the records of jobs. It must be
	// the same on all instances and must not change while any job is known.
	Shards int
	// Retention is how long the log keeps a record. Snapshots are appended at
	// intervals of at most half of it.
	Retention time.Duration
}

// Limits holds the limits on the load that the instance accepts.
type Limits struct {
	// MaxBodyBytes is the maximum size of the body of a request, in bytes.
	MaxBodyBytes int64
	// MaxQueued is the maximum number of requests that wait for a start.
	MaxQueued int
	// MaxConnections is the maximum number of open connections of callers and operators.
	MaxConnections int
	// MemoryBytes is the memory that the process may use, in bytes.
	MemoryBytes int64
	// MaxDescriptors is the number of descriptors that the process may open, or 0 for the
	// limit of the process itself.
	MaxDescriptors int
	// AppendsPerSecond is the maximum number of appends to the log per second,
	// for all instances together.
	AppendsPerSecond int
	// DrainTimeout is the maximum time that a stopping instance waits for
	// requests in flight.
	DrainTimeout time.Duration
}

// RegionCutPolicy is what the instances of a region do while the region is cut
// off from the log.
type RegionCutPolicy string

const (
	// RefuseWhenCut refuses work unless the peers of all regions give a lease
	// grant, that is, their word not to act without the instance for the duration
	// of a lease.
	RefuseWhenCut RegionCutPolicy = "refuse"
	// ServeWhenCut continues with the lease grants of the peers in the instance's
	// own region, and with the last known configuration.
	ServeWhenCut RegionCutPolicy = "serve"
)

// Region holds the settings for a loss of contact between regions.
type Region struct {
	CutPolicy RegionCutPolicy
}

// Log holds the settings of the process's own log lines.
type Log struct {
	// Level is the lowest level that is written: debug, info, warn or error.
	Level string
}

// Security holds the paths of the files with keys and the operator token. The
// paths of the three TLS files are either all set or all empty.
type Security struct {
	TLSCertificate    string
	TLSKey            string
	TLSAuthority      string
	OperatorTokenFile string
	// OperatorToken is the content of OperatorTokenFile. Load reads it; Parse
	// does not.
	OperatorToken Token
}

// Problem is one error in a settings file. Section and Key are empty if it does
// not concern a certain section or key.
type Problem struct {
	File    string
	Section string
	Key     string
	Message string
}

// String returns "file: [section] key: message".
func (p Problem) String() string {
	text := p.File + ":"
	if p.Section != "" {
		text += " [" + p.Section + "]"
	}
	if p.Key != "" {
		text += " " + p.Key + ":"
	}
	return text + " " + p.Message
}

// Load reads the settings file at path and the file with the operator token
// that it names. The error is of kind BadSettings and lists every problem.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Startup(fault.BadSettings, err, "reading the settings file")
	}
	settings, problems := Parse(path, content)
	if len(problems) == 0 {
		problems = settings.readToken(path)
	}
	if len(problems) > 0 {
		return nil, fault.Startup(fault.BadSettings, nil, "%s", joinProblems(problems))
	}
	return settings, nil
}

func joinProblems(problems []Problem) string {
	var lines []string
	for _, problem := range problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

func (s *Settings) readToken(file string) []Problem {
	path := s.Security.OperatorTokenFile
	content, err := os.ReadFile(path)
	if err != nil {
		return []Problem{{file, "security", "operator_token_file", err.Error()}}
	}
	token, err := NewToken(string(content))
	if err != nil {
		return []Problem{{file, "security", "operator_token_file", err.Error()}}
	}
	s.Security.OperatorToken = token
	return nil
}

// Parse parses and checks the content of a settings file. It returns either the
// settings or, if there are any, all problems and no settings. It opens no
// file; name only labels the problems.
func Parse(name string, content []byte) (*Settings, []Problem) {
	options := ini.LoadOptions{
		// With shadows allowed, the parser keeps all values of a repeated key,
		// so that it can be reported.
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreContinuation:         true,
	}
	file, err := ini.LoadSources(options, content)
	if err != nil {
		return nil, []Problem{{File: name, Message: err.Error()}}
	}
	p := &parser{name: name, file: file, settings: &Settings{}}
	p.reportUnknownKeys()
	for _, spec := range keySpecs {
		p.readKey(spec)
	}
	p.checkCombinations()
	if len(p.problems) > 0 {
		return nil, p.problems
	}
	return p.settings, nil
}

type parser struct {
	name     string
	file     *ini.File
	settings *Settings
	problems []Problem
}

func (p *parser) report(section, key, format string, args ...any) {
	p.problems = append(p.problems, Problem{p.name, section, key, fmt.Sprintf(format, args...)})
}

func (p *parser) reportUnknownKeys() {
	for _, section := range p.file.Sections() {
		if section.Name() == ini.DefaultSection {
			for _, key := range section.KeyStrings() {
				p.report("", key, "the key must be inside a section")
			}
			continue
		}
		p.reportUnknownKeysIn(section)
	}
}

func (p *parser) reportUnknownKeysIn(section *ini.Section) {
	known := knownKeys(section.Name())
	if len(known) == 0 {
		p.report(section.Name(), "", "unknown section")
		return
	}
	for _, key := range section.KeyStrings() {
		if !known[key] {
			p.report(section.Name(), key, "unknown key")
		}
	}
}

func knownKeys(section string) map[string]bool {
	keys := map[string]bool{}
	for _, spec := range keySpecs {
		if spec.section == section {
			keys[spec.key] = true
		}
	}
	return keys
}

func (p *parser) readKey(spec keySpec) {
	section := p.file.Section(spec.section)
	value := spec.defaultValue
	if section.HasKey(spec.key) {
		values := section.Key(spec.key).ValueWithShadows()
		if len(values) > 1 {
			p.report(spec.section, spec.key, "the key appears %d times; it must appear once", len(values))
			return
		}
		value = section.Key(spec.key).Value()
		if value == "" {
			p.report(spec.section, spec.key, "the value is missing")
			return
		}
	}
	if value == "" && spec.required {
		p.report(spec.section, spec.key, "the key is missing")
		return
	}
	if value == "" {
		return
	}
	if err := spec.set(p.settings, value); err != nil {
		p.report(spec.section, spec.key, "%s", err)
	}
}

// checkCombinations checks conditions that concern several keys.
func (p *parser) checkCombinations() {
	instance := p.settings.Instance
	if sameAddress(instance.CallerAddress, instance.PeerAddress) || sameAddress(instance.PeerAddress, instance.OperatorAddress) ||
		sameAddress(instance.CallerAddress, instance.OperatorAddress) {
		p.report("instance", "", "caller_address, peer_address and operator_address must be different")
	}
	p.checkBodyLimit()
	security := p.settings.Security
	setFiles := 0
	for _, file := range []string{security.TLSCertificate, security.TLSKey, security.TLSAuthority} {
		if file != "" {
			setFiles++
		}
	}
	if setFiles != 0 && setFiles != 3 {
		p.report("security", "", "tls_certificate, tls_key and tls_authority must be set together or not at all")
	}
}

// checkBodyLimit sets the default of the largest body, and checks that the memory has room for one.
func (p *parser) checkBodyLimit() {
	limits := &p.settings.Limits
	if limits.MemoryBytes == 0 {
		return // Reported already.
	}
	largest := largestBody(float64(limits.MemoryBytes)*bodyMemoryShare, defaultAddressShare/100.0) >> 10
	switch {
	case largest < 1:
		p.report("limits", "memory", "there is no room for the body of a request")
	case limits.MaxBodyBytes == 0:
		limits.MaxBodyBytes = min(defaultMaxBodyKB, largest) << 10
	case limits.MaxBodyBytes > largest<<10:
		p.report("limits", "body", "a body of this size may take more memory than memory leaves to one body; the largest size is %dKB", largest)
	}
}

// sameAddress reports whether a and b are the same address. Two addresses with
// port 0 are not, because the kernel chooses a different port for each.
func sameAddress(a, b netip.AddrPort) bool {
	return a.IsValid() && a == b && a.Port() != 0
}
