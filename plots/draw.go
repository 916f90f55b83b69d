package plots

import (
	"path/filepath"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the SVG format
)

// save writes a chart to a file.
func save(chart *plot.Plot, file string) error {
	if err := chart.Save(width, height, file); err != nil {
		return errors.Wrap(err, "save chart")
	}
	return nil
}

// Draw reads a journal and writes all charts into a directory.
func Draw(journal, directory string) error {
	entries, err := Load(journal)
	if err != nil {
		return err
	}
	return errors.Join(
		drawWorth(entries, filepath.Join(directory, "worth.svg")),
		drawSweep(entries, filepath.Join(directory, "slopes.svg")),
	)
}
