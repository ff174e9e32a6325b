// Package plots draws line plots.
package plots

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	width  = 8 * vg.Inch
	height = 4 * vg.Inch
)

// Point is a point of a line.
type Point struct{ X, Y float64 }

// Line is a named line of a plot.
type Line struct {
	Name   string
	Points []Point
}

// Picture describes a plot.
type Picture struct {
	Title string
	X, Y  string
	Lines []Line
	// LogY makes the Y axis logarithmic. All values must then be above 0.
	LogY bool
}

// Write writes the plot to a PNG file.
func (p Picture) Write(file string) error {
	canvas := plot.New()
	canvas.Title.Text = p.Title
	canvas.X.Label.Text = p.X
	canvas.Y.Label.Text = p.Y
	if p.LogY {
		canvas.Y.Scale = plot.LogScale{}
		canvas.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	for i, l := range p.Lines {
		points := make(plotter.XYs, len(l.Points))
		for k, point := range l.Points {
			points[k] = plotter.XY{X: point.X, Y: point.Y}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("create line %s: %w", l.Name, err)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		canvas.Add(line)
		canvas.Legend.Add(l.Name, line)
	}
	canvas.Add(plotter.NewGrid())
	if err := canvas.Save(width, height, file); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
