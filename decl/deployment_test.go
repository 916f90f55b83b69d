package decl_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"dandeliondoor/decl"
	"dandeliondoor/model"
)

// TestFindings checks that Print returns the findings of all invalid declarations
// together and writes nothing.
func TestFindings(t *testing.T) {
	t.Parallel()
	d := decl.NewDeployment("wrong")
	d.Service("souk catalogue", decl.Floor(101), decl.RetryBudget(-1)).
		Upstream("souk-01", "", "10.0.0.1:80", 0, 400).
		Upstream("souk-01", "medina", "nowhere", 3, 2).
		Route("lots", "souk.example:80", "lots", decl.Deadline(-time.Second)).
		Route("lots", "", "/lots", decl.Deadline(time.Hour))
	d.Service("empty")
	d.Service("empty")
	d.Accounts("offices", model.Account{Name: "a", MaxInFlight: -1}, model.Account{Name: "a"})
	var text bytes.Buffer
	err := d.Print(&text)
	if err == nil || text.Len() > 0 {
		t.Fatalf("got %v and %q", err, text.String())
	}
	goldie.New(t).Assert(t, "findings", []byte(err.Error()+"\n"))
}

// TestPools partitions a service that has 40 upstreams in one zone and 5 in
// another.
func TestPools(t *testing.T) {
	t.Parallel()
	service := model.Service{Name: "agenda"}
	for i := range 45 {
		zone := "bilbao"
		if i >= 40 {
			zone = "oviedo"
		}
		service.Upstreams = append(service.Upstreams, model.Upstream{Name: string(rune('A' + i)), Zone: zone, Slots: 3})
	}
	sizes := make(map[string]int)
	for _, pool := range model.Pools(service) {
		sizes[pool.Key] = len(pool.Upstreams)
	}
	for key, want := range map[string]int{"agenda/bilbao/0": 13, "agenda/bilbao/1": 13, "agenda/bilbao/2": 14, "agenda/oviedo/0": 5} {
		if sizes[key] != want {
			t.Errorf("%s has %d upstreams, want %d", key, sizes[key], want)
		}
	}
}
