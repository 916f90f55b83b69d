package fold_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"dandeliondoor/fold"
)

func init() {
	// A fixed seed makes runs reproducible; command-line flags override it.
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "2000")
}

// logModel is a log with retention, together with its readers.
type logModel struct {
	records  [][]byte
	earliest int
	// expected[n] is the state after all of the first n records.
	expected []*fold.State
	readers  []*modelReader
	ids      int
}

// modelReader is a daemon that reads the log at its own pace.
type modelReader struct {
	state   *fold.State
	covered bool
	highest map[string]uint64
}

var documentNames = []string{"service/agenda", "service/caja", "accounts/offices"}

func newLogModel() *logModel {
	return &logModel{expected: []*fold.State{fold.NewState()}}
}

func (m *logModel) append(data []byte) {
	m.records = append(m.records, data)
	next := clone(m.expected[len(m.expected)-1])
	next.Apply(uint64(len(m.records)-1), data)
	m.expected = append(m.expected, next)
}

func (m *logModel) current() *fold.State { return m.expected[len(m.expected)-1] }

// clone copies the documents and the position, but not the publication IDs.
func clone(state *fold.State) *fold.State {
	cloned := fold.NewState()
	cloned.Merge(state.Documents())
	cloned.Seek(state.Position())
	return cloned
}

func encode(t *rapid.T, record fold.Record) []byte {
	data, err := fold.Encode(record)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// publish appends a publication of up to three documents with current or stale
// bases, and sometimes appends it twice.
func (m *logModel) publish(t *rapid.T) {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom(documentNames), 1, 3, rapid.ID[string]).Draw(t, "names")
	m.ids++
	publication := fold.Publication{ID: fmt.Sprint("publication-", m.ids)}
	for _, name := range names {
		current, _ := m.current().Document(name)
		base := current.Revision
		if rapid.IntRange(0, 3).Draw(t, "stale") == 0 && base > 0 {
			base--
		}
		publication.Documents = append(publication.Documents, fold.Change{
			Name: name, Base: base, Body: publication.ID, Deleted: rapid.IntRange(0, 9).Draw(t, "deleted") == 0,
		})
	}
	data := encode(t, fold.Record{Publication: &publication})
	before := clone(m.current())
	m.append(data)
	m.checkAtomicity(t, before, publication)
	if rapid.IntRange(0, 4).Draw(t, "doubled") == 0 {
		digest := m.current().Digest()
		m.append(data)
		if m.current().Digest() != digest {
			t.Fatal("duplicate publication changed the state")
		}
	}
}

func (m *logModel) checkAtomicity(t *rapid.T, before *fold.State, publication fold.Publication) {
	current := true
	for _, change := range publication.Documents {
		document, _ := before.Document(change.Name)
		current = current && document.Revision == change.Base
	}
	for _, change := range publication.Documents {
		was, _ := before.Document(change.Name)
		is, _ := m.current().Document(change.Name)
		if current && (is.Revision != was.Revision+1 || is.Body != publication.ID) {
			t.Fatalf("%s of an accepted publication is at revision %d, was at %d", change.Name, is.Revision, was.Revision)
		}
		if !current && is != was {
			t.Fatalf("%s of a rejected publication changed", change.Name)
		}
	}
}

// checkpoint appends a checkpoint of a reader's state. The reader may lag behind
// the log, and the checkpoint may stay incomplete.
func (m *logModel) checkpoint(t *rapid.T) {
	reader := m.drawReader(t)
	if reader == nil || !reader.covered {
		return
	}
	m.ids++
	parts := fold.CheckpointParts(reader.state, fmt.Sprint("checkpoint-", m.ids), 1)
	for i := range parts {
		if rapid.IntRange(0, 9).Draw(t, "writer stops") == 0 {
			return
		}
		m.append(encode(t, fold.Record{Checkpoint: &parts[i]}))
	}
}

func (m *logModel) appendInvalid(t *rapid.T) {
	m.append(rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "bytes"))
}

func (m *logModel) truncate(t *rapid.T) {
	m.earliest = rapid.IntRange(m.earliest, len(m.records)).Draw(t, "earliest")
}

func (m *logModel) addReader(*rapid.T) {
	m.readers = append(m.readers, &modelReader{state: fold.NewState(), highest: make(map[string]uint64)})
}

