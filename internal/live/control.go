package live

import "time"

// controlCost is the control traffic of the gateways of a run, sent and received.
type controlCost struct {
	// holder and other are the means over the gateways that were and were not holder at any time.
	holder, other trafficRate
	// most is that of the gateway with the most bytes.
	most trafficRate
}

// trafficRate is traffic per second.
type trafficRate struct {
	messages, bytes float64
}

// cost returns the control traffic of all gateways.
func (w *watcher) cost() controlCost {
	w.mu.Lock()
	defer w.mu.Unlock()
	var c controlCost
	holders, others := 0, 0
	for _, state := range w.nodes {
		rate, ok := state.rate()
		if !ok {
			continue
		}
		if state.holder {
			holders++
			c.holder = c.holder.plus(rate)
		} else {
			others++
			c.other = c.other.plus(rate)
		}
		if rate.bytes > c.most.bytes {
			c.most = rate
		}
	}
	c.holder = c.holder.over(holders)
	c.other = c.other.over(others)
	return c
}

// rate returns the traffic of a gateway that was watched for at least a second.
func (s *watched) rate() (trafficRate, bool) {
	watchedFor := s.lastAt.Sub(s.firstAt)
	if watchedFor < time.Second {
		return trafficRate{}, false
	}
	seconds := watchedFor.Seconds()
	messages := s.last.SentMessages + s.last.ReceivedMessages - s.first.SentMessages - s.first.ReceivedMessages
	bytes := s.last.SentBytes + s.last.ReceivedBytes - s.first.SentBytes - s.first.ReceivedBytes
	return trafficRate{messages: float64(messages) / seconds, bytes: float64(bytes) / seconds}, true
}

func (t trafficRate) plus(other trafficRate) trafficRate {
	return trafficRate{messages: t.messages + other.messages, bytes: t.bytes + other.bytes}
}

func (t trafficRate) over(n int) trafficRate {
	if n == 0 {
		return trafficRate{}
	}
	return trafficRate{messages: t.messages / float64(n), bytes: t.bytes / float64(n)}
}
