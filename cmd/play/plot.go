package main

import (
	"io"
	"os"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"ibislift/standin/play"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 7 * vg.Inch
)

func parsePolicies(names string) ([]play.Policy, error) {
	list := strings.Split(names, ",")
	if names == "all" {
		list = play.PolicyNames()
	}
	var policies []play.Policy
	for _, name := range list {
		policy, err := play.FindPolicy(name)
		if err != nil {
			return nil, err
		}
		policies = append(policies, policy)
	}
	return policies, nil
}

// plotReports plots the goodput and, below it, the latency of each policy over
// time.
func plotReports(file string, reports []*play.Report) error {
	goodput, latency := plot.New(), plot.New()
	goodput.Title.Text = reports[0].Scenario
	goodput.Y.Label.Text = "responses in time per second"
	latency.Y.Label.Text = "p99 response time, ms"
	latency.X.Label.Text = "seconds"
	for number, report := range reports {
		var offered, inTime, p99 plotter.XYs
		for index, step := range report.Steps {
			at := float64(index) * play.StepTime.Seconds()
			offered = append(offered, plotter.XY{X: at, Y: float64(step.Offered) / play.StepTime.Seconds()})
			inTime = append(inTime, plotter.XY{X: at, Y: float64(step.InTime) / play.StepTime.Seconds()})
			p99 = append(p99, plotter.XY{X: at, Y: float64(step.P99.Milliseconds())})
		}
		if number == 0 {
			if err := addLine(goodput, "offered", len(reports), offered); err != nil {
				return err
			}
		}
		if err := addLine(goodput, report.Policy, number, inTime); err != nil {
			return err
		}
		if err := addLine(latency, report.Policy, number, p99); err != nil {
			return err
		}
	}
	return save(file, goodput, latency)
}

func addLine(chart *plot.Plot, name string, number int, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(number)
	line.Dashes = plotutil.Dashes(number)
	chart.Add(line)
	chart.Legend.Add(name, line)
	chart.Legend.Top = true
	return nil
}

// save writes the charts to a file, one below the other.
func save(file string, charts ...*plot.Plot) error {
	var canvas interface {
		vg.CanvasSizer
		io.WriterTo
	} = vgsvg.New(plotWidth, plotHeight)
	if strings.HasSuffix(file, ".png") {
		canvas = vgimg.PngCanvas{Canvas: vgimg.New(plotWidth, plotHeight)}
	}
	rows := make([][]*plot.Plot, 0, len(charts))
	for _, chart := range charts {
		rows = append(rows, []*plot.Plot{chart})
	}
	tiles := draw.Tiles{Rows: len(charts), Cols: 1, PadY: vg.Points(12), PadRight: vg.Points(12)}
	for row, areas := range plot.Align(rows, tiles, draw.New(canvas)) {
		charts[row].Draw(areas[0])
	}
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(out); err != nil {
		_ = out.Close()
		return err
	}
	return out.Close()
}
