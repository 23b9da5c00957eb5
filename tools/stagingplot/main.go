// Command stagingplot reads the results of `silvergate bench staging --output
// json` from standard input and draws the start delay of urgent tasks against the
// size of the cluster as an SVG file. It is a command of its own so that the
// silvergate binary of the controllers doesn't contain the plotting libraries.
package main

import (
	"encoding/json"
	"fmt"
	"math"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"silvergate/internal/stagebench"
)

func main() {
	if err := draw(); err != nil {
		fmt.Fprintln(os.Stderr, "stagingplot:", err)
		os.Exit(1)
	}
}

func draw() error {
	if len(os.Args) != 2 {
		return fmt.Errorf("usage: stagingplot FILE.svg < RESULTS.json")
	}
	p := plot.New()
	p.Title.Text = "Start delay of urgent tasks, p99 (simulated, plain data sets)"
	p.X.Label.Text, p.Y.Label.Text = "machines", "seconds"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Y.Max = 3000 // room for the legend
	byStrategy := map[stagebench.Strategy]plotter.XYs{}
	for dec := json.NewDecoder(os.Stdin); dec.More(); {
		var all []stagebench.Result
		if err := dec.Decode(&all); err != nil {
			return err
		}
		for _, r := range all {
			if !r.Zipf {
				byStrategy[r.Way] = append(byStrategy[r.Way], plotter.XY{X: float64(r.Machines), Y: math.Max(r.P99, 0.1)})
			}
		}
	}
	var lines []any
	for _, w := range stagebench.Strategies {
		if len(byStrategy[w]) > 0 {
			lines = append(lines, string(w), byStrategy[w])
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil { // also widens the axes to the data
		return err
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, os.Args[1])
}
