package relay

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// A run time is encoded in one byte: 0 if it is unknown, otherwise 1 plus the number of steps above the shortest one. Steps are
// runTimeStep apart, which is finer than run times can be measured.
const (
	shortestRunTime = 100 * time.Microsecond
	runTimeStep     = 1.05
)

func encodeRunTime(runTime time.Duration) byte {
	if runTime <= 0 {
		return 0
	}
	steps := math.Round(math.Log(float64(runTime)/float64(shortestRunTime)) / math.Log(runTimeStep))
	return byte(1 + min(max(steps, 0), math.MaxUint8-1))
}

func decodeRunTime(code byte) time.Duration {
	if code == 0 {
		return 0
	}
	return time.Duration(float64(shortestRunTime) * math.Pow(runTimeStep, float64(code-1)))
}

// EncodeRunTimeVector encodes the mean run times by server. Servers that the index lacks are left out.
func EncodeRunTimeVector(index *Index, runTimes map[uint32]RunTime) *wire.RunTimeVector {
	means := make([]byte, len(index.servers))
	for position, server := range index.servers {
		means[position] = encodeRunTime(runTimes[server].Mean)
	}
	return &wire.RunTimeVector{Index: index.version, Means: means}
}

// DecodeRunTimeVector decodes mean run times by server. Servers without one are left out. index is the known index, or nil.
func DecodeRunTimeVector(index *Index, message *wire.RunTimeVector) (map[uint32]RunTime, error) {
	if index == nil || index.version != message.Index {
		return nil, errors.Wrapf(ErrUnknownIndex, "index %d", message.Index)
	}
	runTimes := make(map[uint32]RunTime, len(index.servers))
	for position, code := range message.Means {
		if position < len(index.servers) && code > 0 {
			runTimes[index.servers[position]] = RunTime{Mean: decodeRunTime(code), Measurements: 1}
		}
	}
	return runTimes, nil
}
