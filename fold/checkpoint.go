package fold

// CheckpointParts splits the state into the parts of one checkpoint. Documents
// are not split: a part ends with the document that brings it to partBytes.
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

// maxCheckpoints is the number of checkpoints whose parts an assembler keeps;
// beyond it the oldest one is dropped.
const maxCheckpoints = 8

// Assembler reassembles checkpoints from their parts, for a reader that starts
// from the earliest retained record.
type Assembler struct {
	earliest   uint64
	parts      map[string]map[int]Checkpoint
	orderedIDs []string
}

// NewAssembler returns an assembler for a log whose earliest retained record is at
// the given offset.
func NewAssembler(earliest uint64) *Assembler {
	return &Assembler{earliest: earliest, parts: make(map[string]map[int]Checkpoint)}
}

// Add takes a stored record. It returns the state of a checkpoint once all its
// parts are present. Checkpoints whose position is before the earliest retained
// record are ignored, since the records in between are lost.
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
	if len(a.orderedIDs) == maxCheckpoints {
		delete(a.parts, a.orderedIDs[0])
		a.orderedIDs = a.orderedIDs[1:]
	}
	a.orderedIDs = append(a.orderedIDs, id)
	a.parts[id] = make(map[int]Checkpoint)
	return a.parts[id]
}
