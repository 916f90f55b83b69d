package fakes

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/httpd"
	"dandeliondoor/infra"
)

// maxBatchRecords is the maximum number of records in one response.
const maxBatchRecords = 256

// maxRecordBytes is the maximum size of one record.
const maxRecordBytes = 1 << 20

// LogFaults selects the faults that a Log injects. Refuse responds with 503.
// DropAnswers stores the record of an append and closes the connection without a
// response. RefuseReadsAfterAppend turns on Refuse once an append has been stored.
// Delay precedes each response.
type LogFaults struct {
	Refuse                 bool          `json:"refuse,optional"`
	DropAnswers            bool          `json:"drop_answers,optional"`
	RefuseReadsAfterAppend bool          `json:"refuse_reads_after_append,optional"`
	Delay                  time.Duration `json:"delay,optional"`
}

// Log simulates the platform's append-only log.
type Log struct {
	Faults FaultSet[LogFaults]

	mutex    sync.Mutex
	earliest uint64
	records  [][]byte
	appends  int
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{}
}

// Handler returns the handler of the log's HTTP API.
func (l *Log) Handler() (http.Handler, error) {
	router := httpd.NewRouter()
	router.Handle(http.MethodGet, "/v1/records", l.withFaults(httpd.JSON(l.read)))
	router.Handle(http.MethodPost, "/v1/records", l.withFaults(http.HandlerFunc(l.append)))
	router.Handle(http.MethodPost, "/v1/truncate", httpd.JSON(l.truncate))
	router.Handle(http.MethodPost, "/v1/empty", httpd.JSON(l.empty))
	l.Faults.registerRoutes(router)
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

// Appends returns the number of appends so far, including records deleted since.
func (l *Log) Appends() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.appends
}

// Offsets returns the earliest and the next offset.
func (l *Log) Offsets() infra.Offsets {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.offsets()
}

// Truncate deletes the records before an offset, as retention does.
func (l *Log) Truncate(before uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if before <= l.earliest {
		return
	}
	count := min(before-l.earliest, uint64(len(l.records)))
	l.records = l.records[count:]
	l.earliest += count
}

// Empty deletes all records and restarts the log at offset 0.
func (l *Log) Empty() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.records = nil
	l.earliest = 0
}

func (l *Log) offsets() infra.Offsets {
	return infra.Offsets{Earliest: l.earliest, Next: l.earliest + uint64(len(l.records))}
}

func (l *Log) read(_ context.Context, request infra.ReadRequest) (infra.Batch, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	batch := infra.Batch{Offsets: l.offsets(), Records: []infra.StoredRecord{}}
	limit := min(request.Limit, maxBatchRecords)
	for offset := max(request.From, l.earliest); offset < batch.Next && len(batch.Records) < limit; offset++ {
		data := l.records[offset-l.earliest]
		batch.Records = append(batch.Records, infra.StoredRecord{Offset: offset, Data: data})
	}
	return batch, nil
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
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
	handler := httpd.JSON(func(context.Context, struct{}) (infra.AppendReply, error) {
		return infra.AppendReply{Offset: offset}, nil
	})
	handler.ServeHTTP(w, r)
}

// TruncateRequest is the body of a request to delete the records before an offset.
type TruncateRequest struct {
	Before uint64 `json:"before"`
}

func (l *Log) truncate(_ context.Context, request TruncateRequest) (infra.Offsets, error) {
	l.Truncate(request.Before)
	return l.Offsets(), nil
}

func (l *Log) empty(context.Context, struct{}) (infra.Offsets, error) {
	l.Empty()
	return l.Offsets(), nil
}

// withFaults injects the faults before it calls the next handler.
func (l *Log) withFaults(next http.Handler) http.Handler {
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
