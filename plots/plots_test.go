package plots_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gonum.org/v1/plot/plotter"

	"dandeliondoor/plots"
)

const digest = `middle / busiest
                              30             100             300  power  at 4140
front: processor %     1.2 / 3.7       1.3 / 7.2      1.9 / 31.9   0.94  372
front: kB a second     22.5 / 53.7     24.6 / 158     45.4 / 974   1.25  26066
config acked, ms       67.0 / 67.0     96.0 / 97.0    186 / 189    0.45  613
`

// TestParseSweep checks that the values of the busiest daemon are read and that
// other lines are skipped.
func TestParseSweep(t *testing.T) {
	t.Parallel()
	curves := plots.ParseSweep(digest)
	if len(curves) != 2 || curves[0].Load != "processor %" || curves[1].Load != "kB a second" {
		t.Fatalf("got %+v", curves)
	}
	for i, busiest := range []float64{53.7, 158, 974} {
		if curves[1].Points[i].Y != busiest {
			t.Errorf("size %d: %v, want %v", i, curves[1].Points[i].Y, busiest)
		}
	}
}

// TestMeanWorth checks that quiet days and runs of other commands are left out.
func TestMeanWorth(t *testing.T) {
	t.Parallel()
	days := []plots.Day{{Worth: 0.9, Slot: "quiet"}, {Worth: 0.6, Slot: "trouble"}, {Worth: 0.4, Slot: "scale"}}
	worth := plots.MeanWorth([]plots.Entry{
		{Command: "run", Site: "a", Days: days},
		{Command: "score", Site: "a", Days: days},
		{Command: "score", Site: "b", Days: days[:1]},
	})
	if len(worth) != 1 || len(worth["a"]) != 1 || worth["a"][0] != (plotter.XY{X: 1, Y: 0.5}) {
		t.Errorf("got %v", worth)
	}
}

// TestDraw checks that both charts are written and that an invalid journal file is
// an error.
func TestDraw(t *testing.T) {
	t.Parallel()
	journal, out := t.TempDir(), t.TempDir()
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(journal, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	at := time.Date(2026, 8, 1, 8, 0, 0, 0, time.UTC).Format(time.RFC3339)
	write("1.json", `{"at":["`+at+`",""],"cmd":"score","site":"a","days":[{"G":0.5,"slot":"trouble"}]}`)
	write("2.json", `{"at":["`+at+`"],"cmd":"sweep","site":"a","digest":"front: wake-ups 1 / 2 3 / 4 5 / 6 0.2 1"}`)
	if err := plots.Draw(journal, out); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"slopes.svg", "worth.svg"} {
		if info, err := os.Stat(filepath.Join(out, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
	write("3.json", "{")
	if err := plots.Draw(journal, out); err == nil {
		t.Error("Draw returned no error for an invalid journal entry")
	}
}
