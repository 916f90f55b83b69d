package fakes

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"dandeliondoor/platform"
)

// maxRecordBytes is the maximum size of the records of one append.
const maxRecordBytes = 1 << 20

// StoreFaults selects the faults that a Store injects. The soak prints the field
// names. Refuse responds with 503, Silent sends no response, DropAnswers executes the
// request and closes the connection without a response, and Delay precedes each
// response.
type StoreFaults struct {
	Refuse      bool
	Silent      bool
	DropAnswers bool
	Delay       time.Duration
}

// Store simulates the platform's store: topics with one partition that keep the
// newest record of each key.
type Store struct {
	Faults FaultSet[StoreFaults]

	mutex   sync.Mutex
	era     uint64
	topics  map[string]*topic
	changed chan struct{}
	calls   int
}

// topic holds the records from firstOffset on and the newest record of each key.
type topic struct {
	firstOffset uint64
	records     [][]byte
	newest      map[string]platform.NewestItem
	epochs      map[string]epoch
}

// epoch is the highest epoch of a producer and its last sequence number, with the response
// to that.
type epoch struct {
	number   uint64
	sequence uint64
	reply    platform.AppendReply
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: make(map[string]*topic), changed: make(chan struct{})}
}

// Calls returns the number of requests so far.
func (s *Store) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// Put stores a value as the newest of its key; an empty value deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	content := append([]byte{byte(len(key))}, key...)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.append(name, append(content, value...))
}

// StoreCopy is the content of a Store at some time.
type StoreCopy struct{ topics map[string]*topic }

// Snapshot returns a copy of the content.
func (s *Store) Snapshot() StoreCopy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return StoreCopy{topics: cloneTopics(s.topics)}
}

// Restore replaces the content by a copy and begins the next era. Offsets beyond the copy
// are assigned again, and the epochs of producers are those of the copy. Long polls that are
// held are completed from the restored content.
func (s *Store) Restore(from StoreCopy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era++
	s.topics = cloneTopics(from.topics)
	s.wake()
}

// SetEra sets the era, which responses don't have while it is 0.
func (s *Store) SetEra(era uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era = era
}

// Era returns the present era.
func (s *Store) Era() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}

func cloneTopics(topics map[string]*topic) map[string]*topic {
	cloned := make(map[string]*topic, len(topics))
	for name, t := range topics {
		cloned[name] = &topic{
			firstOffset: t.firstOffset, records: slices.Clone(t.records), newest: maps.Clone(t.newest), epochs: maps.Clone(t.epochs),
		}
	}
	return cloned
}

// wake completes the long polls that are held; the mutex must be held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact deletes all records of a topic except the newest of each key.
func (s *Store) Compact(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	t.firstOffset += uint64(len(t.records))
	t.records = nil
}

// Handler returns the handler of the store's HTTP API.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.AppendPath, s.serveAppend)
	mux.HandleFunc("GET "+platform.NewestPath, s.serveNewest)
	mux.HandleFunc("GET "+platform.ReadPath, s.serveRead)
	return s.withFaults(mux)
}

func (s *Store) withFaults(handler http.Handler) http.Handler {
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
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]platform.NewestItem), epochs: make(map[string]epoch)}
		s.topics[name] = t
	}
	return t
}

// append adds a record; the mutex must be held.
func (s *Store) append(name string, content []byte) uint64 {
	t := s.topic(name)
	offset := t.firstOffset + uint64(len(t.records))
	t.records = append(t.records, content)
	end := 1 + int(content[0])
	key, value := string(content[1:end]), content[end:]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = platform.NewestItem{Key: key, Value: value, Offset: offset}
	}
	s.wake()
	return offset
}

// lengthPrefixBytes is the size of the length prefix of each record.
const lengthPrefixBytes = 4

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	records, valid := splitRecords(body)
	if err != nil || !valid {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	reply, era, status := s.appendIf(r.URL.Query(), records)
	setEra(w, era)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	writeJSON(w, reply)
}

