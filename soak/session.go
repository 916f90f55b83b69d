package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/platform"
	"dandeliondoor/proto"
)

// Settings of the sessions.
const (
	// A session rests for at least minRestShare of the idle limit, and for up to restSlack
	// beyond it, which is longer than the interval at which daemons look for idle
	// connections.
	minRestShare = 0.8
	restSlack    = 600 * time.Millisecond
	// redialInterval is the pause after a connection was refused.
	redialInterval = 50 * time.Millisecond
	// maxPipelined is the maximum number of requests that are sent at once.
	maxPipelined = 4
	// The parts of a body that is sent slowly, and the pause between two parts.
	bodyParts    = 4
	maxPartPause = 300 * time.Millisecond
	// responseSlack is how long after the time limit of a request a session waits for the
	// response.
	responseSlack = 2 * time.Second
)

// session is a caller that uses its connection to a daemon until the daemon closes it, also
// while the daemon drains, and then opens another one.
type session struct {
	fleet    *fleet
	recorder *recorder
	daemon   *daemon
	random   *rand.Rand
	planned  bool

	conn     net.Conn
	reader   *bufio.Reader
	answered int
}

// run sends requests until the context ends, each after a rest or at once after the
// response to the one before.
func (s *session) run(ctx context.Context) error {
	defer s.disconnect()
	for ctx.Err() == nil {
		if !s.connect(ctx) {
			sleep(ctx, redialInterval)
			continue
		}
		s.sendNext()
		if s.random.IntN(2) == 0 {
			s.rest(ctx)
		}
	}
	return nil
}

// connect opens a connection if none is open, and reports whether one is.
func (s *session) connect(ctx context.Context) bool {
	if s.conn != nil {
		return true
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", s.daemon.callersAddress.String())
	if err != nil {
		return false
	}
	s.conn, s.reader, s.answered = conn, bufio.NewReader(conn), 0
	return true
}

func (s *session) disconnect() {
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
}

// rest leaves the connection idle for about the idle limit, and notices its end.
func (s *session) rest(ctx context.Context) {
	conn := s.conn
	if conn == nil {
		return
	}
	limit := s.fleet.idleLimit()
	shortest := time.Duration(minRestShare * float64(limit))
	period := shortest + randomPeriod(s.random, limit+restSlack-shortest)
	_ = conn.SetReadDeadline(time.Now().Add(period))
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })
	defer stop()
	_, err := s.reader.Peek(1)
	switch {
	case err == nil:
		s.recorder.addFinding("%s sent a response that no request waited for", s.daemon.name)
		s.disconnect()
	case !errors.Is(err, os.ErrDeadlineExceeded):
		s.disconnect()
	}
}

// message is the text of a request, in parts that are sent with a pause between them.
type message struct {
	call   call
	target string
	body   string
	parts  []string
	pause  time.Duration
}

// sendNext sends the next request or requests and reads the responses.
func (s *session) sendNext() {
	kind := s.random.IntN(6)
	switch {
	case kind == 0:
		messages := make([]*message, 2+s.random.IntN(maxPipelined-1))
		for i := range messages {
			messages[i] = s.newMessage(http.MethodGet, "/lots/a", routeTimeout)
		}
		s.exchange(messages...)
	case kind <= 3:
		m := s.newMessage(http.MethodPost, "/bales/a", routeTimeout)
		switch kind {
		case 1:
			m.split(randomPeriod(s.random, maxPartPause))
		case 2:
			m.chunk(randomPeriod(s.random, maxPartPause))
		}
		s.exchange(m)
	default:
		s.exchange(s.newMessage(http.MethodGet, "/lots/a", routeTimeout))
	}
}

// newMessage returns a request whose time limit is that of its route.
func (s *session) newMessage(method, path string, limit time.Duration) *message {
	m := &message{call: s.fleet.keyedCall(method)}
	m.call.id, m.call.daemon, m.call.limit, m.call.planned = s.recorder.newID(), s.daemon.name, limit, s.planned
	separator := "?"
	if strings.Contains(path, separator) {
		separator = "&"
	}
	m.target = path + separator + "id=" + m.call.id
	if method == http.MethodPost {
		m.body = strings.Repeat("lot="+m.call.id+";", bodyParts)
	}
	m.parts = []string{m.head(fmt.Sprintf("Content-Length: %d\r\n", len(m.body))) + m.body}
	return m
}

// head returns the head of the request with the given framing, and its key.
func (m *message) head(framing string) string {
	if m.call.key != "" {
		framing += fmt.Sprintf("%s: %s\r\n", platform.HeaderKey, m.call.key)
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n", m.call.method, m.target, host,
		proto.HeaderRequestID, m.call.id, proto.HeaderDeadline, (m.call.limit + deadlineSlack).Milliseconds(), framing)
}

// split sends the parts of the body one after the other.
func (m *message) split(pause time.Duration) {
	m.pause = pause
	m.parts = append([]string{m.head(fmt.Sprintf("Content-Length: %d\r\n", len(m.body)))}, m.bodyParts()...)
}

// chunk sends the parts of the body one after the other, each as a chunk.
func (m *message) chunk(pause time.Duration) {
	m.pause = pause
	m.parts = []string{m.head("Transfer-Encoding: chunked\r\n")}
	for _, part := range m.bodyParts() {
		m.parts = append(m.parts, fmt.Sprintf("%x\r\n%s\r\n", len(part), part))
	}
	m.parts[len(m.parts)-1] += "0\r\n\r\n"
}

func (m *message) bodyParts() []string {
	size := len(m.body) / bodyParts
	parts := make([]string, bodyParts)
	for i := range parts {
		parts[i] = m.body[i*size : (i+1)*size]
	}
	return parts
}

// exchange sends requests behind each other and reads their responses. It records all
// of them, and closes the connection if the daemon closed it or did not respond in time.
func (s *session) exchange(messages ...*message) {
	kept, open := s.answered > 0, true
	for i, m := range messages {
		m.call.kept, m.call.behind, m.call.sentAt = kept, i > 0, time.Now()
		m.call.lastByteAt = s.write(m)
	}
	for _, m := range messages {
		open = s.receive(m) && open
		s.recorder.addCall(m.call)
	}
	if !open {
		s.disconnect()
	}
}

// write sends the parts of a request and returns when the last byte was sent, or zero if
// the connection ended before.
func (s *session) write(m *message) time.Time {
	for i, part := range m.parts {
		if i > 0 {
			time.Sleep(m.pause)
		}
		if _, err := io.WriteString(s.conn, part); err != nil {
			return time.Time{}
		}
	}
	return time.Now()
}

// receive reads the response to a request, records the result in its call, and reports
// whether the connection stays open.
func (s *session) receive(m *message) bool {
	_ = s.conn.SetReadDeadline(m.call.sentAt.Add(m.call.limit + responseSlack))
	response, err := http.ReadResponse(s.reader, &http.Request{Method: m.call.method})
	var body []byte
	if err == nil {
		defer response.Body.Close()
		m.call.begunAt = time.Now()
		body, err = io.ReadAll(response.Body)
	}
	m.call.endedAt = time.Now()
	if err != nil {
		m.call.cut = !errors.Is(err, os.ErrDeadlineExceeded)
		return false
	}
	s.answered++
	signature := response.Header.Get(platform.HeaderSignature)
	m.call.status, m.call.signed = response.StatusCode, signature != ""
	if m.call.status == http.StatusOK {
		s.recorder.checkResponse(m.call.id, signature, string(body), m.call.method+" "+m.target+" "+m.body)
	}
	return !response.Close
}
