package plots

import (
	"maps"
	"slices"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of each chart.
const (
	width  = 20 * vg.Centimeter
	height = 11 * vg.Centimeter
)

// quietSlot is the value of Day.Slot for days without trouble.
const quietSlot = "quiet"

// MeanWorth returns a series for each site: for each of its score runs, numbered from
// 1, the mean worth of the days with trouble. Score runs without such days are
// skipped.
func MeanWorth(entries []Entry) map[string]plotter.XYs {
	sites := make(map[string]plotter.XYs)
	for _, entry := range entries {
		mean, days := meanOfTroubledDays(entry)
		if entry.Command != "score" || days == 0 {
			continue
		}
		points := sites[entry.Site]
		sites[entry.Site] = append(points, plotter.XY{X: float64(len(points) + 1), Y: mean})
	}
	return sites
}

func meanOfTroubledDays(entry Entry) (mean float64, days int) {
	total := 0.0
	for _, day := range entry.Days {
		if day.Slot == quietSlot {
			continue
		}
		total += day.Worth
		days++
	}
	return total / max(float64(days), 1), days
}

// drawWorth draws the mean worth of each site over its score runs.
func drawWorth(entries []Entry, file string) error {
	chart := plot.New()
	chart.Title.Text = "Mean worth of the days with trouble"
	chart.X.Label.Text = "score, in order of time"
	chart.Y.Label.Text = "worth"
	sites := MeanWorth(entries)
	var lines []any
	for _, site := range slices.Sorted(maps.Keys(sites)) {
		lines = append(lines, site, sites[site])
	}
	if err := plotutil.AddLinePoints(chart, lines...); err != nil {
		return errors.Wrap(err, "draw worth")
	}
	chart.Legend.Top = false
	return save(chart, file)
}
