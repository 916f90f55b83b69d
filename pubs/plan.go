package pubs

import (
	"fmt"
	"slices"
	"strings"

	"dandeliondoor/fold"
	"dandeliondoor/model"
)

// Plan returns the changes that lead from a state to documents. Documents that
// are in force but not given are deleted only when prune is set.
func Plan(state *fold.State, documents []model.Document, prune bool) []fold.Change {
	var changes []fold.Change
	given := make(map[string]struct{}, len(documents))
	for _, document := range documents {
		given[document.Name] = struct{}{}
		current, _ := state.Document(document.Name)
		if current.Revision > 0 && !current.Deleted && current.Body == document.Body {
			continue
		}
		changes = append(changes, fold.Change{Name: document.Name, Base: current.Revision, Body: document.Body})
	}
	if prune {
		changes = append(changes, deletions(state, given)...)
	}
	slices.SortFunc(changes, func(a, b fold.Change) int { return strings.Compare(a.Name, b.Name) })
	return changes
}

func deletions(state *fold.State, given map[string]struct{}) []fold.Change {
	var changes []fold.Change
	for _, document := range state.Documents() {
		if _, kept := given[document.Name]; !kept && !document.Deleted {
			changes = append(changes, fold.Change{Name: document.Name, Base: document.Revision, Deleted: true})
		}
	}
	return changes
}

// Diff returns the lines that changes remove and add, a document a
// section.
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
		writeLines(&text, current.Body, change.Body)
	}
	return text.String()
}

// writeLines writes the lines between the common start and the common end of
// two texts.
func writeLines(text *strings.Builder, before, after string) {
	old, changed := lines(before), lines(after)
	start := 0
	for start < len(old) && start < len(changed) && old[start] == changed[start] {
		start++
	}
	end := 0
	for end < len(old)-start && end < len(changed)-start && old[len(old)-1-end] == changed[len(changed)-1-end] {
		end++
	}
	for _, line := range old[start : len(old)-end] {
		text.WriteString("  - " + line + "\n")
	}
	for _, line := range changed[start : len(changed)-end] {
		text.WriteString("  + " + line + "\n")
	}
}

func lines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}
