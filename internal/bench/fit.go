package bench

// Fit is a straight line fitted to points by least squares.
type Fit struct {
	Slope     float64
	Intercept float64
	// R2 is the coefficient of determination: the share of the variance of y that the line explains.
	R2 float64
}

// fitLine fits a straight line to points by least squares in y.
func fitLine(points []Point) Fit {
	n := float64(len(points))
	var sumX, sumY float64
	for _, point := range points {
		sumX += point.X
		sumY += point.Y
	}
	meanX, meanY := sumX/n, sumY/n
	var sumXX, sumXY, sumYY float64
	for _, point := range points {
		dx, dy := point.X-meanX, point.Y-meanY
		sumXX += dx * dx
		sumXY += dx * dy
		sumYY += dy * dy
	}
	if sumXX == 0 {
		return Fit{Intercept: meanY}
	}
	fit := Fit{Slope: sumXY / sumXX, Intercept: meanY - sumXY/sumXX*meanX, R2: 1}
	if sumYY > 0 {
		fit.R2 = sumXY * sumXY / (sumXX * sumYY)
	}
	return fit
}
