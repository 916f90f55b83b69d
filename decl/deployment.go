package decl

import (
	"io"
	"net/netip"
	"slices"
	"strings"
	"time"

	"dandeliondoor/check"
	"dandeliondoor/model"
)

// Deployment collects declarations.
type Deployment struct {
	name     string
	content  model.Deployment
	findings check.Findings
}

// NewDeployment returns an empty deployment; name stands in its findings.
func NewDeployment(name string) *Deployment {
	return &Deployment{name: name}
}

// Service declares a service and returns it for further declarations.
func (d *Deployment) Service(name string, options ...ServiceOption) *Service {
	d.content.Services = append(d.content.Services, model.Service{
		Name:               name,
		FloorPercent:       defaultFloorPercent,
		RetryBudgetPercent: defaultRetryBudgetPercent,
	})
	service := &Service{deployment: d, index: len(d.content.Services) - 1}
	for _, option := range options {
		option(service.content())
	}
	return service
}

// Accounts declares a shard of client accounts.
func (d *Deployment) Accounts(shard string, accounts ...model.Account) {
	d.content.AccountShards = append(d.content.AccountShards, model.AccountShard{Name: shard, Accounts: accounts})
}

// Build returns the checked content sorted by name, or all findings as a
// check.Findings error.
func (d *Deployment) Build() (model.Deployment, error) {
	sortContent(&d.content)
	findings := slices.Concat(d.findings, model.CheckDeployment(d.name, d.content))
	return d.content, findings.Err()
}

// Print writes the deployment as YAML, or returns all findings.
func (d *Deployment) Print(w io.Writer) error {
	content, err := d.Build()
	if err != nil {
		return err
	}
	text, err := model.Marshal(content)
	if err != nil {
		return err
	}
	_, err = io.WriteString(w, text)
	return err
}

func sortContent(content *model.Deployment) {
	slices.SortFunc(content.Services, func(a, b model.Service) int { return strings.Compare(a.Name, b.Name) })
	for i := range content.Services {
		service := &content.Services[i]
		slices.SortFunc(service.Upstreams, func(a, b model.Upstream) int { return strings.Compare(a.Name, b.Name) })
		slices.SortFunc(service.Routes, func(a, b model.Route) int { return strings.Compare(a.Name, b.Name) })
	}
	slices.SortFunc(content.AccountShards, func(a, b model.AccountShard) int { return strings.Compare(a.Name, b.Name) })
}

// The values that stand where an operator gives none.
const (
	defaultFloorPercent       = 60
	defaultRetryBudgetPercent = 20
	defaultDeadline           = 2 * time.Second
	defaultLongDeadline       = 30 * time.Second
)

// ServiceOption changes a service at its declaration.
type ServiceOption func(*model.Service)

// Floor sets the healthy capacity, in percent of the declared slots, that
// ejections leave.
func Floor(percent int) ServiceOption {
	return func(s *model.Service) { s.FloorPercent = percent }
}

// RetryBudget sets retries in percent of the successes.
func RetryBudget(percent int) ServiceOption {
	return func(s *model.Service) { s.RetryBudgetPercent = percent }
}

// Service is a declared service that takes upstreams and routes.
type Service struct {
	deployment *Deployment
	index      int
}

// Upstream declares one server of the service; address is IP and port.
func (s *Service) Upstream(name, zone, address string, slots, connections int) *Service {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		place := check.Place{File: s.deployment.name}
		s.deployment.findings.Add(place, "service %s: upstream %s: address %q is not IP and port", s.content().Name, name, address)
	}
	s.content().Upstreams = append(s.content().Upstreams, model.Upstream{
		Name:        name,
		Address:     parsed,
		Zone:        zone,
		Slots:       slots,
		Connections: connections,
	})
	return s
}

// Route declares a host and path prefix that lead to the service.
func (s *Service) Route(name, host, pathPrefix string, options ...RouteOption) *Service {
	route := model.Route{Name: name, Host: host, PathPrefix: pathPrefix, Deadline: defaultDeadline}
	for _, option := range options {
		option(&route)
	}
	s.content().Routes = append(s.content().Routes, route)
	return s
}

func (s *Service) content() *model.Service {
	return &s.deployment.content.Services[s.index]
}

// RouteOption changes a route at its declaration.
type RouteOption func(*model.Route)

// Repeatable lets a request of the route run more than once.
func Repeatable() RouteOption {
	return func(r *model.Route) { r.Repeatable = true }
}

// Long declares work that takes many times longer than the rest.
func Long() RouteOption {
	return func(r *model.Route) {
		r.Class = model.ClassLong
		if r.Deadline == defaultDeadline {
			r.Deadline = defaultLongDeadline
		}
	}
}

// Deadline sets the longest time of a request on the route.
func Deadline(deadline time.Duration) RouteOption {
	return func(r *model.Route) { r.Deadline = deadline }
}
