package bench

// churn returns the churn, or none if it was not measured.
func (m *Measurement) churn() Churn {
	if m.Churn == nil {
		return Churn{}
	}
	return *m.Churn
}

// quantile returns one quantile of the imbalance as text: 0 mean, 1 p50, 2 p99, 3 maximum.
func quantile(imbalance *Imbalance, expected bool, which int) string {
	if imbalance == nil {
		return notMeasured
	}
	quantiles := imbalance.Counted
	if !expected && quantiles.Max == 0 {
		return notMeasured
	}
	if expected {
		quantiles = imbalance.Expected
	}
	return format([]float64{quantiles.Mean, quantiles.P50, quantiles.P99, quantiles.Max}[which])
}

func aboveTarget(m *Measurement) string {
	if m.Imbalance == nil || m.Imbalance.Target == 0 {
		return notMeasured
	}
	return format(100 * m.Imbalance.Above)
}

func churnValue(m *Measurement, value float64) string {
	if m.Churn == nil {
		return notMeasured
	}
	return format(value)
}

func churnRatio(m *Measurement) string {
	if m.Churn == nil || m.Churn.Least == 0 {
		return notMeasured
	}
	return format(m.Churn.Ratio())
}

func unavailableValue(m *Measurement, worst bool) string {
	switch {
	case m.Unavailable == nil:
		return notMeasured
	case worst:
		return format(m.Unavailable.WorstMillis)
	default:
		return format(m.Unavailable.MeanMillis)
	}
}

func latencyValue(m *Measurement, value func(*Latency) float64) string {
	if m.Latency == nil {
		return notMeasured
	}
	return format(value(m.Latency))
}

func roundTime(m *Measurement) string {
	if m.Control == nil {
		return notMeasured
	}
	return format(m.Control.RoundMillis)
}
