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

// recordedHeaders are the response headers that a transcript contains.
var recordedHeaders = []string{
	"Content-Type", "Retry-After", proto.HeaderOutcome, proto.HeaderReason, proto.HeaderLoad,
}

// transcript collects the responses to callers and the output of commands.
type transcript struct {
	strings.Builder
}

// upstreamName matches the name of an upstream in a response. Which upstream responds
// differs from run to run.
var upstreamName = regexp.MustCompile(`souk-\d\d`)

func (out *transcript) printf(format string, arguments ...any) {
	fmt.Fprintf(out, format+"\n", arguments...)
}

// writeResult records the result of a request.
func (out *transcript) writeResult(a callResult) {
	if a.err != nil {
		out.printf("  error")
		return
	}
	out.printf("  %d", a.status)
	for _, name := range recordedHeaders {
		if value := a.header.Get(name); value != "" {
			out.printf("  %s: %s", name, value)
		}
	}
	if a.header.Get(proto.HeaderRequestID) == "" {
		out.printf("  no request id")
	}
	for name := range a.trailer {
		out.printf("  trailer %s: %s", name, a.trailer.Get(name))
	}
	body := upstreamName.ReplaceAllString(a.body, "souk-NN")
	if len(body) > 200 {
		body = fmt.Sprintf("%s… %d bytes\n", strings.SplitAfter(body, "\n")[0], len(a.body))
	}
	for line := range strings.Lines(body) {
		out.WriteString("  | " + line)
	}
}

// TestSession runs commands and requests against an installation of three daemons in
// three zones and six upstreams, and compares the output with the golden file.
func TestSession(t *testing.T) {
	f := newFleet(t, 3, 6)
	var out transcript
	file := f.writeDeployment("souk.yaml", f.deployment(60))
	for _, arguments := range [][]string{
		{"check", file},
		{"publish", "--log", f.logAddress.String(), file},
		{"publish", "--log", f.logAddress.String(), "--first", file},
		{"publish", "--log", f.logAddress.String(), file},
		{"publish", "--log", f.logAddress.String(), "--base", "service/souk-catalogue=0", f.writeDeployment("floor.yaml", f.deployment(50))},
	} {
		shown := strings.NewReplacer(f.logAddress.String(), "LOG", f.directory+"/", "").Replace(strings.Join(arguments, " "))
		output, code := f.runCommand(arguments...)
		out.printf("$ dandeliondoor %s\n%sexit %d\n", shown, replaceIDs(output), code)
	}
	f.waitReady()
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
			out.printf("%s: %s %s through %s", step.name, step.method, step.path, d.settings.Name)
			out.writeResult(f.call(d, step.method, step.path, step.body, step.headers...))
		}
		out.printf("")
	}
	out.sendRaw(t, f, "Content-Length and Transfer-Encoding", "POST /lots HTTP/1.1\r\nHost: souk.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	out.sendRaw(t, f, "two Content-Length headers", "POST /lots HTTP/1.1\r\nHost: souk.example\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd")
	out.sendRaw(t, f, "oversized headers", "GET /lots HTTP/1.1\r\nHost: souk.example\r\nX-Long: "+strings.Repeat("x", 100_000)+"\r\n\r\n")
	goldie.New(t).Assert(t, "session", []byte(out.String()))
}

// sendRaw sends bytes to a daemon without interpretation and records the response. It
// is for malformed requests, which the HTTP client does not send.
func (out *transcript) sendRaw(t *testing.T, f *fleet, name, bytes string) {
	t.Helper()
	out.printf("%s", name)
	conn, err := net.Dial("tcp", f.daemons[0].settings.Listen.Callers.String())
	must(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, bytes)
	must(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must(t, err)
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	out.printf("  %d", response.StatusCode)
	out.printf("  | %s", strings.TrimSpace(string(body)))
}

// uuid matches the ID of a publication.
var uuid = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f-]{27}`)

func replaceIDs(text string) string {
	return uuid.ReplaceAllString(text, "ID")
}
