package entry_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"dandeliondoor/proto"
)

// newHandlerUpstream starts an upstream that serves requests with a handler.
func newHandlerUpstream(t *testing.T, handler http.HandlerFunc) *testUpstream {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return &testUpstream{address: netip.MustParseAddrPort(server.Listener.Addr().String())}
}

// post sends a request with a streamed body to the daemon.
func (h *harness) post(ctx context.Context, t *testing.T, body io.Reader, trailer http.Header) *http.Response {
	t.Helper()
	target := "http://" + h.fleet.Daemons[0].Settings.Listen.Callers.String() + "/bales"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, body)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "souk.example"
	request.Trailer = trailer
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

// TestEarlyResponse uses an upstream that responds before it has received the whole
// request body. The caller must get the response while it is still sending.
func TestEarlyResponse(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newHandlerUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		// Without full duplex, net/http's server reads the whole body first.
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.WriteHeader(http.StatusConflict)
		io.WriteString(w, "sold already")
	}))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	reader, writer := io.Pipe()
	go func() { _, _ = io.WriteString(writer, "lot=12&") }()
	response := h.post(ctx, t, reader, nil)
	text, err := io.ReadAll(response.Body)
	writer.Close()
	if err != nil || response.StatusCode != http.StatusConflict || string(text) != "sold already" {
		t.Fatalf("got %d %q %v", response.StatusCode, text, err)
	}
}

// TestStalledBody stops sending within the request body. The request must end at
// its deadline, so that it doesn't occupy its slot any longer.
func TestStalledBody(t *testing.T) {
	t.Parallel()
	h := newHarness(t, newHandlerUpstream(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	reader, writer := io.Pipe()
	go func() { _, _ = io.WriteString(writer, "lot=12&") }()
	response := h.post(ctx, t, reader, nil)
	writer.Close()
	if response.StatusCode != http.StatusGatewayTimeout || response.Header.Get(proto.HeaderOutcome) != string(proto.OutcomeUnknown) {
		t.Fatalf("got %d %v", response.StatusCode, response.Header)
	}
}

// TestStreamedBody sends a body of unknown length with a trailer. Body and trailer
// must reach the upstream, and the response's trailer the caller.
func TestStreamedBody(t *testing.T) {
	t.Parallel()
	const size = 1 << 20
	h := newHarness(t, newHandlerUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		count, _ := io.Copy(io.Discard, r.Body)
		if count == size && r.Trailer.Get("Body-Digest") == "abc" {
			w.Header().Set("Trailer", "Answer-Digest")
			io.WriteString(w, "taken")
			w.Header().Set("Answer-Digest", "def")
		}
	}))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	body := io.MultiReader(strings.NewReader(strings.Repeat("x", size)))
	response := h.post(ctx, t, body, http.Header{"Body-Digest": {"abc"}})
	text, err := io.ReadAll(response.Body)
	if err != nil || string(text) != "taken" || response.Trailer.Get("Answer-Digest") != "def" {
		t.Fatalf("got %q %v, trailer %v", text, err, response.Trailer)
	}
}

// TestHopByHopHeaders checks that hop-by-hop headers of a request or a response
// aren't forwarded and that other headers are.
func TestHopByHopHeaders(t *testing.T) {
	t.Parallel()
	seen := make(chan http.Header, 1)
	h := newHarness(t, newHandlerUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("Proxy-Authenticate", "Basic")
	}))
	response := h.call(http.MethodPost, "/bales", "", http.Header{
		"Connection": {"X-Private"}, "Proxy-Authorization": {"secret"}, "X-Private": {"1"}, "X-Public": {"2"},
	})
	header := <-seen
	for _, name := range []string{"Proxy-Authorization", "X-Private"} {
		if header.Get(name) != "" {
			t.Errorf("upstream received hop-by-hop header %s", name)
		}
	}
	if header.Get("X-Public") != "2" || header.Get("X-Forwarded-For") != "127.0.0.1" {
		t.Errorf("upstream received headers %v", header)
	}
	if response.Header.Get("Keep-Alive") != "" || response.Header.Get("Proxy-Authenticate") != "" {
		t.Errorf("caller received headers %v", response.Header)
	}
}
