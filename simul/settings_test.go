package simul_test

import (
	"testing"
	"time"

	"dandeliondoor/simul"
)

const validClass = "classes: [{name: a, rate: 10, work: 100ms, objective: 1s, deadline: 2s, attempts: 2}]\n"

// TestParseLoad checks that valid loads keep the defaults of missing keys, and that
// findings of invalid ones are reported together with their places.
func TestParseLoad(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		text string
		want string
	}{
		{name: "burst without a factor", text: validClass + "bursts: [{at: 1s, for: 2s}]\n", want: "load.yaml:2:9: each burst needs at, and for and factor above 0"},
		{name: "class twice", text: "classes:\n- {name: a, rate: 1, work: 1s, objective: 1s, deadline: 1s, attempts: 1}\n- {name: a, rate: 1, work: 1s, objective: 1s, deadline: 1s, attempts: 1}\n", want: "load.yaml:2:1: class a stands twice"},
		{name: "no classes", text: "servers: 10\n", want: "load.yaml:1:1: classes are missing"},
		{name: "pause without a share", text: validClass + "pauses: [{at: 1s, for: 2s, retry_after: 1s}]\n", want: "load.yaml:2:9: each pause needs at, for and retry_after above 0, and a share of at most 1"},
		{name: "two findings", text: "servers: 0\nhealth: {unhealthy_share: 1}\n" + validClass, want: "load.yaml:1:10: servers is not above 0\nload.yaml:2:27: unhealthy_share is not between 0 and 1"},
		{name: "unknown key", text: validClass + "speed: 1\n", want: "load.yaml:2:1: unknown key speed"},
		{name: "valid", text: "length: 5s\n" + validClass},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			load, err := simul.ParseLoad("load.yaml", []byte(test.text))
			got := ""
			if err != nil {
				got = err.Error()
			}
			if got != test.want {
				t.Fatalf("got %q, want %q", got, test.want)
			}
			if err == nil && (load.Length != 5*time.Second || load.Servers != simul.Defaults().Servers) {
				t.Errorf("got %+v", load)
			}
		})
	}
}
