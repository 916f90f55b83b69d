package check

import (
	"fmt"
	"strings"
)

// Position is a position in a named input. Line and Column count from 1 and are 0
// if unknown.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns the position as file:line:column, or the file alone if the line is
// unknown.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Finding is an error in an input.
type Finding struct {
	Position Position
	Message  string
}

// String returns the finding as one line.
func (f Finding) String() string {
	return f.Position.String() + ": " + f.Message
}

// Findings are all errors in an input. An empty list is not a nil error; Err returns
// nil for it.
type Findings []Finding

var _ error = Findings{}

// Error returns one line for each finding.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Add appends a finding with a formatted message.
func (f *Findings) Add(position Position, format string, args ...any) {
	*f = append(*f, Finding{Position: position, Message: fmt.Sprintf(format, args...)})
}
