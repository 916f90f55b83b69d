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

// Deployment collects the declarations of one operator.
type Deployment struct {
	name     string
	content  model.Deployment
	findings check.Findings
}

// NewDeployment returns an empty deployment. Findings name it as their source.
func NewDeployment(name string) *Deployment {
	return &Deployment{name: name}
}

// Service declares a service and returns it, so that upstreams and routes can be
// added.
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

// Build returns the content sorted by name. If validation fails, the error is a
// check.Findings with all findings.
func (d *Deployment) Build() (model.Deployment, error) {
	sortContent(&d.content)
	findings := slices.Concat(d.findings, model.CheckDeployment(d.name, d.content))
	return d.content, findings.Err()
}

// Print writes the deployment as YAML. If validation fails, it writes nothing and
// returns all findings.
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

// The defaults of omitted options.
const (
	defaultFloorPercent       = 60
	defaultRetryBudgetPercent = 20
	defaultDeadline           = 2 * time.Second
	defaultLongDeadline       = 30 * time.Second
)

// ServiceOption sets a property of a declared service.
type ServiceOption func(*model.Service)

// Floor sets the minimum healthy capacity, in percent of the declared slots, that
// outlier ejection must leave in service.
func Floor(percent int) ServiceOption {
	return func(s *model.Service) { s.FloorPercent = percent }
}

// RetryBudget limits retries to a percentage of the successful requests.
func RetryBudget(percent int) ServiceOption {
	return func(s *model.Service) { s.RetryBudgetPercent = percent }
}

// Service is a declared service, to which upstreams and routes can be added.
type Service struct {
	deployment *Deployment
	index      int
}

// Upstream declares one server of the service. The address has the form IP:port.
func (s *Service) Upstream(name, zone, address string, slots, connections int) *Service {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		position := check.Position{File: s.deployment.name}
		s.deployment.findings.Add(position, "service %s: upstream %s: address %q is not of the form IP:port", s.content().Name, name, address)
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

// Route declares that requests for a host and path prefix go to the service.
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

// RouteOption sets a property of a declared route.
type RouteOption func(*model.Route)

// Repeatable declares that requests of the route may be executed more than once.
func Repeatable() RouteOption {
	return func(r *model.Route) { r.Repeatable = true }
}

// Long declares that requests of the route take many times longer than others. It
// raises the deadline to 30 s if it still has its default value.
func Long() RouteOption {
	return func(r *model.Route) {
		r.Class = model.ClassLong
		if r.Deadline == defaultDeadline {
			r.Deadline = defaultLongDeadline
		}
	}
}

// Deadline sets the maximum duration of a request on the route.
func Deadline(deadline time.Duration) RouteOption {
	return func(r *model.Route) { r.Deadline = deadline }
}
