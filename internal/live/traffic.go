package live

import "time"

// trafficSummary is the control traffic per gateway of a run, sent and received.
type trafficSummary struct {
	// holder is the mean over the gateways that were a holder at any time of the run, other the mean over the rest.
	holder, other trafficRate
	// busiest is the rate of the gateway with the most bytes.
	busiest trafficRate
}

// trafficRate is traffic per second.
type trafficRate struct {
	messages, bytes float64
}

// controlTraffic summarises the control traffic of all monitored gateways.
func (m *loopMonitor) controlTraffic() trafficSummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	var summary trafficSummary
	holders, others := 0, 0
	for _, state := range m.gateways {
		rate, ok := state.averageRate()
		if !ok {
			continue
		}
		if state.holder {
			holders++
			summary.holder = summary.holder.plus(rate)
		} else {
			others++
			summary.other = summary.other.plus(rate)
		}
		if rate.bytes > summary.busiest.bytes {
			summary.busiest = rate
		}
	}
	summary.holder = summary.holder.dividedBy(holders)
	summary.other = summary.other.dividedBy(others)
	return summary
}

// averageRate returns the mean traffic of a gateway, or false if it was monitored for less than a second.
func (s *gatewayState) averageRate() (trafficRate, bool) {
	observed := s.lastAt.Sub(s.firstAt)
	if observed < time.Second {
		return trafficRate{}, false
	}
	seconds := observed.Seconds()
	messages := s.last.SentMessages + s.last.ReceivedMessages - s.first.SentMessages - s.first.ReceivedMessages
	bytes := s.last.SentBytes + s.last.ReceivedBytes - s.first.SentBytes - s.first.ReceivedBytes
	return trafficRate{messages: float64(messages) / seconds, bytes: float64(bytes) / seconds}, true
}

func (t trafficRate) plus(other trafficRate) trafficRate {
	return trafficRate{messages: t.messages + other.messages, bytes: t.bytes + other.bytes}
}

func (t trafficRate) dividedBy(n int) trafficRate {
	if n == 0 {
		return trafficRate{}
	}
	return trafficRate{messages: t.messages / float64(n), bytes: t.bytes / float64(n)}
}
