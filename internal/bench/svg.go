package bench

import (
	"fmt"
	"html"
	"io"
	"math"
	"strings"
)

const (
	svgWidth  = 900
	svgHeight = 420
	// svgMargin is the width of the margin for labels and the legend, in pixels.
	svgMargin = 60
	svgTicks  = 5
)

// lineColors are distinguishable under the common forms of colour blindness.
var lineColors = []string{"#0072b2", "#e69f00", "#009e73", "#d55e00", "#cc79a7", "#56b4e9"}

// scale maps chart values to pixel coordinates.
type scale struct {
	minX, maxX, minY, maxY float64
}

// WriteSVG writes the chart as an SVG image.
func (c *Chart) WriteSVG(w io.Writer) error {
	var svg strings.Builder
	fmt.Fprintf(&svg, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" font-family="sans-serif" font-size="12">`+"\n", svgWidth, svgHeight)
	fmt.Fprintf(&svg, `<rect width="%d" height="%d" fill="white"/>`+"\n", svgWidth, svgHeight)
	scale := c.scale()
	c.drawAxes(&svg, scale)
	for i, line := range c.Lines {
		drawLine(&svg, scale, line, i)
	}
	svg.WriteString("</svg>\n")
	_, err := io.WriteString(w, svg.String())
	return err
}

// scale returns the bounds of all points. It widens an empty range, which would lead to a division by zero.
func (c *Chart) scale() scale {
	s := scale{minX: math.Inf(1), maxX: math.Inf(-1), minY: math.Inf(1), maxY: math.Inf(-1)}
	for _, line := range c.Lines {
		for _, point := range line.Points {
			s.minX, s.maxX = min(s.minX, point.X), max(s.maxX, point.X)
			s.minY, s.maxY = min(s.minY, point.Y), max(s.maxY, point.Y)
		}
	}
	if s.minX > s.maxX {
		return scale{maxX: 1, maxY: 1}
	}
	if s.minX == s.maxX {
		s.maxX++
	}
	if s.minY == s.maxY {
		s.maxY++
	}
	return s
}

func (s scale) x(value float64) float64 {
	return svgMargin + (value-s.minX)/(s.maxX-s.minX)*(svgWidth-2*svgMargin)
}

func (s scale) y(value float64) float64 {
	return svgHeight - svgMargin - (value-s.minY)/(s.maxY-s.minY)*(svgHeight-2*svgMargin)
}

func (c *Chart) drawAxes(svg *strings.Builder, s scale) {
	for i := range svgTicks + 1 {
		fraction := float64(i) / svgTicks
		x, y := s.minX+fraction*(s.maxX-s.minX), s.minY+fraction*(s.maxY-s.minY)
		fmt.Fprintf(svg, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ddd"/>`+"\n", svgMargin, svgWidth-svgMargin, s.y(y), s.y(y))
		fmt.Fprintf(svg, `<text x="%d" y="%.1f" text-anchor="end">%s</text>`+"\n", svgMargin-6, s.y(y)+4, formatNumber(y))
		fmt.Fprintf(svg, `<text x="%.1f" y="%d" text-anchor="middle">%s</text>`+"\n", s.x(x), svgHeight-svgMargin+18, formatNumber(x))
	}
	fmt.Fprintf(svg, `<text x="%d" y="%d" text-anchor="middle">%s</text>`+"\n", svgWidth/2, svgHeight-16, html.EscapeString(c.XLabel))
	fmt.Fprintf(svg, `<text x="%d" y="20">%s</text>`+"\n", svgMargin, html.EscapeString(c.YLabel))
}

func drawLine(svg *strings.Builder, s scale, line Line, index int) {
	color := lineColors[index%len(lineColors)]
	points := make([]string, len(line.Points))
	for i, point := range line.Points {
		points[i] = fmt.Sprintf("%.1f,%.1f", s.x(point.X), s.y(point.Y))
	}
	fmt.Fprintf(svg, `<polyline fill="none" stroke="%s" points="%s"/>`+"\n", color, strings.Join(points, " "))
	fmt.Fprintf(svg, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", svgMargin+10+index*200, svgMargin-22, color, html.EscapeString(line.Name))
}
