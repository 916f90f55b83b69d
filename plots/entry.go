package plots

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Entry is one benchmark run as stored in the journal. At holds its start and end
// times in RFC 3339; the end is empty if the run was aborted.
type Entry struct {
	At      []string `json:"at"`
	Command string   `json:"cmd"`
	Site    string   `json:"site"`
	Days    []Day    `json:"days"`
	Digest  string   `json:"digest"`
}

// Day is one day of a run. Worth is its credit minus its prices and is not limited
// to 1.
type Day struct {
	Worth float64 `json:"G"`
	Slot  string  `json:"slot"`
}

// Load reads all entries of a journal that have a start time, sorted by it.
func Load(directory string) ([]Entry, error) {
	files, err := filepath.Glob(filepath.Join(directory, "*.json"))
	if err != nil {
		return nil, errors.Wrap(err, "list journal")
	}
	entries := make([]Entry, 0, len(files))
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "read journal")
		}
		var entry Entry
		if err := json.Unmarshal(data, &entry); err != nil {
			return nil, errors.Wrap(err, file)
		}
		if len(entry.At) > 0 {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.At[0], b.At[0]) })
	return entries, nil
}
