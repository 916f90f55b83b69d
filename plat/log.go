package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// maxAnswerBytes bounds what is read of one answer of the platform.
const maxAnswerBytes = 64 << 20

// Log is a client of the log service.
type Log struct {
	base    string
	service httpc.Service
}

// NewLog returns a client of the log service at the address; each call takes
// at most timeout.
func NewLog(address netip.AddrPort, timeout time.Duration) *Log {
	return &Log{
		base:    "http://" + address.String(),
		service: httpc.NewServiceWithClient("log "+address.String(), &http.Client{Timeout: timeout}),
	}
}

// Append stores a record and returns its offset; after an error the record may
// stand in the log all the same.
func (l *Log) Append(ctx context.Context, data []byte) (uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, l.base+"/v1/records", bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(err, "append")
	}
	appended, err := exchange[AppendReply](l.service, request)
	if err != nil {
		return 0, errors.Wrap(err, "append")
	}
	return appended.Offset, nil
}

// Read returns records from an offset on, or from the earliest one when that
// is later.
func (l *Log) Read(ctx context.Context, from uint64) (Batch, error) {
	url := l.base + "/v1/records?from=" + strconv.FormatUint(from, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return Batch{}, errors.Wrap(err, "read log")
	}
	batch, err := exchange[Batch](l.service, request)
	if err != nil {
		return Batch{}, errors.Wrap(err, "read log")
	}
	return batch, nil
}

// exchange sends a request and decodes the JSON of its answer.
func exchange[Reply any](service httpc.Service, request *http.Request) (Reply, error) {
	var reply Reply
	response, err := service.DoRequest(request)
	if err != nil {
		return reply, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return reply, &StatusError{Status: response.StatusCode}
	}
	return decodeBody[Reply](response)
}

func decodeBody[Reply any](response *http.Response) (Reply, error) {
	var reply Reply
	err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&reply)
	return reply, err
}

// StatusError reports an answer of the platform other than 200.
type StatusError struct{ Status int }

// Error names the status.
func (e *StatusError) Error() string {
	return "the platform answered " + strconv.Itoa(e.Status)
}
