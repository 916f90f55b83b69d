package front_test

import (
	"net/http"
	"testing"
)

// TestEntryBackDuringAsk guards against a request to a server that wants none and whose
// entry comes back between the request for a slot, which does not exclude a server that
// isn't listed, and the broker's decision.
func TestEntryBackDuringAsk(t *testing.T) {
	t.Parallel()
	for _, asked := range wishes {
		t.Run(asked.name, func(t *testing.T) {
			t.Parallel()
			f := newHoldFixture(t)
			held, other := f.server("i-held"), f.server("i-other")
			f.show(held)
			held.respond(asked.respond)
			f.hear(asked)
			held.respond(nil)
			f.show(other)
			f.gate.closed.Store(true)
			answered := make(chan int, 1)
			go func() {
				response, _ := f.send(f.address, http.MethodPost, "/bales/1", "r-late", "")
				answered <- response.StatusCode
			}()
			resume := f.nextAsk()
			f.gate.closed.Store(false)
			f.show(held)
			resume()
			if status := <-answered; status != http.StatusServiceUnavailable || held.reached("r-late") {
				t.Errorf("status %d, the request reached the held server: %t", status, held.reached("r-late"))
			}
		})
	}
}
