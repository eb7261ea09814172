package merge

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// Dimensions of the diagram in pixels, except for markerRows and maxTicks.
const (
	laneHeight   = 44
	plotWidth    = 1200
	axisHeight   = 30
	markerRadius = 5
	charWidth    = 8
	// markerRows is the number of rows in a lane over which overlapping markers are spread.
	markerRows      = 4
	markerRowHeight = 9
	// maxTicks limits the number of labels on the time axis, so that they do not overlap.
	maxTicks = 10
)

// MaxMarkers limits the events in a diagram. A browser renders 5000 within a second.
const MaxMarkers = 5000

// palette holds the colours of event kinds, which differ in both hue and lightness.
var palette = []string{
	"#1f77b4", "#d62728", "#2ca02c", "#ff7f0e", "#9467bd", "#8c564b",
	"#e377c2", "#17becf", "#7f7f7f", "#bcbd22", "#003f5c", "#a05195",
}

// diagram is the layout of a timeline, in pixels.
type diagram struct {
	Width, Height int
	LaneStart     int
	PlotEnd       int
	From, To      time.Time
	Lanes         []lane
	Ticks         []tick
	Legend        []legendEntry
	RequestPaths  []requestPath
	Markers       []marker
	Omitted       int
	Total         int
}

type lane struct {
	Name string
	Y    int
	// Top is the upper edge of the lane; Y is its middle.
	Top    int
	Shaded bool
}

type tick struct {
	X     int
	Label string
}

type legendEntry struct {
	Kind   timeline.Kind
	Colour string
	Count  int
}

// requestPath is the line that connects the events of one request.
type requestPath struct {
	Request string
	Points  string
}

type marker struct {
	X, Y    int
	Colour  string
	Time    string
	Host    string
	Kind    timeline.Kind
	Detail  string
	Request string
}

// layOut computes the diagram of the first MaxMarkers records.
func (t *Timeline) layOut() *diagram {
	d := &diagram{Total: len(t.Records)}
	records := t.Records
	if len(records) > MaxMarkers {
		d.Omitted = len(records) - MaxMarkers
		records = records[:MaxMarkers]
	}
	lanes := d.layOutLanes(records)
	colours := d.assignColours(records)
	d.layOutTicks(records)
	d.layOutMarkers(records, lanes, colours)
	d.addRequestPaths()
	return d
}

func (d *diagram) layOutLanes(records []timeline.Record) map[string]int {
	var hosts []string
	for i := range records {
		if !slices.Contains(hosts, records[i].Host) {
			hosts = append(hosts, records[i].Host)
		}
	}
	slices.Sort(hosts)
	longest := 0
	laneCentres := make(map[string]int)
	for i, host := range hosts {
		top := axisHeight + i*laneHeight
		laneCentres[host] = top + laneHeight/2
		longest = max(longest, len(host))
		d.Lanes = append(d.Lanes, lane{Name: host, Y: laneCentres[host], Top: top, Shaded: i%2 == 0})
	}
	d.LaneStart = longest*charWidth + 20
	d.PlotEnd = d.LaneStart + plotWidth
	d.Width = d.PlotEnd + 20
	d.Height = axisHeight + len(hosts)*laneHeight + 10
	return laneCentres
}

func (d *diagram) assignColours(records []timeline.Record) map[timeline.Kind]string {
	counts := make(map[timeline.Kind]int)
	for i := range records {
		counts[records[i].Kind]++
	}
	colours := make(map[timeline.Kind]string)
	for kind := range counts {
		d.Legend = append(d.Legend, legendEntry{Kind: kind, Count: counts[kind]})
	}
	slices.SortFunc(d.Legend, func(a, b legendEntry) int { return strings.Compare(string(a.Kind), string(b.Kind)) })
	for i := range d.Legend {
		d.Legend[i].Colour = palette[i%len(palette)]
		colours[d.Legend[i].Kind] = d.Legend[i].Colour
	}
	return colours
}

func (d *diagram) layOutTicks(records []timeline.Record) {
	if len(records) == 0 {
		return
	}
	d.From = records[0].At.Wall()
	d.To = records[len(records)-1].At.Wall()
	step := tickStep(d.To.Sub(d.From))
	for offset := time.Duration(0); offset <= d.To.Sub(d.From); offset += step {
		d.Ticks = append(d.Ticks, tick{X: d.x(d.From.Add(offset)), Label: "+" + offset.String()})
	}
}

// tickStep returns the smallest step of 1, 2 or 5 times a power of ten microseconds that gives at most maxTicks ticks
// in span.
func tickStep(span time.Duration) time.Duration {
	for unit := time.Microsecond; ; unit *= 10 {
		for _, factor := range []time.Duration{1, 2, 5} {
			if span <= factor*unit*(maxTicks-1) {
				return factor * unit
			}
		}
	}
}

func (d *diagram) x(at time.Time) int {
	span := d.To.Sub(d.From)
	if span <= 0 {
		return d.LaneStart
	}
	return d.LaneStart + int(float64(plotWidth)*float64(at.Sub(d.From))/float64(span))
}

func (d *diagram) layOutMarkers(records []timeline.Record, lanes map[string]int, colours map[timeline.Kind]string) {
	rows := make(map[string]int)
	lastX := make(map[string]int)
	for i := range records {
		r := &records[i]
		x := d.x(r.At.Wall())
		if last, ok := lastX[r.Host]; ok && x-last < 2*markerRadius {
			rows[r.Host] = (rows[r.Host] + 1) % markerRows
		} else {
			rows[r.Host] = 0
		}
		lastX[r.Host] = x
		d.Markers = append(d.Markers, marker{
			X: x, Y: lanes[r.Host] + (rows[r.Host]*2-markerRows+1)*markerRowHeight/2,
			Colour: colours[r.Kind], Time: r.At.String(), Host: r.Host, Kind: r.Kind,
			Detail: describe(r), Request: r.Request,
		})
	}
}

// addRequestPaths adds a path for each request with more than one marker.
func (d *diagram) addRequestPaths() {
	points := make(map[string][]string)
	var requests []string
	for _, m := range d.Markers {
		if m.Request == "" {
			continue
		}
		if len(points[m.Request]) == 0 {
			requests = append(requests, m.Request)
		}
		points[m.Request] = append(points[m.Request], fmt.Sprintf("%d,%d", m.X, m.Y))
	}
	for _, request := range requests {
		if len(points[request]) > 1 {
			d.RequestPaths = append(d.RequestPaths, requestPath{Request: request, Points: strings.Join(points[request], " ")})
		}
	}
}
