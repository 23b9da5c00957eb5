// Command scalereport draws the result of `silvergate scale` as one page: the summary
// and plots of the run over time. It is a command of its own so that the silvergate
// binary of the controllers doesn't contain the plotting libraries.
//
//	go run ./tools/scalereport DIR      reads DIR/result.json, writes DIR/report.html
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"html/template"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"silvergate/internal/scale"
)

// reportFile is the file name of the page in the run's folder.
const reportFile = "report.html"

func main() {
	if err := writeReport(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "scalereport:", err)
		os.Exit(1)
	}
}

// writeReport reads the result in the folder that args names and writes the page into it.
func writeReport(args []string) error {
	if len(args) != 1 {
		return errors.New("usage: scalereport DIR")
	}
	raw, err := os.ReadFile(filepath.Join(args[0], scale.ResultFile))
	if err != nil {
		return err
	}
	result := &scale.Result{}
	if err := json.Unmarshal(raw, result); err != nil {
		return err
	}
	page, err := render(result)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(args[0], reportFile), page, 0o644)
}

// series is one line of a plot.
type series struct {
	name   string
	points plotter.XYs
}

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>silvergate scale: {{.Name}}</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}pre{white-space:pre-wrap}</style>
<h1>silvergate scale: {{.Name}}</h1>
<pre>{{.Summary}}</pre>
{{range .Plots}}{{.}}
{{end}}</html>
`))

// render returns the page with the summary and the plots.
func render(r *scale.Result) ([]byte, error) {
	plots := []struct {
		title, unit string
		lines       []series
	}{
		{"Task starts", "a second", startSeries(r)},
		{"Tasks and workers", "count", countSeries(r)},
		{"Changes of the state services", "a second", changeSeries(r)},
		{"Requests of the state services", "a second", requestSeries(r)},
	}
	var svgs []template.HTML
	for _, p := range plots {
		svg, err := drawPlot(p.title, p.unit, p.lines)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", p.title, err)
		}
		svgs = append(svgs, svg)
	}
	var out bytes.Buffer
	err := pageTemplate.Execute(&out, struct {
		Name, Summary string
		Plots         []template.HTML
	}{r.Scenario.Name, scale.Summary(r), svgs})
	return out.Bytes(), err
}

// startSeries returns the task starts of each cell between one sample and the next.
func startSeries(r *scale.Result) (out []series) {
	for _, c := range r.Cells {
		line := series{name: fmt.Sprintf("cell %d", c.Number)}
		previous := 0
		for _, s := range c.Samples {
			line.points = append(line.points, plotter.XY{X: s.AtS, Y: float64(s.Starts - previous)})
			previous = s.Starts
		}
		out = append(out, line)
	}
	return out
}

// countSeries returns the running tasks, the workers that are up and the workers that answered,
// summed over all cells.
func countSeries(r *scale.Result) []series {
	running, workers, answered := series{name: "tasks running"}, series{name: "workers up"}, series{name: "workers answered"}
	for _, c := range r.Cells {
		for i, s := range c.Samples {
			if i == len(running.points) {
				running.points = append(running.points, plotter.XY{X: s.AtS})
				workers.points = append(workers.points, plotter.XY{X: s.AtS})
				answered.points = append(answered.points, plotter.XY{X: s.AtS})
			}
			running.points[i].Y += float64(s.Running)
			workers.points[i].Y += float64(s.Workers)
			answered.points[i].Y += float64(s.Answered)
		}
	}
	return []series{running, workers, answered}
}

// rateSeries returns a rate of each state service, and the limit that each is granted.
func rateSeries(r *scale.Result, rate func(scale.Rates) float64, limit float64) (out []series) {
	granted := series{name: "granted to each"}
	for _, s := range r.States {
		line := series{name: fmt.Sprintf("cell %d", s.Cell)}
		for _, at := range s.PerS {
			line.points = append(line.points, plotter.XY{X: at.AtS, Y: rate(at)})
			if s.Cell == 0 {
				granted.points = append(granted.points, plotter.XY{X: at.AtS, Y: limit})
			}
		}
		out = append(out, line)
	}
	return append(out, granted)
}

func changeSeries(r *scale.Result) []series {
	return rateSeries(r, func(x scale.Rates) float64 { return x.Changes }, r.Scenario.State.WriteRPS)
}

func requestSeries(r *scale.Result) []series {
	return rateSeries(r, func(x scale.Rates) float64 { return x.Requests }, r.Scenario.State.RPS)
}

// drawPlot draws lines over time as an SVG element, without the XML header.
func drawPlot(title, unit string, lines []series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", unit
	p.Legend.Top = true
	var args []any
	for _, l := range lines {
		if len(l.points) > 0 {
			args = append(args, l.name, l.points)
		}
	}
	if err := plotutil.AddLines(p, args...); err != nil {
		return "", err
	}
	canvas := vgsvg.New(18*vg.Centimeter, 8*vg.Centimeter)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", err
	}
	_, body, _ := bytes.Cut(svg.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(body)), nil
}
