package entrynode

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"github.com/sapphireplank/sapphireplank/internal/hedge"
)

// Settings is the start-up configuration of a gateway process. All other configuration comes from the store.
type Settings struct {
	// Host, Zone and Address identify the host on which the process runs.
	Host    string
	Zone    string
	Address string
	// MemoryMB is the memory available to the process.
	MemoryMB int
	// BodyMemoryPercent is the share of MemoryMB that the bodies of all requests and responses in flight may take.
	BodyMemoryPercent int
	// BodyBufferKB is the length up to which the body of a request is held before it is forwarded.
	BodyBufferKB int
	// Cores is the processor time available to the process, in cores.
	Cores float64
	// CallerAddress is the listen address for client requests, ReadinessAddress the one for the load balancer's
	// readiness check.
	CallerAddress    string
	ReadinessAddress string
	// InternalPorts are the first and last port for messages from other gateways and for metrics.
	InternalPorts [2]int
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// ShortestLease is the shortest lease that the store grants.
	ShortestLease time.Duration
	// ServerDrain is how long a draining backend server may still get requests.
	ServerDrain time.Duration
	// ZoneDrain is how long after the request to drain an availability zone its backend servers may still get requests.
	ZoneDrain time.Duration
	// SlowStartOvershoot and SlowStartSlack bound the requests of all gateways to a backend server that has just started:
	// in any one second, SlowStartOvershoot times the rate of its service and SlowStartSlack more.
	SlowStartOvershoot float64
	SlowStartSlack     float64
	// RetryRatio, RetryWindow and RetrySlack define the retry budget that all gateways share.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// Hedging states how many requests that may be repeated are sent a second time because they take long.
	Hedging hedge.Settings
	// OrderLifetime is how long after the end of its process an order may still arrive.
	OrderLifetime time.Duration
	// LongestGrant is the maximum duration of a key grant.
	LongestGrant time.Duration
	// StopGrace is the grace period from SIGTERM to the exit of the process.
	StopGrace time.Duration
	// MetricsPort is the port on which metrics are served; 0 disables them.
	MetricsPort int
	// LogLevels are the log levels, each as LEVEL or COMPONENT=LEVEL.
	LogLevels string
}

// ErrInvalidSetting reports a missing or invalid setting. The message gives its section, its key and the values that
// are accepted.
var ErrInvalidSetting = errors.New("setting is missing or invalid")

// field describes one setting.
type field struct {
	section string
	key     string
	// defaultValue is used if the setting is absent or empty. A setting without a default is required.
	defaultValue string
	hint         string
	set          setter
}

// maxMemoryMB is 1 TB.
const maxMemoryMB = 1 << 20

const (
	hintName        = "use a name"
	hintAddressPort = "use an IP address and port such as 10.0.0.1:8080"
	hintNonNegative = "use a number of 0 or more"
	hintFactor      = "use a number of 1 or more"
	hintPositive    = "use a number above 0"
	hintPercent     = "use a percentage of requests from 0 to 20"
	hintPort        = "use a port from 0 to 65535"
)

