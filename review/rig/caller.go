package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

// answerMargin is how long after its deadline a caller still reads an answer.
const answerMargin = time.Second

// caller sends one request after the other over a kept connection to one daemon.
type caller struct {
	rig    *rig
	name   string
	daemon *daemon
	conn   net.Conn
	reader *bufio.Reader
	count  int
}

// answer is what a caller got for a request. Status is 0 if there was no complete answer.
type answer struct {
	id     string
	status int
	body   string
}

// post sends a request with a body and reads the answer.
func (c *caller) post(ctx context.Context, path, body string, deadline time.Duration) answer {
	c.count++
	a := answer{id: fmt.Sprintf("%s-%d", c.name, c.count)}
	err := c.exchange(ctx, &a, path, body, deadline)
	if err != nil {
		c.close()
		a.status = 0
		c.rig.logf("%s by %s: no answer: %v", a.id, c.daemon.name, err)
		return a
	}
	c.rig.logf("%s by %s: answer %d", a.id, c.daemon.name, a.status)
	return a
}

func (c *caller) exchange(ctx context.Context, a *answer, path, body string, deadline time.Duration) error {
	if c.conn == nil {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.daemon.callers.String())
		if err != nil {
			return err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	if err := c.conn.SetDeadline(time.Now().Add(deadline + answerMargin)); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nDandeliondoor-Request-Id: %s\r\n"+
		"Dandeliondoor-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", path, host, a.id, deadline.Milliseconds(), len(body), body)
	if err != nil {
		return err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	a.status, a.body = response.StatusCode, string(data)
	if response.Close {
		c.close()
	}
	return nil
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
