package pubs

import (
	"fmt"
	"slices"
	"strings"

	"dandeliondoor/fold"
	"dandeliondoor/model"
)

// Plan returns the changes that turn state into documents. With prune, it also
// deletes the documents of state that are missing from documents.
func Plan(state *fold.State, documents []model.Document, prune bool) []fold.Change {
	var changes []fold.Change
	declared := make(map[string]struct{}, len(documents))
	for _, document := range documents {
		declared[document.Name] = struct{}{}
		current, _ := state.Document(document.Name)
		if current.Revision > 0 && !current.Deleted && current.Body == document.Body {
			continue
		}
		changes = append(changes, fold.Change{Name: document.Name, Base: current.Revision, Body: document.Body})
	}
	if prune {
		changes = append(changes, deletions(state, declared)...)
	}
	slices.SortFunc(changes, func(a, b fold.Change) int { return strings.Compare(a.Name, b.Name) })
	return changes
}

func deletions(state *fold.State, declared map[string]struct{}) []fold.Change {
	var changes []fold.Change
	for _, document := range state.Documents() {
		if _, kept := declared[document.Name]; !kept && !document.Deleted {
			changes = append(changes, fold.Change{Name: document.Name, Base: document.Revision, Deleted: true})
		}
	}
	return changes
}

// Diff returns the lines that changes remove and add, with a section for each
// document.
func Diff(state *fold.State, changes []fold.Change) string {
	if len(changes) == 0 {
		return "nothing differs from what is in force\n"
	}
	var text strings.Builder
	for _, change := range changes {
		current, _ := state.Document(change.Name)
		fmt.Fprintf(&text, "%s: revision %d becomes %d", change.Name, change.Base, change.Base+1)
		if change.Deleted {
			text.WriteString(", deleted")
		}
		text.WriteString("\n")
		writeDiff(&text, current.Body, change.Body)
	}
	return text.String()
}

// writeDiff writes the lines of two texts between their common prefix and their
// common suffix.
func writeDiff(text *strings.Builder, before, after string) {
	oldLines, newLines := splitLines(before), splitLines(after)
	start := 0
	for start < len(oldLines) && start < len(newLines) && oldLines[start] == newLines[start] {
		start++
	}
	end := 0
	for end < len(oldLines)-start && end < len(newLines)-start && oldLines[len(oldLines)-1-end] == newLines[len(newLines)-1-end] {
		end++
	}
	for _, line := range oldLines[start : len(oldLines)-end] {
		text.WriteString("  - " + line + "\n")
	}
	for _, line := range newLines[start : len(newLines)-end] {
		text.WriteString("  + " + line + "\n")
	}
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}
