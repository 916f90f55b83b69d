package sample

import (
	"fmt"
	"net/netip"
	"time"

	"dandeliondoor/decl"
	"dandeliondoor/model"
)

// Addresses returns the address of an upstream, given its service and its index
// within the service.
type Addresses func(service string, index int) netip.AddrPort

// Sizes holds the number of upstreams of each of a firm's two services.
type Sizes struct {
	First  int
	Second int
}

// The current upstream counts of the two firms.
var (
	FesSizes       = Sizes{First: 20, Second: 16}
	CantabriaSizes = Sizes{First: 16, Second: 8}
)

// The slots and connections of each upstream.
const (
	slots                = 3
	fesConnections       = 400
	cantabriaConnections = 330
)

// FesZones returns the availability zones of the régie of Fès.
func FesZones() []string {
	return []string{"fes-medina", "fes-jdid", "sidi-brahim"}
}

// CantabriaZones returns the availability zones of Riego de Mesa Cantábrico.
func CantabriaZones() []string {
	return []string{"bilbao", "santander", "oviedo"}
}

// Fes declares the services of the régie of Fès: souk-catalogue and caisse-regie.
func Fes(sizes Sizes, addresses Addresses) *decl.Deployment {
	d := decl.NewDeployment("fes")
	catalogue := d.Service("souk-catalogue", decl.Floor(60)).
		Route("lots", "souk.example", "/lots", decl.Repeatable(), decl.Deadline(2*time.Second)).
		Route("lots-search", "souk.example", "/search", decl.Repeatable(), decl.Long()).
		Route("bales", "souk.example", "/bales", decl.Deadline(3*time.Second))
	caisse := d.Service("caisse-regie", decl.Floor(70), decl.RetryBudget(10)).
		Route("payments", "caisse.example", "/payments", decl.Deadline(5*time.Second)).
		Route("deliveries", "caisse.example", "/deliveries", decl.Repeatable())
	addUpstreams(catalogue, "souk-catalogue", sizes.First, FesZones(), fesConnections, addresses)
	addUpstreams(caisse, "caisse-regie", sizes.Second, FesZones(), fesConnections, addresses)
	d.Accounts(
		"fes-cooperatives",
		model.Account{Name: "atlas", MaxInFlight: 30},
		model.Account{Name: "saiss", MaxInFlight: 30},
		model.Account{Name: "zerhoun", MaxInFlight: 12},
	)
	return d
}

// Cantabria declares the services of Riego de Mesa Cantábrico: agenda and caja.
func Cantabria(sizes Sizes, addresses Addresses) *decl.Deployment {
	d := decl.NewDeployment("cantabria")
	agenda := d.Service("agenda", decl.Floor(60)).
		Route("schedules", "agenda.example", "/schedules", decl.Repeatable(), decl.Deadline(time.Second)).
		Route("visits", "agenda.example", "/visits", decl.Deadline(3*time.Second)).
		Route("plant-records", "agenda.example", "/records", decl.Repeatable(), decl.Long())
	caja := d.Service("caja", decl.Floor(70), decl.RetryBudget(10)).
		Route("invoices", "caja.example", "/invoices", decl.Repeatable()).
		Route("charges", "caja.example", "/charges", decl.Deadline(5*time.Second))
	addUpstreams(agenda, "agenda", sizes.First, CantabriaZones(), cantabriaConnections, addresses)
	addUpstreams(caja, "caja", sizes.Second, CantabriaZones(), cantabriaConnections, addresses)
	d.Accounts(
		"cantabria-offices",
		model.Account{Name: "bilbao-centro", MaxInFlight: 20},
		model.Account{Name: "oviedo-norte", MaxInFlight: 20},
	)
	return d
}

func addUpstreams(
	service *decl.Service, name string, count int, zones []string, connections int, addresses Addresses,
) {
	for i := range count {
		upstream := fmt.Sprintf("%s-%02d", name, i+1)
		service.Upstream(upstream, zones[i%len(zones)], addresses(name, i).String(), slots, connections)
	}
}

// PrivateAddresses gives each service a private /24 network and numbers its
// upstreams within it. It returns the zero AddrPort for an unknown service.
func PrivateAddresses(service string, index int) netip.AddrPort {
	networks := [...]string{"agenda", "caisse-regie", "caja", "souk-catalogue"}
	for i, candidate := range networks {
		if candidate == service {
			host := netip.AddrFrom4([4]byte{10, 20, byte(i + 1), byte(index + 1)})
			return netip.AddrPortFrom(host, 8080)
		}
	}
	return netip.AddrPort{}
}
