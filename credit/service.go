package credit

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"dandeliondoor/feed"
	"dandeliondoor/kernel"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

// Name identifies the service in the kernel and in log lines.
const Name = "credit"

const (
	// renewalCheck is the time between two checks for due renewals.
	renewalCheck = 100 * time.Millisecond
	// maxDumped bounds the accounts of a state dump.
	maxDumped = 100
)

// Service exchanges the messages of this daemon's Delegator, Allocator and Wallet. Without
// an account that has a quota, it sends nothing.
type Service struct {
	views   ViewSource
	peers   *wire.Peers
	log     *logrus.Entry
	clock   Clock
	ranking *ranking

	due  chan struct{}
	wake chan struct{}

	mutex     sync.Mutex
	delegator *Delegator
	allocator *Allocator
	wallet    *Wallet
	view      *feed.View
	freshAt   time.Time
	ticking   bool
}

var (
	_ kernel.Service = &Service{}
	_ kernel.Dumper  = &Service{}
	_ Admitter       = &Service{}
)

// NewService returns a service. Its clock must include the time in which the machine was
// suspended, see NewBootClock.
func NewService(views ViewSource, peers *wire.Peers, clock Clock, log *logrus.Entry) *Service {
	process, self := rand.Uint64(), views.Self().Name
	return &Service{
		views: views, peers: peers, log: log, clock: clock, ranking: newRanking(views, peers),
		due: make(chan struct{}, 1), wake: make(chan struct{}, 1),
		delegator: NewDelegator(clock(), self, process), allocator: NewAllocator(process), wallet: NewWallet(self, process),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// SetView replaces the view. The accounts of a view without a configuration are not used.
func (s *Service) SetView(view *feed.View) {
	if view.Table == nil {
		return
	}
	now := s.clock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.freshAt = now.Add(-time.Since(view.FreshAt))
	s.view = view
	s.delegator.SetView(now, view.Daemons, view.Table.Accounts)
	s.allocator.SetView(now, view.Daemons, view.Table.Accounts, s.freshAt)
	s.wallet.SetAccounts(view.Table.Accounts)
	if s.delegator.Enabled() {
		signal(s.due)
	}
}

// signal wakes the receiver of a channel of one element.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Start delegates and requests tokens until the context ends.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) (<-chan error, error) {
	return kernel.Run(ctx, func(ctx context.Context) error {
		delegating, requesting := kernel.Run(ctx, s.delegate), kernel.Run(ctx, s.request)
		return errors.Join(<-delegating, <-requesting)
	}), nil
}

// Take implements Admitter. The time is that of the service's clock, since only that one
// includes suspension.
func (s *Service) Take(_ time.Time, account *topo.Account) Verdict {
	if !account.Limited() {
		return Admitted{}
	}
	s.mutex.Lock()
	verdict := s.wallet.Take(s.clock(), account)
	_, pending := verdict.(Pending)
	pending = pending || !s.ticking
	s.mutex.Unlock()
	if pending {
		signal(s.wake)
	}
	return verdict
}

// Return implements Admitter.
func (s *Service) Return(_ time.Time, account string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.wallet.Return(s.clock(), account)
}

// delegate renews the delegations while any account has a quota.
func (s *Service) delegate(ctx context.Context) error {
	ticker := time.NewTicker(renewalCheck)
	ticker.Stop()
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.due:
			ticker.Reset(renewalCheck)
		case <-ticker.C:
		}
		renewals, enabled := s.renewals()
		if !enabled {
			ticker.Stop()
		}
		for _, renewal := range renewals {
			calls.Go(func() { s.renew(ctx, renewal) })
		}
	}
}

// renewals returns the renewals that are due, and whether any account has a quota.
func (s *Service) renewals() ([]Renewal, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.updateFresh()
	return s.delegator.Renewals(s.clock(), s.chooseName, s.ranking.candidates), s.delegator.Enabled()
}

// updateFresh notes when the store confirmed the view last. Views with no other change are
// not announced.
func (s *Service) updateFresh() {
	if view := s.views.View(); s.view != nil && view.FreshAt.After(s.view.FreshAt) {
		s.freshAt = s.clock().Add(-time.Since(view.FreshAt))
		s.view = view
		s.allocator.SetFresh(s.freshAt)
	}
}

func (s *Service) chooseName(role Role) string { return s.ranking.choose(role).Name }

