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

// The size of each picture.
const (
	width  = 20 * vg.Centimeter
	height = 11 * vg.Centimeter
)

// quietSlot is the slot of days without trouble.
const quietSlot = "quiet"

// Worth returns for each site the mean worth of the days with trouble of each
// score, numbered from 1.
func Worth(entries []Entry) map[string]plotter.XYs {
	sites := make(map[string]plotter.XYs)
	for _, entry := range entries {
		mean, days := troubleMean(entry)
		if entry.Command != "score" || days == 0 {
			continue
		}
		points := sites[entry.Site]
		sites[entry.Site] = append(points, plotter.XY{X: float64(len(points) + 1), Y: mean})
	}
	return sites
}

func troubleMean(entry Entry) (mean float64, days int) {
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

// drawWorth draws the worth of each site over its scores.
func drawWorth(entries []Entry, file string) error {
	picture := plot.New()
	picture.Title.Text = "Mean worth of the days with trouble"
	picture.X.Label.Text = "score, in order of time"
	picture.Y.Label.Text = "worth"
	sites := Worth(entries)
	var lines []any
	for _, site := range slices.Sorted(maps.Keys(sites)) {
		lines = append(lines, site, sites[site])
	}
	if err := plotutil.AddLinePoints(picture, lines...); err != nil {
		return errors.Wrap(err, "draw worth")
	}
	picture.Legend.Top = false
	return save(picture, file)
}
