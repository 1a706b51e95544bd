// Package settings reads the settings file of a daemon.
//
// A Settings value is complete and checked. The times of leases and heartbeats
// are not settings: instances rely on each other's values, so two instances
// with different ones could run a task twice.
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

// Settings is what a daemon is started with.
type Settings struct {
	Instance Instance
	Platform Platform
	Limits   Limits
	Region   Region
	Log      Log
	Security Security
}

// Instance says who and where the instance is.
type Instance struct {
	Name            ident.InstanceName
	Zone            ident.ZoneName
	Region          ident.RegionName
	CallerAddress   netip.AddrPort
	PeerAddress     netip.AddrPort
	OperatorAddress netip.AddrPort
}

// Platform says where the platform's services are.
type Platform struct {
	Log       netip.AddrPort
	Instances netip.AddrPort
	// Shards is the number of work streams. It must be the same at all
	// instances and can't change while jobs are known.
	Shards int
	// Retention is how long the log keeps a record. Snapshots are appended
	// within half of it.
	Retention time.Duration
}

// Limits bounds what the instance takes on.
type Limits struct {
	// Body is in bytes, for one request.
	Body int64
	// Queue is in requests that wait for a start.
	Queue int
	// Connections is in open connections of callers.
	Connections int
	// Appends is in appends a second to the log, for all instances together.
	Appends int
	// Drain is how long a stopping instance waits for requests in flight.
	Drain time.Duration
}

// Cut says what a region does that is cut off from the log.
type Cut string

const (
	// CutRefuse refuses work unless the peers of all regions promise.
	CutRefuse Cut = "refuse"
	// CutServe goes on with the promises of the own region, on the
	// configuration it has.
	CutServe Cut = "serve"
)

// Region holds the choices for a loss of contact between regions.
type Region struct {
	Cut Cut
}

// Log holds the choices for log lines.
type Log struct {
	Level string
}

// Security names the files of keys. The TLS files are all set or all empty.
type Security struct {
	TLSCertificate    string
	TLSKey            string
	TLSAuthority      string
	OperatorTokenFile string
	// OperatorToken is read from its file by Load.
	OperatorToken Token
}

// Problem is one reason for refusing a settings file.
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

// Load reads the settings file at path and the operator token that it names.
// The error is of kind BadSettings and lists every problem.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Startup(fault.BadSettings, err, "reading the settings")
	}
	settings, problems := Parse(path, content)
	if len(problems) == 0 {
		problems = settings.readToken(path)
	}
	if len(problems) > 0 {
		return nil, fault.Startup(fault.BadSettings, nil, "%s", join(problems))
	}
	return settings, nil
}

func join(problems []Problem) string {
	var texts []string
	for _, problem := range problems {
		texts = append(texts, problem.String())
	}
	return strings.Join(texts, "\n")
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

// Parse returns the settings in content, or every problem and no settings. It
// opens no file; name only labels the problems.
func Parse(name string, content []byte) (*Settings, []Problem) {
	options := ini.LoadOptions{
		// Shadows make a key that stands twice visible.
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreContinuation:         true,
	}
	file, err := ini.LoadSources(options, content)
	if err != nil {
		return nil, []Problem{{File: name, Message: err.Error()}}
	}
	p := &parser{name: name, file: file, settings: &Settings{}}
	p.refuseUnknown()
	for _, entry := range entries {
		p.read(entry)
	}
	p.checkTogether()
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

func (p *parser) refuseUnknown() {
	for _, section := range p.file.Sections() {
		if section.Name() == ini.DefaultSection {
			for _, key := range section.KeyStrings() {
				p.report("", key, "the key stands outside a section")
			}
			continue
		}
		p.refuseUnknownIn(section)
	}
}

func (p *parser) refuseUnknownIn(section *ini.Section) {
	known := keysOf(section.Name())
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

func keysOf(section string) map[string]bool {
	keys := map[string]bool{}
	for _, entry := range entries {
		if entry.section == section {
			keys[entry.key] = true
		}
	}
	return keys
}

func (p *parser) read(e entry) {
	section := p.file.Section(e.section)
	value := e.standard
	if section.HasKey(e.key) {
		values := section.Key(e.key).ValueWithShadows()
		if len(values) > 1 {
			p.report(e.section, e.key, "the key stands %d times", len(values))
			return
		}
		value = section.Key(e.key).Value()
		if value == "" {
			p.report(e.section, e.key, "the value is missing")
			return
		}
	}
	if value == "" && e.required {
		p.report(e.section, e.key, "the key is missing")
		return
	}
	if value == "" {
		return
	}
	if err := e.set(p.settings, value); err != nil {
		p.report(e.section, e.key, "%s", err)
	}
}

// checkTogether checks what concerns several keys.
func (p *parser) checkTogether() {
	instance := p.settings.Instance
	if same(instance.CallerAddress, instance.PeerAddress) || same(instance.PeerAddress, instance.OperatorAddress) ||
		same(instance.CallerAddress, instance.OperatorAddress) {
		p.report("instance", "", "two of the addresses are the same")
	}
	security := p.settings.Security
	set := 0
	for _, file := range []string{security.TLSCertificate, security.TLSKey, security.TLSAuthority} {
		if file != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		p.report("security", "", "tls_certificate, tls_key and tls_authority are set together or not at all")
	}
}

func same(a, b netip.AddrPort) bool {
	return a.IsValid() && a == b && a.Port() != 0
}
