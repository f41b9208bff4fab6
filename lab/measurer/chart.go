package measurer

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/joomcode/errorx"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	chartWidth  = 16 * vg.Centimeter
	chartHeight = 10 * vg.Centimeter
)

// DrawCharts writes the charts for the rows in dir/rows.json again.
func DrawCharts(dir string) error {
	data, err := os.ReadFile(filepath.Join(dir, "rows.json"))
	if err != nil {
		return errorx.Decorate(err, "measurer: unable to read rows.json")
	}
	var rows []Row
	if err := json.Unmarshal(data, &rows); err != nil {
		return errorx.Decorate(err, "measurer: unable to decode rows.json as an array of rows")
	}
	return writeCharts(dir, rows)
}

// writeCharts writes a chart of goodput and one of wasted prefill over the offered load for each deployment.
func writeCharts(dir string, rows []Row) error {
	var deployments []string
	for _, r := range rows {
		if !slices.Contains(deployments, r.Deployment) {
			deployments = append(deployments, r.Deployment)
		}
	}
	for _, d := range deployments {
		goodput := func(r Row) float64 { return r.Goodput() }
		waste := func(r Row) float64 { return 100 * r.Result.WastedShare }
		if err := writeChart(dir, d, "goodput", "goodput", rows, goodput, true); err != nil {
			return err
		}
		if err := writeChart(dir, d, "waste", "wasted prefill, %", rows, waste, false); err != nil {
			return err
		}
	}
	return nil
}

func writeChart(dir, deployment, name, label string, rows []Row, value func(Row) float64, oracle bool) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %s", deployment, label)
	p.X.Label.Text = "offered load, share of capacity"
	p.Y.Label.Text = label
	p.Y.Min = 0
	p.Legend.Top = false
	p.Legend.Left = true
	var lines []any
	for _, policy := range Policies {
		if points := series(rows, deployment, policy, value); len(points) > 0 {
			lines = append(lines, policy, points)
		}
	}
	if oracle {
		lines = append(lines, "oracle queue", series(rows, deployment, Policies[0], func(r Row) float64 { return r.Oracle }))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errorx.Decorate(err, "measurer: unable to draw the lines of the %s chart", name)
	}
	path := filepath.Join(dir, deployment+"-"+name+".svg")
	if err := p.Save(chartWidth, chartHeight, path); err != nil {
		return errorx.Decorate(err, "measurer: unable to save the chart to %s", path)
	}
	return nil
}

// series returns the mean over seeds at each load. Runs with faults are left out.
func series(rows []Row, deployment, policy string, value func(Row) float64) plotter.XYs {
	sums := make(map[float64][2]float64)
	for _, r := range rows {
		if r.Deployment == deployment && r.Policy == policy && r.Fault == "" {
			s := sums[r.Load]
			sums[r.Load] = [2]float64{s[0] + value(r), s[1] + 1}
		}
	}
	var points plotter.XYs
	for load, s := range sums {
		points = append(points, plotter.XY{X: load, Y: s[0] / s[1]})
	}
	slices.SortFunc(points, func(a, b plotter.XY) int {
		if a.X < b.X {
			return -1
		}
		return 1
	})
	return points
}
