package plots

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
)

// sweepSizes are the machines at which a sweep plays its day.
var sweepSizes = []float64{30, 100, 300}

// Slope is how a load of the busiest daemon grows with the machines.
type Slope struct {
	Load   string
	Points plotter.XYs
}

// Slopes reads the loads from the table of a sweep, whose lines have the name of
// a load and, for each size, the middle and the busiest daemon.
func Slopes(digest string) []Slope {
	var slopes []Slope
	for line := range strings.Lines(digest) {
		load, found := strings.CutPrefix(line, "front: ")
		parts := strings.Split(load, " / ")
		if !found || len(parts) != len(sweepSizes)+1 {
			continue
		}
		name := strings.TrimRight(strings.TrimRight(parts[0], "0123456789."), " ")
		slope := Slope{Load: name}
		for i, size := range sweepSizes {
			busiest, _, _ := strings.Cut(strings.TrimSpace(parts[i+1]), " ")
			value, err := strconv.ParseFloat(busiest, 64)
			if err != nil || value <= 0 {
				break
			}
			slope.Points = append(slope.Points, plotter.XY{X: size, Y: value})
		}
		if len(slope.Points) == len(sweepSizes) {
			slopes = append(slopes, slope)
		}
	}
	return slopes
}

// drawSlopes draws the loads of the last sweep, both axes logarithmic.
func drawSlopes(entries []Entry, file string) error {
	digest := ""
	for _, entry := range entries {
		if entry.Command == "sweep" {
			digest = entry.Digest
		}
	}
	picture := plot.New()
	picture.Title.Text = "Load of the busiest daemon"
	picture.X.Label.Text = "machines"
	picture.Y.Label.Text = "load, in the unit of each line"
	picture.X.Scale, picture.Y.Scale = plot.LogScale{}, plot.LogScale{}
	picture.X.Tick.Marker, picture.Y.Tick.Marker = plot.LogTicks{}, plot.LogTicks{}
	var lines []any
	for _, slope := range Slopes(digest) {
		lines = append(lines, slope.Load, slope.Points)
	}
	if len(lines) == 0 {
		return errNoSweep
	}
	if err := plotutil.AddLinePoints(picture, lines...); err != nil {
		return errors.Wrap(err, "draw slopes")
	}
	picture.Legend.Top, picture.Legend.Left = true, true
	return save(picture, file)
}

var errNoSweep = errors.New("the journal has no sweep")
