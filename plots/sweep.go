package plots

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
)

// sweepSizes are the numbers of machines with which a sweep runs its day.
var sweepSizes = []float64{30, 100, 300}

// LoadCurve is the growth of one load of the busiest daemon with the number of
// machines.
type LoadCurve struct {
	Load   string
	Points plotter.XYs
}

// ParseSweep reads the load curves of the busiest daemon from the table of a sweep.
// Each line that starts with "front: " holds the name of a load and, for each of
// sweepSizes, the values of the middle and of the busiest daemon. Lines without a
// positive value of the busiest daemon for each size are skipped.
func ParseSweep(digest string) []LoadCurve {
	var curves []LoadCurve
	for line := range strings.Lines(digest) {
		load, found := strings.CutPrefix(line, "front: ")
		parts := strings.Split(load, " / ")
		if !found || len(parts) != len(sweepSizes)+1 {
			continue
		}
		name := strings.TrimRight(strings.TrimRight(parts[0], "0123456789."), " ")
		curve := LoadCurve{Load: name}
		for i, size := range sweepSizes {
			busiest, _, _ := strings.Cut(strings.TrimSpace(parts[i+1]), " ")
			value, err := strconv.ParseFloat(busiest, 64)
			if err != nil || value <= 0 {
				break
			}
			curve.Points = append(curve.Points, plotter.XY{X: size, Y: value})
		}
		if len(curve.Points) == len(sweepSizes) {
			curves = append(curves, curve)
		}
	}
	return curves
}

// drawSweep draws the load curves of the last sweep on logarithmic axes.
func drawSweep(entries []Entry, file string) error {
	digest := ""
	for _, entry := range entries {
		if entry.Command == "sweep" {
			digest = entry.Digest
		}
	}
	chart := plot.New()
	chart.Title.Text = "Load of the busiest daemon"
	chart.X.Label.Text = "machines"
	chart.Y.Label.Text = "load, in the unit of each line"
	chart.X.Scale, chart.Y.Scale = plot.LogScale{}, plot.LogScale{}
	chart.X.Tick.Marker, chart.Y.Tick.Marker = plot.LogTicks{}, plot.LogTicks{}
	var lines []any
	for _, curve := range ParseSweep(digest) {
		lines = append(lines, curve.Load, curve.Points)
	}
	if len(lines) == 0 {
		return errNoSweep
	}
	if err := plotutil.AddLinePoints(chart, lines...); err != nil {
		return errors.Wrap(err, "draw load curves")
	}
	chart.Legend.Top, chart.Legend.Left = true, true
	return save(chart, file)
}

var errNoSweep = errors.New("the journal has no sweep")
