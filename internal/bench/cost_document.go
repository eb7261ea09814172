package bench

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// documentSeries measures the size of the JSON configuration document by number of hosts, servers and services, and
// the time to decode it.
func documentSeries() ([]costSeries, error) {
	hosts := costSeries{name: "document-by-hosts", xLabel: "hosts", yUnit: "bytes"}
	servers := costSeries{name: "document-by-servers", xLabel: "servers", yUnit: "bytes"}
	services := costSeries{name: "document-by-services", xLabel: "services", yUnit: "bytes"}
	for _, count := range []int{12, 120, 1200, 11004} {
		if err := hosts.addDocument(count, syntheticConfig(count/12, 12, 1024, 16)); err != nil {
			return nil, err
		}
	}
	for _, count := range []int{16, 160, 1600, 12000} {
		if err := servers.addDocument(count, syntheticConfig(1, 12, 1024, count)); err != nil {
			return nil, err
		}
	}
	for _, count := range []int{1, 4, 16, 64} {
		document := syntheticConfig(1, 12, 1024, 0)
		for i := range count - 1 {
			service := document.Services[0]
			service.Name = fmt.Sprintf("service-%03d", i)
			document.Services = append(document.Services, service)
		}
		if err := services.addDocument(count, document); err != nil {
			return nil, err
		}
	}
	decode, err := documentDecodeTime()
	return []costSeries{hosts, servers, services, decode}, err
}

// documentDecodeTime measures the CPU time that a gateway spends on decoding each document it receives.
func documentDecodeTime() (costSeries, error) {
	s := costSeries{name: "document-decode-time", xLabel: "hosts", yUnit: "ms"}
	for _, count := range []int{12, 1200, 11004} {
		encoded, err := json.Marshal(syntheticConfig(count/12, 12, 1024, count))
		if err != nil {
			return s, err
		}
		milliseconds := minCPUMillis(func() {
			var decoded config.Config
			err = errors.CombineErrors(err, json.Unmarshal(encoded, &decoded))
		})
		if err != nil {
			return s, err
		}
		s.points = append(s.points, Point{X: float64(count), Y: milliseconds})
	}
	return s, nil
}

func (s *costSeries) addDocument(size int, document *config.Config) error {
	encoded, err := json.Marshal(document)
	if err != nil {
		return err
	}
	s.points = append(s.points, Point{X: float64(size), Y: float64(len(encoded))})
	return nil
}