// fields lists all settings in the order in which they are printed.
var fields = []field{
	{"host", "name", "", hintName, stringSetter(func(s *Settings) *string { return &s.Host })},
	{"host", "zone", "", hintName, stringSetter(func(s *Settings) *string { return &s.Zone })},
	{"host", "address", "", "use an IP address", addressSetter(func(s *Settings) *string { return &s.Address })},
	{"host", "memory_mb", "256", "use a whole number of MB from 1 to 1048576", intSetter(1, maxMemoryMB, func(s *Settings) *int { return &s.MemoryMB })},
	{"host", "body_memory_percent", "25", "use a whole percentage of memory_mb from 1 to 50", intSetter(1, 50, func(s *Settings) *int { return &s.BodyMemoryPercent })},
	{"host", "body_buffer_kb", "1024", "use a whole number of KB from 1 to 65536", intSetter(1, 1<<16, func(s *Settings) *int { return &s.BodyBufferKB })},
	{"host", "cores", "1", hintPositive, positiveFloatSetter(func(s *Settings) *float64 { return &s.Cores })},
	{"listen", "callers", "", hintAddressPort, addressPortSetter(func(s *Settings) *string { return &s.CallerAddress })},
	{"listen", "readiness", "", hintAddressPort, addressPortSetter(func(s *Settings) *string { return &s.ReadinessAddress })},
	{"listen", "internal_ports", "7540,7555", "use the first and last port, separated by a comma, each from 1 to 65535", setPortRange},
	{"store", "address", "", hintAddressPort, addressPortSetter(func(s *Settings) *string { return &s.StoreAddress })},
	{"store", "shortest_lease_ms", "1000", hintPositive, positiveDurationSetter(time.Millisecond, func(s *Settings) *time.Duration { return &s.ShortestLease })},
	{"servers", "drain_ms", "2000", hintNonNegative, durationSetter(time.Millisecond, func(s *Settings) *time.Duration { return &s.ServerDrain })},
	{"zones", "drain_ms", "5000", hintNonNegative, durationSetter(time.Millisecond, func(s *Settings) *time.Duration { return &s.ZoneDrain })},
	{"slow_start", "overshoot", "1", hintFactor, factorSetter(func(s *Settings) *float64 { return &s.SlowStartOvershoot })},
	{"slow_start", "slack", "0", hintNonNegative, floatSetter(func(s *Settings) *float64 { return &s.SlowStartSlack })},
	{"retries", "ratio", "0.1", hintNonNegative, floatSetter(func(s *Settings) *float64 { return &s.RetryRatio })},
	{"retries", "window_s", "10", hintPositive, positiveDurationSetter(time.Second, func(s *Settings) *time.Duration { return &s.RetryWindow })},
	{"retries", "slack", "20", hintNonNegative, floatSetter(func(s *Settings) *float64 { return &s.RetrySlack })},
	{"hedging", "percent", "0", hintPercent, floatUpTo(hedge.MaxPercent, func(s *Settings) *float64 { return &s.Hedging.Percent })},
	{"hedging", "services", "none", "use none, or NAME=PERCENT separated by commas, each from 0 to 20", setHedgedServices},
	{"ownership", "order_lifetime_ms", "10000", hintPositive, positiveDurationSetter(time.Millisecond, func(s *Settings) *time.Duration { return &s.OrderLifetime })},
	{"ownership", "longest_grant_ms", "10000", hintPositive, positiveDurationSetter(time.Millisecond, func(s *Settings) *time.Duration { return &s.LongestGrant })},
	{"stop", "grace_s", "6", hintNonNegative, durationSetter(time.Second, func(s *Settings) *time.Duration { return &s.StopGrace })},
	{"metrics", "port", "0", hintPort, intSetter(0, maxPort, func(s *Settings) *int { return &s.MetricsPort })},
	{"log", "levels", "info", "use levels such as info or info,entry=debug", setLogLevels},
}

// value is the unparsed text of a setting.
type value struct {
	field field
	text  string
	// fromFile is false if the text is the default.
	fromFile bool
}

// source returns where the value comes from.
func (v value) source() string {
	if v.fromFile {
		return "file"
	}
	return "default"
}

// readValues reads the values of all settings without parsing or validating them.
func readValues(path string) ([]value, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, errors.WithSecondaryError(errors.Wrapf(ErrInvalidSetting, "file %q cannot be parsed as INI", path), err)
	}
	var values []value
	for _, f := range fields {
		text := strings.TrimSpace(file.Section(f.section).Key(f.key).String())
		if isPlaceholder(text) {
			text = ""
		}
		v := value{field: f, text: text, fromFile: text != ""}
		if !v.fromFile {
			v.text = f.defaultValue
		}
		values = append(values, v)
	}
	return values, nil
}

// isPlaceholder reports whether a value is a placeholder of the template that nothing was filled in for, because the platform has
// no such value. It counts as absent.
func isPlaceholder(text string) bool {
	return strings.HasPrefix(text, "{{") && strings.HasSuffix(text, "}}")
}

// ReadSettings reads and validates a settings file. The error lists every missing or invalid setting.
func ReadSettings(path string) (*Settings, error) {
	values, err := readValues(path)
	if err != nil {
		return nil, err
	}
	settings := &Settings{}
	var invalid []string
	for _, v := range values {
		if v.text == "" || v.field.set(settings, v.text) != nil {
			invalid = append(invalid, "["+v.field.section+"] "+v.field.key+" = "+strconv.Quote(v.text)+": "+v.field.hint)
		}
	}
	if len(invalid) > 0 {
		return nil, errors.Wrap(ErrInvalidSetting, strings.Join(invalid, "; "))
	}
	return settings, nil
}
