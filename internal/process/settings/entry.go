package settings

import (
	"fmt"
	"net/netip"
	"os"
	"syscall"
	"time"

	"gopkg.in/ini.v1"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/store"
)

// EntrySettings holds the settings of an entry instance, which schedules
// multi-step jobs.
type EntrySettings struct {
	Name string
	// Zone is the availability zone of the instance, or empty if it is unknown.
	Zone string
	// CallerAddress serves requests of callers, ReadyAddress the load
	// balancer's readiness checks, LinkAddress the connections of other
	// instances, and OperatorAddress the metrics and the state dump.
	CallerAddress   netip.AddrPort
	ReadyAddress    netip.AddrPort
	LinkAddress     netip.AddrPort
	OperatorAddress netip.AddrPort
	// LogAddress is the address of the platform's log.
	LogAddress netip.AddrPort
	// LogLimits are the sizes above which the log refuses an append.
	LogLimits store.Limits
	// AdviceAddress is the address of the service that knows which workers the
	// policy of a queue allows. It is the zero AddrPort, which is invalid, if
	// the deployment has no such service.
	AdviceAddress netip.AddrPort
	// Memory is the memory limit of the process in megabytes.
	Memory int
	// Clients bounds what clients can take.
	Clients ClientLimits
	// CPUShare is the processor time that the process may use, in cores.
	CPUShare float64
	// Grace is the time from SIGTERM until the process is killed.
	Grace time.Duration
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// EndedJobRetention is how long the status of an ended job is kept.
	EndedJobRetention time.Duration
	// RemoteFactor is how many times longer a task takes outside its data rack
	// than on it.
	RemoteFactor float64
	// NearWait is the longest time for which a task waits for a place near its data or its
	// group, or 0 if none waits.
	NearWait time.Duration
	// LearnSpeed is set if the speeds of workers are learned and placement weighs them.
	LearnSpeed bool
	// RefuseHopeless is set if submissions are refused that can't have any value.
	RefuseHopeless bool
	// EvacuationApply is the time within which a request to evacuate an availability zone
	// must be in force, or 0 if operators evacuate none.
	EvacuationApply time.Duration
	// LogLevel is the lowest level of log lines that are written: debug, info,
	// warn or error.
	LogLevel string
}

// LoadEntrySettings reads and checks the settings file of an entry instance.
// The error is of kind BadSettings and lists every problem.
func LoadEntrySettings(path string) (*EntrySettings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Startup(fault.BadSettings, err, "reading the settings file")
	}
	s, problems := ParseEntrySettings(path, content)
	if len(problems) > 0 {
		return nil, fault.Startup(fault.BadSettings, nil, "%s", joinProblems(problems))
	}
	return s, nil
}

// ParseEntrySettings parses and checks the content of a settings file of an
// entry instance. It opens no file; the parameter file only labels the
// problems. It ignores unknown keys, since a newer file may have keys that this
// version does not know. The returned settings are valid only if there are no
// problems.
func ParseEntrySettings(file string, content []byte) (*EntrySettings, []Problem) {
	parsed, err := ini.Load(content)
	if err != nil {
		return nil, []Problem{{File: file, Message: err.Error()}}
	}
	r := &entryReader{file: file, parsed: parsed}
	s := &EntrySettings{
		Name:              r.text("instance", "name"),
		Zone:              parsed.Section("instance").Key("zone").String(),
		CallerAddress:     r.address("instance", "caller_address"),
		ReadyAddress:      r.address("instance", "ready_address"),
		LinkAddress:       r.address("instance", "link_address"),
		OperatorAddress:   r.address("instance", "operator_address"),
		LogAddress:        r.address("log", "address"),
		LogLimits:         r.logLimits(),
		AdviceAddress:     r.optionalAddress("advice", "address"),
		Memory:            int(r.number("limits", "memory_mb", 16, 1<<20)),
		CPUShare:          r.number("limits", "cpu_share", 0.01, 1024),
		Grace:             r.seconds("limits", "grace_s"),
		MaxLease:          r.millis("workers", "max_lease_ms"),
		EndedJobRetention: r.seconds("jobs", "keep_ended_s"),
		RemoteFactor:      r.number("workers", "remote_factor", 1, 1000),
		NearWait:          r.optionalMillis("placement", "near_wait_ms", 0),
		LearnSpeed:        r.isOn("placement", "learn_worker_speed"),
		RefuseHopeless:    r.isOn("admission", "refuse_hopeless"),
		EvacuationApply:   r.optionalMillis("evacuation", "apply_ms", minEvacuationApplyMillis),
		LogLevel:          parsed.Section("output").Key("level").MustString("info"),
	}
	if len(r.problems) == 0 { // A limit without its base would be reported for another reason.
		s.Clients = r.clientLimits(float64(s.Memory), processFDs())
	}
	return s, r.problems
}

