package fold_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"dandeliondoor/fold"
)

func init() {
	// The same seeds in each run give the same verdict; flags override them.
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "2000")
}

// logModel is a log with retention and the readers that fold it.
type logModel struct {
	records  [][]byte
	earliest int
	// after[n] is the true state once n records are folded.
	after   []*fold.State
	readers []*modelReader
	ids     int
}

// modelReader is a daemon that folds the log at its own pace.
type modelReader struct {
	state   *fold.State
	covered bool
	highest map[string]uint64
}

var documentNames = []string{"service/agenda", "service/caja", "accounts/offices"}

func newLogModel() *logModel {
	return &logModel{after: []*fold.State{fold.NewState()}}
}

func (m *logModel) append(data []byte) {
	m.records = append(m.records, data)
	truth := copyOf(m.after[len(m.after)-1])
	truth.Apply(uint64(len(m.records)-1), data)
	m.after = append(m.after, truth)
}

func (m *logModel) truth() *fold.State { return m.after[len(m.after)-1] }

// copyOf folds nothing anew: it takes documents and position over.
func copyOf(state *fold.State) *fold.State {
	copied := fold.NewState()
	copied.Merge(state.Documents())
	copied.Seek(state.Position())
	return copied
}

func encode(t *rapid.T, record fold.Record) []byte {
	data, err := fold.Encode(record)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// publish appends a publication of up to three documents whose bases may be
// current or stale.
func (m *logModel) publish(t *rapid.T) {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom(documentNames), 1, 3, rapid.ID[string]).Draw(t, "names")
	m.ids++
	publication := fold.Publication{ID: fmt.Sprint("publication-", m.ids)}
	for _, name := range names {
		current, _ := m.truth().Document(name)
		base := current.Revision
		if rapid.IntRange(0, 3).Draw(t, "stale") == 0 && base > 0 {
			base--
		}
		publication.Documents = append(publication.Documents, fold.Change{
			Name: name, Base: base, Body: publication.ID, Deleted: rapid.IntRange(0, 9).Draw(t, "deleted") == 0,
		})
	}
	data := encode(t, fold.Record{Publication: &publication})
	before := copyOf(m.truth())
	m.append(data)
	m.checkAllOrNone(t, before, publication)
	if rapid.IntRange(0, 4).Draw(t, "doubled") == 0 {
		digest := m.truth().Digest()
		m.append(data)
		if m.truth().Digest() != digest {
			t.Fatal("a doubled publication changed the state")
		}
	}
}

func (m *logModel) checkAllOrNone(t *rapid.T, before *fold.State, publication fold.Publication) {
	current := true
	for _, change := range publication.Documents {
		document, _ := before.Document(change.Name)
		current = current && document.Revision == change.Base
	}
	for _, change := range publication.Documents {
		was, _ := before.Document(change.Name)
		is, _ := m.truth().Document(change.Name)
		if current && (is.Revision != was.Revision+1 || is.Body != publication.ID) {
			t.Fatalf("%s of an accepted publication is at %d, was at %d", change.Name, is.Revision, was.Revision)
		}
		if !current && is != was {
			t.Fatalf("%s of a rejected publication changed", change.Name)
		}
	}
}

// checkpoint appends the parts of a reader's checkpoint, which may be late.
func (m *logModel) checkpoint(t *rapid.T) {
	reader := m.pick(t)
	if reader == nil || !reader.covered {
		return
	}
	m.ids++
	parts := fold.CheckpointParts(reader.state, fmt.Sprint("checkpoint-", m.ids), 1)
	for i := range parts {
		if rapid.IntRange(0, 9).Draw(t, "writer dies") == 0 {
			return
		}
		m.append(encode(t, fold.Record{Checkpoint: &parts[i]}))
	}
}

func (m *logModel) foreign(t *rapid.T) {
	m.append(rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "bytes"))
}

func (m *logModel) truncate(t *rapid.T) {
	m.earliest = rapid.IntRange(m.earliest, len(m.records)).Draw(t, "earliest")
}

func (m *logModel) join(*rapid.T) {
	m.readers = append(m.readers, &modelReader{state: fold.NewState(), highest: make(map[string]uint64)})
}

func (m *logModel) pick(t *rapid.T) *modelReader {
	if len(m.readers) == 0 {
		return nil
	}
	return rapid.SampledFrom(m.readers).Draw(t, "reader")
}

// read lets a reader fold some records, or look for a checkpoint first when
// the log no longer holds what it needs.
func (m *logModel) read(t *rapid.T) {
	reader := m.pick(t)
	if reader == nil {
		return
	}
	if int(reader.state.Position()) < m.earliest && !m.jump(reader) {
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

func (m *logModel) jump(reader *modelReader) bool {
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

// check holds after each step: a covered reader is exactly at the truth of its
// position, and no revision ever falls in any reader.
func (m *logModel) check(t *rapid.T) {
	for _, reader := range m.readers {
		for _, document := range reader.state.Documents() {
			if document.Revision < reader.highest[document.Name] {
				t.Fatalf("%s fell from revision %d to %d", document.Name, reader.highest[document.Name], document.Revision)
			}
			reader.highest[document.Name] = document.Revision
		}
		if !reader.covered {
			continue
		}
		truth := m.after[reader.state.Position()]
		if reader.state.Digest() != truth.Digest() {
			t.Fatalf("a reader at %d has %v, the log says %v", reader.state.Position(), reader.state.Documents(), truth.Documents())
		}
	}
}

func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLogModel()
		t.Repeat(map[string]func(*rapid.T){
			"":           m.check,
			"checkpoint": m.checkpoint,
			"foreign":    m.foreign,
			"join":       m.join,
			"publish":    m.publish,
			"publish on": m.publish,
			"read":       m.read,
			"read on":    m.read,
			"truncate":   m.truncate,
		})
	})
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
