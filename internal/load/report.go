package load

import (
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of the plot and its range of quantiles.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	plotNines  = 3.0 // up to the quantile 0.999
	plotSteps  = 120
)

// NamedResult is a result with the name under which a report shows it.
type NamedResult struct {
	Name string
	*Result
}

// OpenAll reads results and names each after its file.
func OpenAll(paths []string) ([]NamedResult, error) {
	var all []NamedResult
	for _, path := range paths {
		r, err := Open(path)
		if err != nil {
			return nil, err
		}
		all = append(all, NamedResult{Name: filepath.Base(path), Result: r})
	}
	return all, nil
}

// WriteTable writes a comparison as text.
func WriteTable(w io.Writer, results []NamedResult) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "result\tsent\tcomplete\trefused\twrong\tincomplete\tbroken\texpired\tskipped\tttft p50 ms\tttft p95 ms\tgap p50 ms\tgap p95 ms")
	for _, r := range results {
		c := r.All.Counts
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\n",
			r.Name, c.Sent, c.Complete, c.Refused, c.Wrong, c.Incomplete, c.Broken, c.Expired, c.Skipped,
			r.All.FirstToken.P50MS, r.All.FirstToken.P95MS, r.All.TokenGap.P50MS, r.All.TokenGap.P95MS)
	}
	return eris.Wrap(table.Flush(), "report")
}

// WriteSVG plots time to first token and gap between tokens of each result over
// the quantiles and writes the plot to a file.
func WriteSVG(path string, results []NamedResult) error {
	first, err := quantilePlot("time to first token", results, func(f Figures) Latency { return f.FirstToken })
	if err != nil {
		return err
	}
	gap, err := quantilePlot("gap between tokens", results, func(f Figures) Latency { return f.TokenGap })
	if err != nil {
		return err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 1, Cols: 2, PadX: vg.Points(12), PadRight: vg.Points(8), PadTop: vg.Points(4)}
	plots := [][]*plot.Plot{{first, gap}}
	for i, area := range plot.Align(plots, tiles, draw.New(canvas))[0] {
		plots[0][i].Draw(area)
	}
	return writeFile(path, canvas)
}

func writeFile(path string, content io.WriterTo) error {
	f, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "report")
	}
	if _, err := content.WriteTo(f); err != nil {
		_ = f.Close()
		return eris.Wrap(err, "report")
	}
	return eris.Wrap(f.Close(), "report")
}

func quantilePlot(title string, results []NamedResult, pick func(Figures) Latency) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "quantile"
	p.Y.Label.Text = "ms"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	p.X.Tick.Marker = plot.ConstantTicks{
		{Value: 0, Label: "0"},
		{Value: nines(0.5), Label: "0.5"},
		{Value: nines(0.9), Label: "0.9"},
		{Value: nines(0.95), Label: "0.95"},
		{Value: nines(0.99), Label: "0.99"},
		{Value: nines(0.999), Label: "0.999"},
	}
	p.Add(plotter.NewGrid())
	for i, r := range results {
		points, err := quantiles(pick(r.All))
		if err != nil {
			return nil, err
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, eris.Wrap(err, "report")
		}
		line.Color = plotutil.Color(i)
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(r.Name, line)
	}
	return p, nil
}

// nines maps a quantile to an axis on which 0.9, 0.99 and 0.999 are equally far
// apart.
func nines(quantile float64) float64 { return -math.Log10(1 - quantile) }

// quantiles returns the curve of a histogram; it is empty without values.
func quantiles(l Latency) (plotter.XYs, error) {
	h, err := l.histogram()
	if err != nil {
		return nil, err
	}
	if h.TotalCount() == 0 {
		return nil, nil
	}
	points := make(plotter.XYs, plotSteps+1)
	for i := range points {
		x := plotNines * float64(i) / plotSteps
		quantile := 1 - math.Pow(10, -x)
		points[i] = plotter.XY{X: x, Y: milliseconds(h.ValueAtQuantile(100 * quantile))}
	}
	return points, nil
}
