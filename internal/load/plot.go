package load

import (
	"fmt"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws the p99 time to first token by account and policy. The extension of the
// file determines its format.
func Plot(results []Result, file string) error {
	if len(results) == 0 {
		return errors.New("no results to draw")
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Time to first token by account, 99th percentile (%s, %s, seed %d)",
		results[0].Deployment, results[0].Scenario, results[0].Seed)
	p.Y.Label.Text = "ms (logarithmic)"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	var names []string
	for _, a := range results[0].Accounts {
		names = append(names, a.Account)
	}
	lowest, highest := 0.0, 0.0
	for i, r := range results {
		var points plotter.XYs
		offset := (float64(i) - float64(len(results)-1)/2) / float64(len(results)+1)
		for j, a := range r.Accounts {
			if a.TTFTP99Ms == 0 {
				continue // no request of the account was completed
			}
			points = append(points, plotter.XY{X: float64(j) + offset, Y: a.TTFTP99Ms})
			highest = max(highest, a.TTFTP99Ms)
			if lowest == 0 || a.TTFTP99Ms < lowest {
				lowest = a.TTFTP99Ms
			}
		}
		if len(points) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		scatter.Color, scatter.Shape, scatter.Radius = plotutil.Color(i), plotutil.Shape(i), vg.Points(5)
		p.Add(scatter)
		p.Legend.Add(r.Policy, scatter)
	}
	if highest == 0 {
		return errors.New("no request was completed")
	}
	const margin = 2
	p.Y.Min, p.Y.Max = lowest/margin, highest*margin*margin
	p.X.Min, p.X.Max = -0.6, float64(len(names))-0.4
	p.Add(plotter.NewGrid())
	p.NominalX(names...)
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "draw")
}
