package settings

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"poplarvalve/internal/process/ident"
)

// Upper limits of the values in the settings file.
const (
	maxNameBytes        = 64
	maxBodyBytes        = 64 << 20
	maxQueuedRequests   = 1 << 20
	maxConnections      = 1 << 16
	maxMemoryBytes      = 1 << 40
	maxDescriptors      = 1 << 24
	maxAppendsPerSecond = 1000
	maxShards           = 64
	maxDrainTime        = 5 * time.Minute
	maxRetention        = 90 * 24 * time.Hour
)

// keySpec describes one key of the settings file.
type keySpec struct {
	section  string
	key      string
	required bool
	// defaultValue is used if the key is not in the file.
	defaultValue string
	// set parses a value and stores it in the settings. Its error says what is
	// wrong with the value.
	set func(*Settings, string) error
}

var keySpecs = []keySpec{
	{"instance", "name", true, "", func(s *Settings, v string) error { return setName(&s.Instance.Name, v) }},
	{"instance", "zone", true, "", func(s *Settings, v string) error { return setName(&s.Instance.Zone, v) }},
	{"instance", "region", true, "", func(s *Settings, v string) error { return setName(&s.Instance.Region, v) }},
	{"instance", "caller_address", true, "", func(s *Settings, v string) error { return setAddress(&s.Instance.CallerAddress, v) }},
	{"instance", "peer_address", true, "", func(s *Settings, v string) error { return setPeerAddress(&s.Instance.PeerAddress, v) }},
	{"instance", "operator_address", true, "", func(s *Settings, v string) error { return setAddress(&s.Instance.OperatorAddress, v) }},
	{"platform", "log", true, "", func(s *Settings, v string) error { return setServiceAddress(&s.Platform.Log, v) }},
	{"platform", "instances", true, "", func(s *Settings, v string) error { return setServiceAddress(&s.Platform.Instances, v) }},
	{"platform", "shards", false, "16", func(s *Settings, v string) error { return setCount(&s.Platform.Shards, v, maxShards) }},
	{"platform", "retention", false, "24h", func(s *Settings, v string) error { return setDuration(&s.Platform.Retention, v, maxRetention) }},
	{"limits", "body", false, "", func(s *Settings, v string) error { return setBytes(&s.Limits.MaxBodyBytes, v, maxBodyBytes) }},
	{"limits", "queue", false, "1024", func(s *Settings, v string) error { return setCount(&s.Limits.MaxQueued, v, maxQueuedRequests) }},
	{"limits", "connections", false, "4096", func(s *Settings, v string) error { return setCount(&s.Limits.MaxConnections, v, maxConnections) }},
	{"limits", "memory", false, "256MB", func(s *Settings, v string) error { return setBytes(&s.Limits.MemoryBytes, v, maxMemoryBytes) }},
	{"limits", "descriptors", false, "", func(s *Settings, v string) error { return setDescriptors(&s.Limits.MaxDescriptors, v) }},
	{"limits", "appends", false, "200", func(s *Settings, v string) error { return setCount(&s.Limits.AppendsPerSecond, v, maxAppendsPerSecond) }},
	{"limits", "drain", false, "20s", func(s *Settings, v string) error { return setDuration(&s.Limits.DrainTimeout, v, maxDrainTime) }},
	{"region", "cut", false, string(RefuseWhenCut), func(s *Settings, v string) error { return setEnum(&s.Region.CutPolicy, v, RefuseWhenCut, ServeWhenCut) }},
	{"log", "level", false, "info", func(s *Settings, v string) error { return setEnum(&s.Log.Level, v, "debug", "info", "warn", "error") }},
	{"security", "tls_certificate", false, "", func(s *Settings, v string) error { s.Security.TLSCertificate = v; return nil }},
	{"security", "tls_key", false, "", func(s *Settings, v string) error { s.Security.TLSKey = v; return nil }},
	{"security", "tls_authority", false, "", func(s *Settings, v string) error { s.Security.TLSAuthority = v; return nil }},
	{"security", "operator_token_file", true, "", func(s *Settings, v string) error { s.Security.OperatorTokenFile = v; return nil }},
}

func setName[T ident.InstanceName | ident.ZoneName | ident.RegionName](target *T, value string) error {
	if len(value) > maxNameBytes {
		return fmt.Errorf("the name has %d bytes; the limit is %d bytes", len(value), maxNameBytes)
	}
	if strings.ContainsAny(value, " \t#") {
		return fmt.Errorf("%q is not a valid name: it contains a space, a tab or #", value)
	}
	*target = T(value)
	return nil
}

// setAddress parses an address to listen on. With port 0 the kernel chooses the
// port.
func setAddress(target *netip.AddrPort, value string) error {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		return fmt.Errorf("%q is not of the form IP:port", value)
	}
	*target = address
	return nil
}

// setPeerAddress parses an address that other instances connect to. It must
// name an IP address, not all of them.
func setPeerAddress(target *netip.AddrPort, value string) error {
	if err := setAddress(target, value); err != nil {
		return err
	}
	if target.Addr().IsUnspecified() {
		return fmt.Errorf("%q can't be reached by other instances: set the IP address of this machine", value)
	}
	return nil
}

// setServiceAddress parses the address of a service of the platform. It needs a
// port, since this process connects to it.
func setServiceAddress(target *netip.AddrPort, value string) error {
	if err := setPeerAddress(target, value); err != nil {
		return err
	}
	if target.Port() == 0 {
		return fmt.Errorf("%q has no port: set a port from 1 to 65535", value)
	}
	return nil
}

func setCount(target *int, value string, limit int) error {
	count, err := strconv.Atoi(value)
	if err != nil || count < 1 || count > limit {
		return fmt.Errorf("%q is not a whole number from 1 to %d", value, limit)
	}
	*target = count
	return nil
}

func setDescriptors(target *int, value string) error {
	count, err := strconv.Atoi(value)
	if err != nil || count < minFDs || count > maxDescriptors {
		return fmt.Errorf("%q is not a whole number from %d to %d", value, minFDs, maxDescriptors)
	}
	*target = count
	return nil
}

// setBytes parses a size with the unit KB (1024 bytes) or MB (1024 KB).
func setBytes(target *int64, value string, limit int64) error {
	unit := int64(1)
	digits := value
	if withoutUnit, found := strings.CutSuffix(value, "KB"); found {
		digits, unit = withoutUnit, 1<<10
	}
	if withoutUnit, found := strings.CutSuffix(value, "MB"); found {
		digits, unit = withoutUnit, 1<<20
	}
	count, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || digits == value || count < 1 || count > limit/unit {
		return fmt.Errorf("%q is not a size such as 64KB or 1MB, up to %dMB", value, limit>>20)
	}
	*target = count * unit
	return nil
}

func setDuration(target *time.Duration, value string, limit time.Duration) error {
	duration, err := time.ParseDuration(value)
	if err != nil || duration <= 0 || duration > limit {
		return fmt.Errorf("%q is not a duration such as 20s, greater than 0 and up to %s", value, limit)
	}
	*target = duration
	return nil
}

func setEnum[T ~string](target *T, value string, choices ...T) error {
	for _, choice := range choices {
		if string(choice) == value {
			*target = choice
			return nil
		}
	}
	return fmt.Errorf("%q is not one of %q", value, choices)
}
