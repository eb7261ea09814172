package bench

import (
	"os"
	"strings"
)

// LoadAverage returns the load averages of the machine over 1, 5 and 15 minutes, or "unknown" if they cannot be read.
func LoadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}
