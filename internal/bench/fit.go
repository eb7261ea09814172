package bench

// Fit is a line through measured points by least squares.
type Fit struct {
	Slope     float64
	Intercept float64
	// R2 is the share of the variance that the line explains.
	R2 float64
}

// fitLine returns the line through points with the least sum of squared distances in y.
func fitLine(points []Point) Fit {
	n := float64(len(points))
	var sumX, sumY float64
	for _, point := range points {
		sumX += point.X
		sumY += point.Y
	}
	meanX, meanY := sumX/n, sumY/n
	var xx, xy, yy float64
	for _, point := range points {
		dx, dy := point.X-meanX, point.Y-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	if xx == 0 {
		return Fit{Intercept: meanY}
	}
	fit := Fit{Slope: xy / xx, Intercept: meanY - xy/xx*meanX, R2: 1}
	if yy > 0 {
		fit.R2 = xy * xy / (xx * yy)
	}
	return fit
}
