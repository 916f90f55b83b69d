package trace

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// The fields of a line that are not printed with the others.
const (
	fieldTime    = "time"
	fieldMessage = "msg"
	fieldLevel   = "level"
	fieldRequest = "request_id"
)

// The fields with which a daemon names what a request has in common with its
// repetitions.
const (
	fieldFingerprint = "fingerprint"
	fieldContent     = "content"
)

var errNoTime = errors.New("line has no time")

// Line is a line of a daemon's log.
type Line struct {
	Log     string
	Number  int
	Time    time.Time
	Message string
	fields  map[string]any
}

// parseLine parses a line in JSON.
func parseLine(log string, number int, text []byte) (Line, error) {
	l := Line{Log: log, Number: number}
	if err := json.Unmarshal(text, &l.fields); err != nil {
		return Line{}, errors.Wrap(err, "decode line")
	}
	moment, err := time.Parse(time.RFC3339Nano, l.text(fieldTime))
	if err != nil {
		return Line{}, errNoTime
	}
	l.Time, l.Message = moment, l.text(fieldMessage)
	return l, nil
}

// text returns a field, or an empty string.
func (l Line) text(name string) string {
	text, _ := l.fields[name].(string)
	return text
}

// identities returns the fingerprints in the line. One of zeros means that the request was
// answered before it was known.
func (l Line) identities() []string {
	var identities []string
	for _, name := range []string{fieldFingerprint, fieldContent} {
		if identity := l.text(name); strings.Trim(identity, "0") != "" {
			identities = append(identities, identity)
		}
	}
	return identities
}

// Fields returns the other fields as name=value, sorted by name.
func (l Line) Fields() string {
	var parts []string
	for name, value := range l.fields {
		if slices.Contains([]string{fieldTime, fieldMessage, fieldLevel, fieldRequest}, name) {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
