package trace

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Search finds the lines of one request.
type Search struct {
	// Request is the ID of the request.
	Request string
	// Around is the time before the request's first line and after its last one in
	// which the lines about a daemon that had the request are returned, too.
	Around time.Duration
}

// Result is what a search found.
type Result struct {
	// Began is the time of the request's first line.
	Began time.Time
	// Lines is in the order of time.
	Lines []Line
	// Read is the number of lines that were read.
	Read int
	// Malformed is the number of lines with the ID that are not JSON with a time.
	Malformed int
}

// NotFoundError reports that no log has a line of the request.
type NotFoundError struct {
	Request string
	Read    int
	// Malformed is the number of lines with the ID that are not JSON with a time.
	Malformed int
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line of request %q among %d lines; lines with the ID that are not JSON with a time: %d",
		e.Request, e.Read, e.Malformed)
}

// Files searches the logs in files of JSON lines. Its errors are those of opening and
// reading them, and NotFoundError.
func (s Search) Files(paths []string) (Result, error) {
	var result Result
	own := make(map[string][]Line)
	identities := make(map[string]bool)
	for _, path := range paths {
		read, err := eachLine(path, func(number int, text []byte) {
			if !bytes.Contains(text, []byte(s.Request)) {
				return
			}
			line, err := parseLine(logName(path), number, text)
			if err != nil {
				result.Malformed++
				return
			}
			if line.text(fieldRequest) != s.Request {
				return
			}
			own[path] = append(own[path], line)
			for _, identity := range line.identities() {
				identities[identity] = true
			}
		})
		if err != nil {
			return Result{}, err
		}
		result.Read += read
	}
	if len(own) == 0 {
		return Result{}, &NotFoundError{Request: s.Request, Read: result.Read, Malformed: result.Malformed}
	}
	result.Began = began(own)
	for _, path := range paths {
		related, err := s.related(path, own[path], identities)
		if err != nil {
			return Result{}, err
		}
		result.Lines = append(append(result.Lines, own[path]...), related...)
	}
	slices.SortStableFunc(result.Lines, compareLines)
	return result, nil
}

// began returns the time of the first of the lines of several logs.
func began(own map[string][]Line) time.Time {
	var first time.Time
	for _, lines := range own {
		for _, l := range lines {
			if first.IsZero() || l.Time.Before(first) {
				first = l.Time
			}
		}
	}
	return first
}

// compareLines orders lines by time, and those of one log as they were written.
func compareLines(a, b Line) int {
	if order := a.Time.Compare(b.Time); order != 0 || a.Log != b.Log {
		return order
	}
	return a.Number - b.Number
}

// related returns the lines of a log that are not about one request: those about the same
// content, and those about the daemon while it had the request.
func (s Search) related(path string, own []Line, identities map[string]bool) ([]Line, error) {
	if len(identities) == 0 && (len(own) == 0 || s.Around == 0) {
		return nil, nil
	}
	var related []Line
	_, err := eachLine(path, func(number int, text []byte) {
		line, err := parseLine(logName(path), number, text)
		if err != nil || line.text(fieldRequest) != "" {
			return
		}
		sameContent := slices.ContainsFunc(line.identities(), func(identity string) bool { return identities[identity] })
		if sameContent || s.isAround(line, own) {
			related = append(related, line)
		}
	})
	return related, err
}

func (s Search) isAround(line Line, own []Line) bool {
	if s.Around == 0 || len(own) == 0 {
		return false
	}
	first, last := own[0].Time, own[len(own)-1].Time
	return !line.Time.Before(first.Add(-s.Around)) && !line.Time.After(last.Add(s.Around))
}

// eachLine calls a function for each line of a file and returns the number of lines.
func eachLine(path string, do func(number int, text []byte)) (int, error) {
	file, err := os.Open(path)
	if err != nil {
		return 0, errors.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }() // It was only read.
	reader := bufio.NewReader(file)
	for number := 1; ; number++ {
		text, err := reader.ReadBytes('\n')
		if len(text) > 0 {
			do(number, text)
		}
		switch {
		case errors.Is(err, io.EOF) && len(text) == 0:
			return number - 1, nil
		case errors.Is(err, io.EOF):
			return number, nil
		case err != nil:
			return 0, errors.Wrapf(err, "read log %s", path)
		}
	}
}

// logName returns the name of a log: that of its file without the extension.
func logName(path string) string {
	name := filepath.Base(path)
	return strings.TrimSuffix(name, filepath.Ext(name))
}
