package entrynode

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Settings are what a gateway process knows when it starts. Everything else comes from the store.
type Settings struct {
	// Host, Zone and Address name this host.
	Host    string
	Zone    string
	Address string
	// MemoryMB is the memory that the process may use.
	MemoryMB int
	// Cores is the processor time that the process may use, in cores.
	Cores float64
	// CallerAddress is the address for requests, Readiness that for the balancer.
	CallerAddress    string
	ReadinessAddress string
	// InternalPorts are the first and last port for messages of other gateways and for metrics.
	InternalPorts [2]int
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// ShortestLease is the shortest lease that the store grants.
	ShortestLease time.Duration
	// ServerDrain is how long a backend server that is about to leave may get requests.
	ServerDrain time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the retries of all gateways together.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// LongestGrant bounds the time for which keys are granted.
	LongestGrant time.Duration
	// StopGrace is the time from SIGTERM to the end of the process.
	StopGrace time.Duration
	// MetricsPort is the port of the metrics; 0 for none.
	MetricsPort int
	// LogLevels are the log levels, as LEVEL or PART=LEVEL.
	LogLevels string
}

// ErrInvalidSetting means that a setting is missing or wrong. The message names section, key and remedy.
var ErrInvalidSetting = errors.New("setting is missing or wrong")

// field describes one setting.
type field struct {
	section string
	key     string
	// fallback is used if the setting is absent or empty. A setting without one is required.
	fallback string
	remedy   string
	set      func(*Settings, string) error
}

const (
	remedyName    = "use a name"
	remedyAddress = "use an IP address and port such as 10.0.0.1:8080"
	remedyNumber  = "use a number of 0 or more"
)

// fields are all settings, in the order in which they are printed.
var fields = []field{
	{"host", "name", "", remedyName, text(func(s *Settings) *string { return &s.Host })},
	{"host", "zone", "", remedyName, text(func(s *Settings) *string { return &s.Zone })},
	{"host", "address", "", "use an IP address", address(func(s *Settings) *string { return &s.Address })},
	{"host", "memory_mb", "256", remedyNumber, whole(func(s *Settings) *int { return &s.MemoryMB })},
	{"host", "cores", "1", remedyNumber, number(func(s *Settings) *float64 { return &s.Cores })},
	{"listen", "callers", "", remedyAddress, addressPort(func(s *Settings) *string { return &s.CallerAddress })},
	{"listen", "readiness", "", remedyAddress, addressPort(func(s *Settings) *string { return &s.ReadinessAddress })},
	{"listen", "internal_ports", "7540,7555", "use the first and last port, separated by a comma", portRange},
	{"store", "address", "", remedyAddress, addressPort(func(s *Settings) *string { return &s.StoreAddress })},
	{"store", "shortest_lease_ms", "1000", remedyNumber, scaled(time.Millisecond, func(s *Settings) *time.Duration { return &s.ShortestLease })},
	{"servers", "drain_ms", "2000", remedyNumber, scaled(time.Millisecond, func(s *Settings) *time.Duration { return &s.ServerDrain })},
	{"retries", "ratio", "0.1", remedyNumber, number(func(s *Settings) *float64 { return &s.RetryRatio })},
	{"retries", "window_s", "10", remedyNumber, scaled(time.Second, func(s *Settings) *time.Duration { return &s.RetryWindow })},
	{"retries", "slack", "20", remedyNumber, number(func(s *Settings) *float64 { return &s.RetrySlack })},
	{"ownership", "longest_grant_ms", "10000", remedyNumber, scaled(time.Millisecond, func(s *Settings) *time.Duration { return &s.LongestGrant })},
	{"stop", "grace_s", "6", remedyNumber, scaled(time.Second, func(s *Settings) *time.Duration { return &s.StopGrace })},
	{"metrics", "port", "0", remedyNumber, whole(func(s *Settings) *int { return &s.MetricsPort })},
	{"log", "levels", "info", "use levels such as info or info,entry=debug", text(func(s *Settings) *string { return &s.LogLevels })},
}

// value is a setting as a file gives it.
type value struct {
	field field
	text  string
	// fromFile is false for a default.
	fromFile bool
}

// source says where the value comes from.
func (v value) source() string {
	if v.fromFile {
		return "file"
	}
	return "default"
}

// readValues reads the values of all settings without a look at what they mean.
func readValues(path string) ([]value, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, errors.WithSecondaryError(errors.Wrapf(ErrInvalidSetting, "file %q cannot be read as INI", path), err)
	}
	var values []value
	for _, f := range fields {
		text := strings.TrimSpace(file.Section(f.section).Key(f.key).String())
		v := value{field: f, text: text, fromFile: text != ""}
		if !v.fromFile {
			v.text = f.fallback
		}
		values = append(values, v)
	}
	return values, nil
}

// ReadSettings reads a settings file. The error names every setting that is missing or wrong.
func ReadSettings(path string) (*Settings, error) {
	values, err := readValues(path)
	if err != nil {
		return nil, err
	}
	settings := &Settings{}
	var faults []string
	for _, v := range values {
		if v.text == "" || v.field.set(settings, v.text) != nil {
			faults = append(faults, "["+v.field.section+"] "+v.field.key+" = "+strconv.Quote(v.text)+": "+v.field.remedy)
		}
	}
	if len(faults) > 0 {
		return nil, errors.Wrap(ErrInvalidSetting, strings.Join(faults, "; "))
	}
	return settings, nil
}

func text(target func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		*target(s) = value
		return nil
	}
}

func address(target func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		*target(s) = value
		_, err := netip.ParseAddr(value)
		return err
	}
}

func addressPort(target func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		*target(s) = value
		_, err := netip.ParseAddrPort(value)
		return err
	}
}

func number(target func(*Settings) *float64) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		parsed, err := strconv.ParseFloat(value, 64)
		if err != nil || parsed < 0 {
			return ErrInvalidSetting
		}
		*target(s) = parsed
		return nil
	}
}

func whole(target func(*Settings) *int) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		parsed, err := strconv.Atoi(value)
		if err != nil || parsed < 0 {
			return ErrInvalidSetting
		}
		*target(s) = parsed
		return nil
	}
}

// scaled reads a number of units of time, which may have a fraction.
func scaled(unit time.Duration, target func(*Settings) *time.Duration) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		parsed, err := strconv.ParseFloat(value, 64)
		if err != nil || parsed < 0 {
			return ErrInvalidSetting
		}
		*target(s) = time.Duration(parsed * float64(unit))
		return nil
	}
}

func portRange(s *Settings, value string) error {
	first, last, _ := strings.Cut(value, ",")
	var err error
	if s.InternalPorts[0], err = strconv.Atoi(strings.TrimSpace(first)); err != nil {
		return err
	}
	s.InternalPorts[1], err = strconv.Atoi(strings.TrimSpace(last))
	return err
}