func (s *Service) renew(ctx context.Context, renewal Renewal) {
	reply, err := exchange(ctx, s, renewal.Target, delegateMethod, renewal.Request, s.handleDelegate)
	if err != nil {
		s.log.WithError(err).WithField("allocator", renewal.Target).Debug("renewal of the delegation failed")
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.delegator.Receive(s.clock(), renewal, reply) {
		signal(s.due)
	}
}

// request requests tokens while there is demand.
func (s *Service) request(ctx context.Context) error {
	ticker := time.NewTicker(requestInterval)
	ticker.Stop()
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-ticker.C:
		}
		messages, began, ended := s.requests()
		if began {
			ticker.Reset(requestInterval)
		}
		if ended {
			ticker.Stop()
		}
		for _, message := range messages {
			calls.Go(func() { s.fetch(ctx, message) })
		}
	}
}

// requests returns the requests that are due. Began and ended are set when the time begins
// or ends in which others may be due without a call of Take.
func (s *Service) requests() (messages []Outgoing, began, ended bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	messages = s.wallet.Requests(now, s.chooseName)
	active := s.wallet.Active(now)
	began, ended = active && !s.ticking, !active && s.ticking
	s.ticking = active
	return messages, began, ended
}

func (s *Service) fetch(ctx context.Context, message Outgoing) {
	reply, err := exchange(ctx, s, message.Target, issueMethod, message.Request, s.handleIssue)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		s.log.WithError(err).WithField("allocator", message.Target).Debug("request for tokens failed")
		s.wallet.Fail(message)
		return
	}
	if s.wallet.Receive(s.clock(), message, reply); s.wallet.Waiting(s.clock()) {
		signal(s.wake)
	}
}

// UnlistedError means that an allocator is not listed any more.
type UnlistedError struct{ Daemon string }

// Error names the daemon.
func (e *UnlistedError) Error() string { return "daemon " + e.Daemon + " is not listed" }

// exchange sends a message to an allocator, which may be this daemon.
func exchange[Request, Reply any](
	ctx context.Context, s *Service, target, method string, request Request, local func(request Request) Reply,
) (Reply, error) {
	if target == s.views.Self().Name {
		return local(request), nil
	}
	address, listed := s.address(target)
	if !listed {
		var none Reply
		return none, &UnlistedError{Daemon: target}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return wire.Call[Request, Reply](ctx, s.peers, address, method, request)
}

// address returns the address of a listed daemon.
func (s *Service) address(name string) (netip.AddrPort, bool) {
	for _, daemon := range s.views.View().Daemons {
		if daemon.Name == name {
			return daemon.Address, true
		}
	}
	return netip.AddrPort{}, false
}

func (s *Service) handleDelegate(request DelegateRequest) DelegateReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.allocator.Delegate(s.clock(), request)
}

func (s *Service) handleIssue(request IssueRequest) IssueReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.updateFresh()
	return s.allocator.Issue(s.clock(), request)
}

// receiver serves the RPCs of other daemons.
type receiver struct{ service *Service }

// Receivers returns the methods that other daemons may call.
func (s *Service) Receivers(*wire.Session) []wire.Receiver {
	return []wire.Receiver{{Name: receiverName, Methods: &receiver{service: s}}}
}

// Delegate counts a delegation of another daemon.
func (r *receiver) Delegate(request DelegateRequest, reply *DelegateReply) error {
	*reply = r.service.handleDelegate(request)
	return nil
}

// Issue issues tokens to the broker of another daemon.
func (r *receiver) Issue(request IssueRequest, reply *IssueReply) error {
	*reply = r.service.handleIssue(request)
	return nil
}

// State is the service's part of a state dump. Delegated is the share of the quotas that
// this daemon delegates, and ViewAge is the age of the view by which it issues tokens.
type State struct {
	Delegated float64        `yaml:"delegated"`
	ViewAge   time.Duration  `yaml:"view_age"`
	Allocator AllocatorState `yaml:"allocator"`
	Tokens    WalletStats    `yaml:"tokens"`
	Accounts  []PurseState   `yaml:"accounts"`
}

// Dump returns the current state.
func (s *Service) Dump(time.Time) any {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	state := State{
		Delegated: s.delegator.Delegated(now), Allocator: s.allocator.State(now),
		Tokens: s.wallet.Stats(), Accounts: s.wallet.State(now, maxDumped),
	}
	if !s.freshAt.IsZero() {
		state.ViewAge = now.Sub(s.freshAt)
	}
	return state
}
