package procs_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"dandeliondoor/proto"
)

// shownHeaders are the headers that a session's golden file states.
var shownHeaders = []string{
	"Content-Type", "Retry-After", proto.HeaderOutcome, proto.HeaderReason, proto.HeaderLoad,
}

// session collects what callers and operators see.
type session struct {
	strings.Builder
}

// upstreamNumber hides which of the equal upstreams answered.
var upstreamNumber = regexp.MustCompile(`souk-\d\d`)

func (s *session) say(format string, arguments ...any) {
	fmt.Fprintf(s, format+"\n", arguments...)
}

func (s *session) answered(a answer) {
	if a.err != nil {
		s.say("  error")
		return
	}
	s.say("  %d", a.status)
	for _, name := range shownHeaders {
		if value := a.header.Get(name); value != "" {
			s.say("  %s: %s", name, value)
		}
	}
	if a.header.Get(proto.HeaderRequestID) == "" {
		s.say("  no request id")
	}
	for name := range a.trailer {
		s.say("  trailer %s: %s", name, a.trailer.Get(name))
	}
	body := upstreamNumber.ReplaceAllString(a.body, "souk-NN")
	if len(body) > 200 {
		body = fmt.Sprintf("%s… %d bytes\n", strings.SplitAfter(body, "\n")[0], len(a.body))
	}
	for line := range strings.Lines(body) {
		s.WriteString("  | " + line)
	}
}

// TestSession sends the session of the golden file through separate processes:
// log, list of VMs, three daemons in three zones and six upstreams.
func TestSession(t *testing.T) {
	f := newFleet(t, 3, 6)
	var s session
	file := f.write("souk.yaml", f.souk(60))
	for _, arguments := range [][]string{
		{"check", file},
		{"publish", "--log", f.log.String(), file},
		{"publish", "--log", f.log.String(), "--first", file},
		{"publish", "--log", f.log.String(), file},
		{"publish", "--log", f.log.String(), "--base", "service/souk-catalogue=0", f.write("floor.yaml", f.souk(50))},
	} {
		shown := strings.NewReplacer(f.log.String(), "LOG", f.directory+"/", "").Replace(strings.Join(arguments, " "))
		output, code := f.run(arguments...)
		s.say("$ dandeliondoor %s\n%sexit %d\n", shown, withoutIDs(output), code)
	}
	f.ready()
	for _, step := range []struct {
		name    string
		method  string
		path    string
		body    string
		headers []string
	}{
		{name: "a short read", method: http.MethodGet, path: "/lots/12"},
		{name: "an unrepeatable write", method: http.MethodPost, path: "/bales", body: "lot=12&bales=3"},
		{name: "a long read with many bytes", method: http.MethodGet, path: "/search/size-100000"},
		{name: "a write marked unrepeatable", method: http.MethodPost, path: "/lots/12", headers: []string{proto.HeaderUnrepeatable, "true"}},
		{name: "an unknown host", method: http.MethodGet, path: "/lots", headers: []string{"Host", "nobody.example"}},
		{name: "an unknown path", method: http.MethodGet, path: "/lotsofbales"},
		{name: "a bad deadline", method: http.MethodGet, path: "/lots", headers: []string{proto.HeaderDeadline, "soon"}},
		{name: "a deadline that passes", method: http.MethodGet, path: "/lots/sleep-5s", headers: []string{proto.HeaderDeadline, "150"}},
	} {
		for _, d := range f.daemons {
			s.say("%s: %s %s through %s", step.name, step.method, step.path, d.settings.Name)
			s.answered(f.call(d, step.method, step.path, step.body, step.headers...))
		}
		s.say("")
	}
	s.raw(t, f, "length beside encoding", "POST /lots HTTP/1.1\r\nHost: souk.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	s.raw(t, f, "two lengths", "POST /lots HTTP/1.1\r\nHost: souk.example\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd")
	s.raw(t, f, "oversized headers", "GET /lots HTTP/1.1\r\nHost: souk.example\r\nX-Long: "+strings.Repeat("x", 100_000)+"\r\n\r\n")
	goldie.New(t).Assert(t, "session", []byte(s.String()))
}

// raw sends bytes as they are.
func (s *session) raw(t *testing.T, f *fleet, name, bytes string) {
	t.Helper()
	s.say("%s", name)
	conn, err := net.Dial("tcp", f.daemons[0].settings.Listen.Callers.String())
	must(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, bytes)
	must(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must(t, err)
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	s.say("  %d", response.StatusCode)
	s.say("  | %s", strings.TrimSpace(string(body)))
}

var identifier = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f-]{27}`)

func withoutIDs(text string) string {
	return identifier.ReplaceAllString(text, "ID")
}
