package merge

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// Sizes of the picture, in pixels.
const (
	laneHeight = 44
	plotWidth  = 1200
	headHeight = 30
	markRadius = 5
	charWidth  = 8
	// markRows is the number of rows of a lane over which marks at the same place are spread.
	markRows = 4
	rowStep  = 9
	// maxTicks bounds the labels of the time axis, so that they do not overlap.
	maxTicks = 10
)

// MaxMarkers bounds the events in a picture. A browser draws this many within a second.
const MaxMarkers = 5000

// palette has colours that differ in hue and lightness.
var palette = []string{
	"#1f77b4", "#d62728", "#2ca02c", "#ff7f0e", "#9467bd", "#8c564b",
	"#e377c2", "#17becf", "#7f7f7f", "#bcbd22", "#003f5c", "#a05195",
}

// picture is a time line with positions.
type picture struct {
	Width, Height int
	LaneStart     int
	PlotEnd       int
	From, To      time.Time
	Lanes         []lane
	Ticks         []tick
	Kinds         []kindColour
	Paths         []path
	Marks         []mark
	Omitted       int
	Total         int
}

type lane struct {
	Name string
	Y    int
	// Top is the upper edge.
	Top    int
	Shaded bool
}

type tick struct {
	X     int
	Label string
}

type kindColour struct {
	Kind   timeline.Kind
	Colour string
	Count  int
}

// path connects the events of one request.
type path struct {
	Request string
	Points  string
}

type mark struct {
	X, Y    int
	Colour  string
	Time    string
	Host    string
	Kind    timeline.Kind
	Detail  string
	Request string
}

// draw places the first MaxMarks records.
func (t *Timeline) draw() *picture {
	p := &picture{Total: len(t.Records)}
	records := t.Records
	if len(records) > MaxMarkers {
		p.Omitted = len(records) - MaxMarkers
		records = records[:MaxMarkers]
	}
	lanes := p.placeLanes(records)
	colours := p.chooseColours(records)
	p.placeTicks(records)
	p.placeMarks(records, lanes, colours)
	p.connect()
	return p
}

func (p *picture) placeLanes(records []timeline.Record) map[string]int {
	var hosts []string
	for i := range records {
		if !slices.Contains(hosts, records[i].Host) {
			hosts = append(hosts, records[i].Host)
		}
	}
	slices.Sort(hosts)
	longest := 0
	middle := make(map[string]int)
	for i, host := range hosts {
		top := headHeight + i*laneHeight
		middle[host] = top + laneHeight/2
		longest = max(longest, len(host))
		p.Lanes = append(p.Lanes, lane{Name: host, Y: middle[host], Top: top, Shaded: i%2 == 0})
	}
	p.LaneStart = longest*charWidth + 20
	p.PlotEnd = p.LaneStart + plotWidth
	p.Width = p.PlotEnd + 20
	p.Height = headHeight + len(hosts)*laneHeight + 10
	return middle
}

func (p *picture) chooseColours(records []timeline.Record) map[timeline.Kind]string {
	counts := make(map[timeline.Kind]int)
	for i := range records {
		counts[records[i].Kind]++
	}
	colours := make(map[timeline.Kind]string)
	for kind := range counts {
		p.Kinds = append(p.Kinds, kindColour{Kind: kind, Count: counts[kind]})
	}
	slices.SortFunc(p.Kinds, func(a, b kindColour) int { return strings.Compare(string(a.Kind), string(b.Kind)) })
	for i := range p.Kinds {
		p.Kinds[i].Colour = palette[i%len(palette)]
		colours[p.Kinds[i].Kind] = p.Kinds[i].Colour
	}
	return colours
}

func (p *picture) placeTicks(records []timeline.Record) {
	if len(records) == 0 {
		return
	}
	p.From = records[0].At.Wall()
	p.To = records[len(records)-1].At.Wall()
	step := tickStep(p.To.Sub(p.From))
	for offset := time.Duration(0); offset <= p.To.Sub(p.From); offset += step {
		p.Ticks = append(p.Ticks, tick{X: p.x(p.From.Add(offset)), Label: "+" + offset.String()})
	}
}

// tickStep returns a round step with at most maxTicks in span.
func tickStep(span time.Duration) time.Duration {
	for unit := time.Microsecond; ; unit *= 10 {
		for _, factor := range []time.Duration{1, 2, 5} {
			if span <= factor*unit*(maxTicks-1) {
				return factor * unit
			}
		}
	}
}

func (p *picture) x(at time.Time) int {
	span := p.To.Sub(p.From)
	if span <= 0 {
		return p.LaneStart
	}
	return p.LaneStart + int(float64(plotWidth)*float64(at.Sub(p.From))/float64(span))
}

func (p *picture) placeMarks(records []timeline.Record, lanes map[string]int, colours map[timeline.Kind]string) {
	rows := make(map[string]int)
	lastX := make(map[string]int)
	for i := range records {
		r := &records[i]
		x := p.x(r.At.Wall())
		if last, ok := lastX[r.Host]; ok && x-last < 2*markRadius {
			rows[r.Host] = (rows[r.Host] + 1) % markRows
		} else {
			rows[r.Host] = 0
		}
		lastX[r.Host] = x
		p.Marks = append(p.Marks, mark{
			X: x, Y: lanes[r.Host] + (rows[r.Host]*2-markRows+1)*rowStep/2,
			Colour: colours[r.Kind], Time: r.At.String(), Host: r.Host, Kind: r.Kind,
			Detail: description(r), Request: r.Request,
		})
	}
}

// connect draws a path through the events of each request that has several.
func (p *picture) connect() {
	points := make(map[string][]string)
	var requests []string
	for _, m := range p.Marks {
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
			p.Paths = append(p.Paths, path{Request: request, Points: strings.Join(points[request], " ")})
		}
	}
}
