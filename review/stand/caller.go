package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"dandeliondoor/platform"
	"dandeliondoor/proto"
)

// result is what a client saw of one attempt. Status is 0 if the connection ended without a whole
// answer.
type result struct {
	id     string
	daemon string
	status int
	signed bool
	sentAt time.Time
	took   time.Duration
	err    error
}

var lastID atomic.Uint64

// newID returns the ID of an attempt.
func newID() string { return fmt.Sprintf("%016x", 0x9c41d07be2a30000+lastID.Add(1)) }

// call sends one request on a connection of its own and waits for the answer.
func (l *lab) call(d *daemon, method, target string, body []byte, deadline time.Duration) result {
	r := result{id: newID(), daemon: d.name, sentAt: time.Now()}
	r.status, r.signed, r.err = exchange(d, r.id, method, target, body, deadline)
	r.took = time.Since(r.sentAt)
	l.log.printf("client: %s %s %s at %s: status %d, signed %t, %d ms, %v",
		r.id, method, target, d.name, r.status, r.signed, r.took.Milliseconds(), r.err)
	return r
}

func exchange(d *daemon, id, method, target string, body []byte, deadline time.Duration) (status int, signed bool, err error) {
	conn, err := net.DialTimeout("tcp", d.callers.String(), time.Second)
	if err != nil {
		return 0, false, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(deadline)); err != nil {
		return 0, false, err
	}
	if _, err := conn.Write(message(id, method, target, body, deadline)); err != nil {
		return 0, false, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return 0, false, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, false, err
	}
	return response.StatusCode, response.Header.Get(platform.HeaderSignature) != "", nil
}

// message returns the bytes of a request.
func message(id, method, target string, body []byte, deadline time.Duration) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n",
		method, target, host, proto.HeaderRequestID, id, proto.HeaderDeadline, deadline.Milliseconds())
	if len(body) > 0 {
		fmt.Fprintf(&b, "Content-Length: %s\r\n", strconv.Itoa(len(body)))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}
