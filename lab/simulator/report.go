package simulator

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/joomcode/errorx"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Row is the result of one policy on one day.
type Row struct {
	Scenario string  `json:"day"`
	Policy   string  `json:"policy"`
	Worth    float64 `json:"worth"`
	// OfLimit is the worth as a part of the all-knowing scheduler's.
	OracleShare float64 `json:"oflimit"`
	Result      Result  `json:"result"`
}

// Compare plays all days under all policies.
func Compare(days []Scenario, policies []Policy) []Row {
	rows := make([]Row, len(days)*len(policies))
	var wait sync.WaitGroup
	for i, d := range days {
		for j, p := range policies {
			wait.Go(func() {
				r := p.Simulate(d)
				rows[i*len(policies)+j] = Row{Scenario: d.Name, Policy: p.Name, Worth: r.Worth(), Result: r}
			})
		}
	}
	wait.Wait()
	limits := make(map[string]float64)
	for _, r := range rows {
		if r.Policy == OraclePolicy {
			limits[r.Scenario] = r.Worth
		}
	}
	for i, r := range rows {
		if limits[r.Scenario] > 0 {
			rows[i].OracleShare = r.Worth / limits[r.Scenario]
		}
	}
	return rows
}

// Report writes the rows to w as a table, and to a folder as JSON and as a chart.
func Report(rows []Row, dir string, w io.Writer) error {
	fmt.Fprintln(w, "| day | policy | worth | of all-knowing | in time | late | refused | failed | preempted | tokens in vain | moves |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range rows {
		fmt.Fprintf(w, "| %s | %s | %.3f | %.2f | %d | %d | %d | %d | %d | %d | %d |\n", r.Scenario, r.Policy, r.Worth, r.OracleShare,
			r.Result.OnTime, r.Result.Late, r.Result.Refused, r.Result.Failed, r.Result.Preempted, r.Result.WastedTokens, r.Result.Moves)
	}
	data, err := json.MarshalIndent(rows, "", " ")
	if err != nil {
		return errorx.Decorate(err, "simulator: unable to encode the rows")
	}
	if err := os.WriteFile(filepath.Join(dir, "placing.json"), append(data, '\n'), 0o644); err != nil {
		return errorx.Decorate(err, "simulator: unable to write the rows")
	}
	return writeChart(rows, filepath.Join(dir, "placing.svg"))
}

const (
	chartWidth  = 30 * vg.Centimeter
	chartHeight = 11 * vg.Centimeter
	barWidth    = 4 * vg.Millimeter
)

// draw draws the worth of each policy on each day.
func writeChart(rows []Row, path string) error {
	p := plot.New()
	p.Y.Label.Text = "worth"
	p.Y.Min, p.Y.Max = 0, 1.3
	p.Legend.Top = true
	var days, policies []string
	worth := make(map[string]plotter.Values)
	for _, r := range rows {
		if len(days) == 0 || days[len(days)-1] != r.Scenario {
			days = append(days, r.Scenario)
		}
		if worth[r.Policy] == nil {
			policies = append(policies, r.Policy)
		}
		worth[r.Policy] = append(worth[r.Policy], r.Worth)
	}
	for i, name := range policies {
		bars, err := plotter.NewBarChart(worth[name], barWidth)
		if err != nil {
			return errorx.Decorate(err, "simulator: unable to draw %s", name)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(i-len(policies)/2)
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	p.NominalX(days...)
	if err := p.Save(chartWidth, chartHeight, path); err != nil {
		return errorx.Decorate(err, "simulator: unable to save %s", path)
	}
	return nil
}
