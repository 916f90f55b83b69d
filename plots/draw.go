package plots

import (
	"path/filepath"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgsvg" // the format of the pictures
)

// save writes a picture to a file.
func save(picture *plot.Plot, file string) error {
	if err := picture.Save(width, height, file); err != nil {
		return errors.Wrap(err, "save picture")
	}
	return nil
}

// Draw writes all pictures of a journal into a directory.
func Draw(journal, directory string) error {
	entries, err := Load(journal)
	if err != nil {
		return err
	}
	return errors.Join(
		drawWorth(entries, filepath.Join(directory, "worth.svg")),
		drawSlopes(entries, filepath.Join(directory, "slopes.svg")),
	)
}