// processFDs returns the number of descriptors that the process may open.
func processFDs() uint64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0 // The settings must state it then.
	}
	return limit.Cur
}

// entryReader reads the values of a settings file and collects the problems
// with them.
type entryReader struct {
	file     string
	parsed   *ini.File
	problems []Problem
}

func (r *entryReader) report(section, key, format string, args ...any) {
	r.problems = append(r.problems, Problem{r.file, section, key, fmt.Sprintf(format, args...)})
}

func (r *entryReader) text(section, key string) string {
	value := r.parsed.Section(section).Key(key).String()
	if value == "" {
		r.report(section, key, "the value is missing")
	}
	return value
}

func (r *entryReader) address(section, key string) netip.AddrPort {
	address, err := netip.ParseAddrPort(r.text(section, key))
	if err != nil {
		r.report(section, key, "the value is not of the form IP:port")
	}
	return address
}

// optionalAddress returns the zero AddrPort if the key is missing or empty.
func (r *entryReader) optionalAddress(section, key string) netip.AddrPort {
	if r.parsed.Section(section).Key(key).String() == "" {
		return netip.AddrPort{}
	}
	return r.address(section, key)
}

func (r *entryReader) number(section, key string, minimum, maximum float64) float64 {
	value, err := r.parsed.Section(section).Key(key).Float64()
	if err != nil || value < minimum || value > maximum {
		r.report(section, key, "the value is not a number from %g to %g", minimum, maximum)
	}
	return value
}

const (
	// minRecordBytes and maxCallBytes are the limits of the sizes that the log takes.
	minRecordBytes = 1 << 10
	maxCallBytes   = 1 << 30
)

// logLimits returns store.DefaultLimits for the values that are missing or empty.
func (r *entryReader) logLimits() store.Limits {
	limits := store.DefaultLimits
	if r.parsed.Section("log").Key("record_bytes").String() != "" {
		limits.RecordBytes = int(r.number("log", "record_bytes", minRecordBytes, maxCallBytes))
	}
	if r.parsed.Section("log").Key("call_bytes").String() != "" {
		limits.CallBytes = int(r.number("log", "call_bytes", minRecordBytes, maxCallBytes))
	}
	if limits.CallBytes < limits.RecordBytes+store.RecordLengthBytes {
		r.report("log", "call_bytes", "the value is below record_bytes and the length of a record, %d bytes", store.RecordLengthBytes)
	}
	return limits
}

// minEvacuationApplyMillis leaves time to read a request and for orders that are on their way.
const minEvacuationApplyMillis = 2000

// optionalMillis returns 0 if the value is missing or empty.
func (r *entryReader) optionalMillis(section, key string, minimum float64) time.Duration {
	if r.parsed.Section(section).Key(key).String() == "" {
		return 0
	}
	return time.Duration(r.number(section, key, minimum, maxSettingSeconds*1000) * float64(time.Millisecond))
}

// isOn returns false if the value is missing or empty.
func (r *entryReader) isOn(section, key string) bool {
	value := r.parsed.Section(section).Key(key).String()
	if value != "" && value != "on" && value != "off" {
		r.report(section, key, "the value is not on or off")
	}
	return value == "on"
}

// maxSettingSeconds is the upper limit of all durations, which is one day.
const maxSettingSeconds = 24 * 3600

func (r *entryReader) seconds(section, key string) time.Duration {
	return time.Duration(r.number(section, key, 0, maxSettingSeconds) * float64(time.Second))
}

func (r *entryReader) millis(section, key string) time.Duration {
	return time.Duration(r.number(section, key, 0, maxSettingSeconds*1000) * float64(time.Millisecond))
}
