package bench

// churn returns the churn, or the zero value if it was not measured.
func (m *Measurement) churn() Churn {
	if m.Churn == nil {
		return Churn{}
	}
	return *m.Churn
}

// imbalanceQuantile formats one value of the imbalance, by its index: 0 mean, 1 p50, 2 p99, 3 maximum.
func imbalanceQuantile(imbalance *Imbalance, expected bool, index int) string {
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
	return formatNumber([]float64{quantiles.Mean, quantiles.P50, quantiles.P99, quantiles.Max}[index])
}

func percentAboveTarget(m *Measurement) string {
	if m.Imbalance == nil || m.Imbalance.Target == 0 {
		return notMeasured
	}
	return formatNumber(100 * m.Imbalance.AboveTarget)
}

func churnValue(m *Measurement, value float64) string {
	if m.Churn == nil {
		return notMeasured
	}
	return formatNumber(value)
}

func churnRatio(m *Measurement) string {
	if m.Churn == nil || m.Churn.MinMoved == 0 {
		return notMeasured
	}
	return formatNumber(m.Churn.Ratio())
}

func unavailableValue(m *Measurement, worst bool) string {
	switch {
	case m.Unavailability == nil:
		return notMeasured
	case worst:
		return formatNumber(m.Unavailability.MaxMillis)
	default:
		return formatNumber(m.Unavailability.MeanMillis)
	}
}

func latencyValue(m *Measurement, value func(*Latency) float64) string {
	if m.Latency == nil {
		return notMeasured
	}
	return formatNumber(value(m.Latency))
}

func roundMillis(m *Measurement) string {
	if m.ControlCost == nil {
		return notMeasured
	}
	return formatNumber(m.ControlCost.RoundMillis)
}
