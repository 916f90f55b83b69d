package check

import (
	"fmt"
	"strings"
)

// Position is a position in a named input; Line and Column count from 1 and are
// 0 where unknown.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns the place as file:line:column.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Finding is one fault of an input.
type Finding struct {
	Position Position
	Message  string
}

// String returns the finding as one line.
func (f Finding) String() string {
	return f.Position.String() + ": " + f.Message
}

// Findings are all faults of an input; it is an error when not empty.
type Findings []Finding

var _ error = Findings{}

// Error returns one finding a line.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil when there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Add appends a finding with a formatted message.
func (f *Findings) Add(place Position, format string, args ...any) {
	*f = append(*f, Finding{Position: place, Message: fmt.Sprintf(format, args...)})
}
