package hedge

// Settings state how many hedged requests are allowed. The zero value allows none.
type Settings struct {
	// Percent is the number of hedged requests per 100 requests of a service.
	Percent float64
	// Services replaces Percent for single services, by name.
	Services map[string]float64
}

// MaxPercent is the largest accepted percentage: more would be no longer the slowest requests.
const MaxPercent = 20

// PercentOf returns the number of hedged requests per 100 requests of a service.
func (s Settings) PercentOf(service string) float64 {
	if percent, ok := s.Services[service]; ok {
		return percent
	}
	return s.Percent
}
