package stand

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/httpd"
	"dandeliondoor/plat"
)

// maxBatch bounds the records of one answer.
const maxBatch = 256

// maxStoredBytes bounds one record.
const maxStoredBytes = 1 << 20

// LogFaults are the faults of the log service. Refuse answers 503; DropAnswers
// lets appends take effect and breaks the connection instead of answering;
// RefuseReadsAfterAppend begins to refuse once an append has taken effect;
// Delay comes before each answer.
type LogFaults struct {
	Refuse                 bool          `json:"refuse,optional"`
	DropAnswers            bool          `json:"drop_answers,optional"`
	RefuseReadsAfterAppend bool          `json:"refuse_reads_after_append,optional"`
	Delay                  time.Duration `json:"delay,optional"`
}

// Log stands in for the platform's append-only log.
type Log struct {
	Faults Switch[LogFaults]

	mutex    sync.Mutex
	earliest uint64
	records  [][]byte
	appends  int
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{}
}

// Handler returns the HTTP contract of the log.
func (l *Log) Handler() (http.Handler, error) {
	router := httpd.NewRouter()
	router.Handle(http.MethodGet, "/v1/records", l.faulty(httpd.JSON(l.read)))
	router.Handle(http.MethodPost, "/v1/records", l.faulty(http.HandlerFunc(l.append)))
	router.Handle(http.MethodPost, "/v1/truncate", httpd.JSON(l.truncate))
	router.Handle(http.MethodPost, "/v1/empty", httpd.JSON(l.empty))
	l.Faults.route(router)
	return router.Handler()
}

// Append stores a record and returns its offset.
func (l *Log) Append(data []byte) uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.records = append(l.records, data)
	l.appends++
	return l.earliest + uint64(len(l.records)) - 1
}

// Appends returns how many records were ever stored.
func (l *Log) Appends() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.appends
}

// Offsets returns the earliest and the next offset.
func (l *Log) Offsets() plat.Offsets {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.offsets()
}

// Truncate forgets the records before an offset, as retention does.
func (l *Log) Truncate(before uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if before <= l.earliest {
		return
	}
	dropped := min(before-l.earliest, uint64(len(l.records)))
	l.records = l.records[dropped:]
	l.earliest += dropped
}

// Empty loses all records and starts again at offset 0.
func (l *Log) Empty() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.records = nil
	l.earliest = 0
}

func (l *Log) offsets() plat.Offsets {
	return plat.Offsets{Earliest: l.earliest, Next: l.earliest + uint64(len(l.records))}
}

func (l *Log) read(_ context.Context, request plat.ReadRequest) (plat.Batch, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	batch := plat.Batch{Offsets: l.offsets(), Records: []plat.StoredRecord{}}
	limit := min(request.Limit, maxBatch)
	for offset := max(request.From, l.earliest); offset < batch.Next && len(batch.Records) < limit; offset++ {
		data := l.records[offset-l.earliest]
		batch.Records = append(batch.Records, plat.StoredRecord{Offset: offset, Data: data})
	}
	return batch, nil
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStoredBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset := l.Append(data)
	faults := l.Faults.Get()
	if faults.RefuseReadsAfterAppend {
		faults.Refuse = true
		l.Faults.Set(faults)
	}
	if faults.DropAnswers {
		panic(http.ErrAbortHandler)
	}
	answer := httpd.JSON(func(context.Context, struct{}) (plat.Appended, error) {
		return plat.Appended{Offset: offset}, nil
	})
	answer.ServeHTTP(w, r)
}

// TruncateRequest moves the earliest offset.
type TruncateRequest struct {
	Before uint64 `json:"before"`
}

func (l *Log) truncate(_ context.Context, request TruncateRequest) (plat.Offsets, error) {
	l.Truncate(request.Before)
	return l.Offsets(), nil
}

func (l *Log) empty(context.Context, struct{}) (plat.Offsets, error) {
	l.Empty()
	return l.Offsets(), nil
}

// faulty applies the faults before a handler.
func (l *Log) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := l.Faults.Get()
		sleep(r.Context(), faults.Delay)
		if faults.Refuse {
			http.Error(w, errors.New("the log is down").Error(), http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}