func (m *logModel) drawReader(t *rapid.T) *modelReader {
	if len(m.readers) == 0 {
		return nil
	}
	return rapid.SampledFrom(m.readers).Draw(t, "reader")
}

// read applies some records to a reader's state. If the log no longer retains the
// next record, the reader loads a checkpoint first.
func (m *logModel) read(t *rapid.T) {
	reader := m.drawReader(t)
	if reader == nil {
		return
	}
	if int(reader.state.Position()) < m.earliest && !m.loadCheckpoint(reader) {
		return
	}
	reader.covered = true
	count := rapid.IntRange(0, 6).Draw(t, "records")
	for range count {
		at := int(reader.state.Position())
		if at >= len(m.records) {
			break
		}
		reader.state.Apply(uint64(at), m.records[at])
	}
}

func (m *logModel) loadCheckpoint(reader *modelReader) bool {
	assembler := fold.NewAssembler(uint64(m.earliest))
	for _, data := range m.records[m.earliest:] {
		if state, complete := assembler.Add(data); complete {
			reader.state.Merge(state.Documents())
			reader.state.Seek(state.Position())
			return true
		}
	}
	return false
}

// check runs after each step. It verifies that the state of each covered reader
// equals the expected state at its position and that no reader lowers a revision.
func (m *logModel) check(t *rapid.T) {
	for _, reader := range m.readers {
		for _, document := range reader.state.Documents() {
			if document.Revision < reader.highest[document.Name] {
				t.Fatalf("revision of %s fell from %d to %d", document.Name, reader.highest[document.Name], document.Revision)
			}
			reader.highest[document.Name] = document.Revision
		}
		if !reader.covered {
			continue
		}
		expected := m.expected[reader.state.Position()]
		if reader.state.Digest() != expected.Digest() {
			t.Fatalf("reader at position %d has %v, want %v", reader.state.Position(), reader.state.Documents(), expected.Documents())
		}
	}
}

func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLogModel()
		t.Repeat(map[string]func(*rapid.T){
			"":              m.check,
			"checkpoint":    m.checkpoint,
			"foreign":       m.appendInvalid,
			"join":          m.addReader,
			"publish":       m.publish,
			"publish again": m.publish,
			"read":          m.read,
			"read again":    m.read,
			"truncate":      m.truncate,
		})
	})
}

// TestDigest checks that each field of a document changes its digest.
func TestDigest(t *testing.T) {
	document := fold.Document{Name: "a", Revision: 1, Body: "b"}
	for _, test := range []struct {
		name   string
		change func(changed *fold.Document)
	}{
		{name: "body", change: func(changed *fold.Document) { changed.Body = "c" }},
		{name: "deleted", change: func(changed *fold.Document) { changed.Deleted = true }},
		{name: "name", change: func(changed *fold.Document) { changed.Name = "b" }},
		{name: "revision", change: func(changed *fold.Document) { changed.Revision = 2 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			changed := document
			test.change(&changed)
			if fold.Digest(changed) == fold.Digest(document) {
				t.Errorf("%+v and %+v have the same digest", changed, document)
			}
		})
	}
}

func TestDecode(t *testing.T) {
	for _, test := range []struct {
		name string
		data string
		want string
	}{
		{name: "checkpoint with a wrong part", data: `{"checkpoint":{"id":"c","part":2,"parts":2}}`, want: "checkpoint has part 2 of 2"},
		{name: "checkpoint without an id", data: `{"checkpoint":{"parts":1}}`, want: "checkpoint has no id"},
		{name: "document twice", data: `{"publication":{"id":"p","documents":[{"name":"a"},{"name":"a"}]}}`, want: "publication changes a twice"},
		{name: "foreign", data: `{"other":1}`, want: "record is neither publication nor checkpoint"},
		{name: "no documents", data: `{"publication":{"id":"p"}}`, want: "publication has no documents"},
		{name: "no id", data: `{"publication":{"documents":[{"name":"a"}]}}`, want: "publication has no id"},
		{name: "no name", data: `{"publication":{"id":"p","documents":[{}]}}`, want: "publication has a document without a name"},
		{name: "oversized", data: string(make([]byte, fold.MaxRecordBytes+1)), want: "record of 262145 bytes is larger than 262144"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := fold.Decode([]byte(test.data))
			if err == nil || err.Error() != test.want {
				t.Fatalf("got %v, want %s", err, test.want)
			}
		})
	}
}