// appendIf adds records if the conditions of a query hold, and returns the reply, the era
// and the status.
func (s *Store) appendIf(query url.Values, records [][]byte) (platform.AppendReply, uint64, int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reply, status := s.appendLocked(query, records)
	return reply, s.era, status
}

// appendLocked is appendIf without the era; the mutex must be held.
func (s *Store) appendLocked(query url.Values, records [][]byte) (platform.AppendReply, int) {
	name, producer := query.Get("topic"), query.Get("producer")
	t := s.topic(name)
	if at := query.Get("at"); at != "" && at != strconv.FormatUint(t.firstOffset+uint64(len(t.records)), 10) {
		return platform.AppendReply{}, http.StatusPreconditionFailed
	}
	last, known := t.epochs[producer]
	next := epoch{}
	if producer != "" {
		var numberErr, sequenceErr error
		next.number, numberErr = strconv.ParseUint(query.Get("epoch"), 10, 64)
		next.sequence, sequenceErr = strconv.ParseUint(query.Get("seq"), 10, 64)
		switch {
		case numberErr != nil || sequenceErr != nil:
			return platform.AppendReply{}, http.StatusBadRequest
		case known && next.number < last.number:
			return platform.AppendReply{}, http.StatusConflict
		case known && next.number == last.number && next.sequence == last.sequence:
			return last.reply, http.StatusOK
		case known && next.number == last.number && next.sequence != last.sequence+1:
			return platform.AppendReply{}, http.StatusConflict
		}
	}
	for i, record := range records {
		offset := s.append(name, record)
		if i == 0 {
			next.reply.Offset = offset
		}
		next.reply.End = offset + 1
	}
	if producer != "" {
		t.epochs[producer] = next
	}
	return next.reply, http.StatusOK
}

// splitRecords splits the body of an append into its records, each with a key, and
// reports whether it has any and is valid.
func splitRecords(body []byte) (records [][]byte, valid bool) {
	for len(body) > 0 {
		if len(body) < lengthPrefixBytes+1 {
			return nil, false
		}
		end := lengthPrefixBytes + int(binary.BigEndian.Uint32(body))
		if end <= lengthPrefixBytes || end > len(body) {
			return nil, false
		}
		records = append(records, body[lengthPrefixBytes:end])
		body = body[end:]
	}
	return records, len(records) > 0
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	reply := platform.NewestReply{End: t.firstOffset + uint64(len(t.records))}
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if key > r.URL.Query().Get("after") {
			reply.Items = append(reply.Items, t.newest[key])
		}
	}
	era := s.era
	s.mutex.Unlock()
	setEra(w, era)
	writeJSON(w, reply)
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMillis, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		body, era, trimmed, changed := s.readResponse(query.Get("topic"), from)
		if trimmed {
			setEra(w, era)
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(body) > 2*8 || waitMillis == 0 {
			setEra(w, era)
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waitMillis = 0
		case <-r.Context().Done():
			return
		}
	}
}

// readResponse returns the body of the response to a read, the era, whether the store doesn't
// have the offset from (any more), and a channel that is closed by the next append or restore.
func (s *Store) readResponse(name string, from uint64) (body []byte, era uint64, trimmed bool, changed <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	end := t.firstOffset + uint64(len(t.records))
	body = binary.BigEndian.AppendUint64(nil, end)
	body = binary.BigEndian.AppendUint64(body, t.firstOffset)
	if from < t.firstOffset || from > end {
		return nil, s.era, true, s.changed
	}
	for offset := from; offset < end; offset++ {
		record := t.records[offset-t.firstOffset]
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	return body, s.era, false, s.changed
}

// setEra sets the header of a response with the era, if the store has one.
func setEra(w http.ResponseWriter, era uint64) {
	if era > 0 {
		w.Header().Set(platform.EraHeader, strconv.FormatUint(era, 10))
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
