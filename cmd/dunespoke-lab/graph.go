package main

import (
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// graph is a plot of lines.
type graph struct {
	title, x, y string
	log         bool // both axes are logarithmic: only values above 0 are drawn
	lines       []*graphLine
}

type graphLine struct {
	name   string
	points plotter.XYs
}

func newGraph(title, x, y string) *graph { return &graph{title: title, x: x, y: y} }

func (g *graph) line(name string) *graphLine {
	l := &graphLine{name: name}
	g.lines = append(g.lines, l)
	return l
}

func (l *graphLine) add(x, y float64) { l.points = append(l.points, plotter.XY{X: x, Y: y}) }

// save writes the plot to a file, in the format that its name ends with.
func (g *graph) save(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = g.title, g.x, g.y
	p.Legend.Top, p.Legend.Left = true, true
	if g.log {
		p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
		p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	} else {
		p.Y.Min = 0
	}
	for i, l := range g.lines {
		if g.log {
			l.points = slices.DeleteFunc(l.points, func(p plotter.XY) bool { return p.X <= 0 || p.Y <= 0 })
		}
		if len(l.points) == 0 {
			continue
		}
		line, err := plotter.NewLine(l.points)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(l.name, line)
	}
	return p.Save(14*vg.Centimeter, 9*vg.Centimeter, path)
}

// saveBars writes a plot of bars: for each name of a group one, a colour for each program.
func saveBars(path, title, y string, groups []string, programs []string, values map[string][]float64) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.Y.Min = title, y, 0
	p.Legend.Top = true
	width := vg.Points(25)
	for i, name := range programs {
		bars, err := plotter.NewBarChart(plotter.Values(values[name]), width)
		if err != nil {
			return err
		}
		bars.Color, bars.Offset = plotutil.Color(i), width*vg.Length(float64(i)-float64(len(programs)-1)/2)
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	p.NominalX(groups...)
	return p.Save(14*vg.Centimeter, 9*vg.Centimeter, path)
}
