package infra

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

// maxResponseBytes limits the size of a response body that is read.
const maxResponseBytes = 64 << 20

// LogClient is a client of the platform's append-only log.
type LogClient struct {
	baseURL string
	service httpc.Service
}

// NewLogClient returns a client of the log service at the address. The timeout
// applies to each call.
func NewLogClient(address netip.AddrPort, timeout time.Duration) *LogClient {
	return &LogClient{
		baseURL: "http://" + address.String(),
		service: httpc.NewServiceWithClient("log "+address.String(), &http.Client{Timeout: timeout}),
	}
}

// Append stores a record and returns its offset. If it returns an error, the record
// may still have been stored.
func (l *LogClient) Append(ctx context.Context, data []byte) (uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, l.baseURL+"/v1/records", bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(err, "append to log")
	}
	appended, err := doJSON[AppendReply](l.service, request)
	if err != nil {
		return 0, errors.Wrap(err, "append to log")
	}
	return appended.Offset, nil
}

// Read returns records starting at an offset, or at the earliest stored record if
// that is later.
func (l *LogClient) Read(ctx context.Context, from uint64) (Batch, error) {
	target := l.baseURL + "/v1/records?from=" + strconv.FormatUint(from, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return Batch{}, errors.Wrap(err, "read log")
	}
	batch, err := doJSON[Batch](l.service, request)
	if err != nil {
		return Batch{}, errors.Wrap(err, "read log")
	}
	return batch, nil
}

// doJSON sends a request and decodes the JSON body of the response.
func doJSON[Reply any](service httpc.Service, request *http.Request) (Reply, error) {
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
	err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&reply)
	return reply, err
}

// StatusError reports a response of the platform with an unexpected status.
type StatusError struct{ Status int }

// Error returns a message with the status.
func (e *StatusError) Error() string {
	return "the platform responded with status " + strconv.Itoa(e.Status)
}
