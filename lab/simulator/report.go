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

// Row is the result of one policy in one scenario.
type Row struct {
	Scenario string  `json:"day"`
	Policy   string  `json:"policy"`
	Worth    float64 `json:"worth"`
	// OracleShare is Worth divided by that of the oracle scheduler.
	OracleShare float64 `json:"oflimit"`
	Result      Result  `json:"result"`
}

// Compare runs every scenario under every policy. Rows are in order of scenarios, then of policies.
func Compare(scenarios []Scenario, policies []Policy) []Row {
	rows := make([]Row, len(scenarios)*len(policies))
	var wg sync.WaitGroup
	for i, s := range scenarios {
		for j, p := range policies {
			wg.Go(func() {
				r := p.Simulate(s)
				rows[i*len(policies)+j] = Row{Scenario: s.Name, Policy: p.Name, Worth: r.Worth(), Result: r}
			})
		}
	}
	wg.Wait()
	oracleWorth := make(map[string]float64)
	for _, r := range rows {
		if r.Policy == OraclePolicy {
			oracleWorth[r.Scenario] = r.Worth
		}
	}
	for i, r := range rows {
		if oracleWorth[r.Scenario] > 0 {
			rows[i].OracleShare = r.Worth / oracleWorth[r.Scenario]
		}
	}
	return rows
}

// Report writes the rows to w as a Markdown table, and to dir as JSON and as an SVG chart.
func Report(rows []Row, dir string, w io.Writer) error {
	fmt.Fprintln(w, "| scenario | policy | worth | share of the oracle | in time | late | refused | failed | preempted | wasted tokens | moves |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range rows {
		fmt.Fprintf(w, "| %s | %s | %.3f | %.2f | %d | %d | %d | %d | %d | %d | %d |\n", r.Scenario, r.Policy, r.Worth, r.OracleShare,
			r.Result.OnTime, r.Result.Late, r.Result.Refused, r.Result.Failed, r.Result.Preempted, r.Result.WastedTokens, r.Result.Moves)
	}
	data, err := json.MarshalIndent(rows, "", " ")
	if err != nil {
		return errorx.Decorate(err, "simulator: unable to encode the rows as JSON")
	}
	if err := os.WriteFile(filepath.Join(dir, "placing.json"), append(data, '\n'), 0o644); err != nil {
		return errorx.Decorate(err, "simulator: unable to write the rows to placing.json")
	}
	return writeChart(rows, filepath.Join(dir, "placing.svg"))
}

const (
	chartWidth  = 30 * vg.Centimeter
	chartHeight = 11 * vg.Centimeter
	barWidth    = 4 * vg.Millimeter
)

// writeChart saves a bar chart of the worth of each policy in each scenario.
func writeChart(rows []Row, path string) error {
	p := plot.New()
	p.Y.Label.Text = "worth"
	p.Y.Min, p.Y.Max = 0, 1.3
	p.Legend.Top = true
	var scenarios, policies []string
	worth := make(map[string]plotter.Values)
	for _, r := range rows {
		if len(scenarios) == 0 || scenarios[len(scenarios)-1] != r.Scenario {
			scenarios = append(scenarios, r.Scenario)
		}
		if worth[r.Policy] == nil {
			policies = append(policies, r.Policy)
		}
		worth[r.Policy] = append(worth[r.Policy], r.Worth)
	}
	for i, name := range policies {
		bars, err := plotter.NewBarChart(worth[name], barWidth)
		if err != nil {
			return errorx.Decorate(err, "simulator: unable to draw the bars of policy %s", name)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(i-len(policies)/2)
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	p.NominalX(scenarios...)
	if err := p.Save(chartWidth, chartHeight, path); err != nil {
		return errorx.Decorate(err, "simulator: unable to save the chart to %s", path)
	}
	return nil
}
