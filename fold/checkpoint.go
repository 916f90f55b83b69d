package fold

// CheckpointParts cuts the state into the parts of one checkpoint; a part ends with
// the document that brings it to partBytes.
func CheckpointParts(state *State, id string, partBytes int) []Checkpoint {
	var parts []Checkpoint
	var documents []Document
	size := 0
	flush := func() {
		parts = append(parts, Checkpoint{ID: id, Position: state.Position(), Part: len(parts), Documents: documents})
		documents, size = nil, 0
	}
	for _, document := range state.Documents() {
		documents = append(documents, document)
		size += len(document.Name) + len(document.Body)
		if size >= partBytes {
			flush()
		}
	}
	if len(documents) > 0 || len(parts) == 0 {
		flush()
	}
	for i := range parts {
		parts[i].Parts = len(parts)
	}
	return parts
}

// maxAssembled bounds the checkpoints that an assembler holds unfinished.
const maxAssembled = 8

// Assembler collects the parts of checkpoints for a reader that starts inside
// the log.
type Assembler struct {
	earliest uint64
	parts    map[string]map[int]Checkpoint
	order    []string
}

// NewAssembler returns an assembler for a log that starts at earliest.
func NewAssembler(earliest uint64) *Assembler {
	return &Assembler{earliest: earliest, parts: make(map[string]map[int]Checkpoint)}
}

// Add takes a stored record; it returns the state of a checkpoint once that is
// complete and nothing between it and the log's start is missing.
func (a *Assembler) Add(data []byte) (*State, bool) {
	record, err := Decode(data)
	if err != nil || record.Checkpoint == nil {
		return nil, false
	}
	checkpoint := *record.Checkpoint
	if checkpoint.Position < a.earliest {
		return nil, false
	}
	parts := a.partsOf(checkpoint.ID)
	parts[checkpoint.Part] = checkpoint
	if len(parts) < checkpoint.Parts {
		return nil, false
	}
	state := NewState()
	for _, part := range parts {
		state.Merge(part.Documents)
	}
	state.Seek(checkpoint.Position)
	return state, true
}

func (a *Assembler) partsOf(id string) map[int]Checkpoint {
	if parts, found := a.parts[id]; found {
		return parts
	}
	if len(a.order) == maxAssembled {
		delete(a.parts, a.order[0])
		a.order = a.order[1:]
	}
	a.order = append(a.order, id)
	a.parts[id] = make(map[int]Checkpoint)
	return a.parts[id]
}
