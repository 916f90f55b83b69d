package stand

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"dandeliondoor/platform"
)

// StoreFaults are the faults of the store. Refuse answers 503; Silent answers
// nothing; DropAnswers does what is asked and breaks the connection instead of
// answering; Delay comes before each answer.
type StoreFaults struct {
	Refuse      bool          `json:"refuse,optional"`
	Silent      bool          `json:"silent,optional"`
	DropAnswers bool          `json:"drop_answers,optional"`
	Delay       time.Duration `json:"delay,optional"`
}

// Store stands in for the platform's store: topics of one partition that keep
// the newest record of each key.
type Store struct {
	Faults Switch[StoreFaults]

	mutex   sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	calls   int
}

// topic holds the records from the offset first on, and the newest of each key.
type topic struct {
	first   uint64
	records [][]byte
	newest  map[string]platform.NewestItem
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: make(map[string]*topic), changed: make(chan struct{})}
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// Put stores the newest value of a key; nil removes the key.
func (s *Store) Put(name, key string, value []byte) {
	content := append([]byte{byte(len(key))}, key...)
	s.append(name, append(content, value...))
}

// Compact deletes the records of a topic but for the newest of each key.
func (s *Store) Compact(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	t.first += uint64(len(t.records))
	t.records = nil
}

// Handler returns the HTTP contract of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.AppendPath, s.serveAppend)
	mux.HandleFunc("GET "+platform.NewestPath, s.serveNewest)
	mux.HandleFunc("GET "+platform.ReadPath, s.serveRead)
	return s.faulty(mux)
}

func (s *Store) faulty(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		s.calls++
		s.mutex.Unlock()
		faults := s.Faults.Get()
		switch {
		case faults.Silent:
			<-r.Context().Done()
			return
		case faults.Refuse:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(faults.Delay)
		handler.ServeHTTP(w, r)
		if faults.DropAnswers {
			panic(http.ErrAbortHandler)
		}
	})
}

func (s *Store) topic(name string) *topic {
	found, known := s.topics[name]
	if !known {
		found = &topic{newest: make(map[string]platform.NewestItem)}
		s.topics[name] = found
	}
	return found
}

func (s *Store) append(name string, content []byte) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	offset := t.first + uint64(len(t.records))
	t.records = append(t.records, content)
	end := 1 + int(content[0])
	key, value := string(content[1:end]), content[end:]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = platform.NewestItem{Key: key, Value: value, Offset: offset}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// lengthBytes is the size of the length before each record.
const lengthBytes = 4

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStoredBytes))
	if err != nil || len(body) < lengthBytes+1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	offset := s.append(r.URL.Query().Get("topic"), body[lengthBytes:])
	writeJSON(w, map[string]uint64{"offset": offset, "end": offset + 1})
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	reply := platform.NewestReply{End: t.first + uint64(len(t.records))}
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if key > r.URL.Query().Get("after") {
			reply.Items = append(reply.Items, t.newest[key])
		}
	}
	s.mutex.Unlock()
	writeJSON(w, reply)
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	hold, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer timer.Stop()
	for {
		body, trimmed, changed := s.page(query.Get("topic"), from)
		if trimmed {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(body) > 2*8 || hold == 0 {
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			hold = 0
		case <-r.Context().Done():
			return
		}
	}
}

// page returns the answer to a read, and whether its first record is gone.
func (s *Store) page(name string, from uint64) (body []byte, trimmed bool, changed <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	end := t.first + uint64(len(t.records))
	body = binary.BigEndian.AppendUint64(nil, end)
	body = binary.BigEndian.AppendUint64(body, t.first)
	if from < t.first {
		return nil, true, s.changed
	}
	for offset := from; offset < end; offset++ {
		record := t.records[offset-t.first]
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	return body, false, s.changed
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
