package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"gopkg.in/ini.v1"

	"poplarvalve/internal/process/fault"
)

// Entry is what an instance that runs jobs of steps is started with.
type Entry struct {
	Name string
	// CallerAddress takes requests, ReadyAddress the balancer's question
	// whether to send more, LinkAddress the links of other instances, and
	// OperatorAddress metrics and the state dump.
	CallerAddress   netip.AddrPort
	ReadyAddress    netip.AddrPort
	LinkAddress     netip.AddrPort
	OperatorAddress netip.AddrPort
	// LogAddress is that of the platform's log.
	LogAddress netip.AddrPort
	// AdviceAddress is that of the service that knows which workers the policy of
	// a queue allows; it is invalid if the deployment has none.
	AdviceAddress netip.AddrPort
	// Memory is in megabytes, for the whole process.
	Memory int
	// CPUShare is the part of a core that the process may use.
	CPUShare float64
	// Grace is the time from SIGTERM until the process is killed.
	Grace        time.Duration
	MaxLease     time.Duration
	KeepEnded    time.Duration
	RemoteFactor float64
	LogLevel     string
}

// LoadEntry reads and checks the settings of an entry instance. The error is
// of kind BadSettings and lists every problem.
func LoadEntry(path string) (*Entry, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Startup(fault.BadSettings, err, "reading the settings")
	}
	s, problems := ParseEntry(path, content)
	if len(problems) > 0 {
		return nil, fault.Startup(fault.BadSettings, nil, "%s", join(problems))
	}
	return s, nil
}

// ParseEntry checks the content of a settings file. Keys that it doesn't know
// are ignored, since newer files may have more.
func ParseEntry(file string, content []byte) (*Entry, []Problem) {
	parsed, err := ini.Load(content)
	if err != nil {
		return nil, []Problem{{File: file, Message: err.Error()}}
	}
	r := &entryReader{file: file, parsed: parsed}
	s := &Entry{
		Name:            r.text("instance", "name"),
		CallerAddress:   r.address("instance", "caller_address"),
		ReadyAddress:    r.address("instance", "ready_address"),
		LinkAddress:     r.address("instance", "link_address"),
		OperatorAddress: r.address("instance", "operator_address"),
		LogAddress:      r.address("log", "address"),
		AdviceAddress:   r.optionalAddress("advice", "address"),
		Memory:          int(r.number("limits", "memory_mb", 16, 1<<20)),
		CPUShare:        r.number("limits", "cpu_share", 0.01, 1024),
		Grace:           r.seconds("limits", "grace_s"),
		MaxLease:        r.millis("workers", "max_lease_ms"),
		KeepEnded:       r.seconds("jobs", "keep_ended_s"),
		RemoteFactor:    r.number("workers", "remote_factor", 1, 1000),
		LogLevel:        parsed.Section("output").Key("level").MustString("info"),
	}
	return s, r.problems
}

// entryReader reads values and collects what is wrong with them.
type entryReader struct {
	file     string
	parsed   *ini.File
	problems []Problem
}

func (r *entryReader) fail(section, key, format string, args ...any) {
	r.problems = append(r.problems, Problem{r.file, section, key, fmt.Sprintf(format, args...)})
}

func (r *entryReader) text(section, key string) string {
	value := r.parsed.Section(section).Key(key).String()
	if value == "" {
		r.fail(section, key, "is missing")
	}
	return value
}

func (r *entryReader) address(section, key string) netip.AddrPort {
	address, err := netip.ParseAddrPort(r.text(section, key))
	if err != nil {
		r.fail(section, key, "is not of the form IP:port")
	}
	return address
}

// optionalAddress returns the zero value if nothing is set.
func (r *entryReader) optionalAddress(section, key string) netip.AddrPort {
	if r.parsed.Section(section).Key(key).String() == "" {
		return netip.AddrPort{}
	}
	return r.address(section, key)
}

func (r *entryReader) number(section, key string, least, most float64) float64 {
	value, err := r.parsed.Section(section).Key(key).Float64()
	if err != nil || value < least || value > most {
		r.fail(section, key, "is not a number from %g to %g", least, most)
	}
	return value
}

const maxSettingSeconds = 24 * 3600

func (r *entryReader) seconds(section, key string) time.Duration {
	return time.Duration(r.number(section, key, 0, maxSettingSeconds) * float64(time.Second))
}

func (r *entryReader) millis(section, key string) time.Duration {
	return time.Duration(r.number(section, key, 0, maxSettingSeconds*1000) * float64(time.Millisecond))
}
