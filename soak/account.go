package soak

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"dandeliondoor/fakes"
	"dandeliondoor/kernel"
	"dandeliondoor/topo"
)

// The platform's limits for client accounts.
const (
	// quotaWindow is the period for which the requests of an account are limited to
	// (rate x period + burst) x quotaOverage + quotaSlack.
	quotaWindow  = 5 * time.Second
	quotaOverage = 1.1
	quotaSlack   = 20
	// keyApply is the time within which a new or removed key takes effect.
	keyApply = 2500 * time.Millisecond
)

// The accounts: that of most callers, one that stays at half of its quota, and one that
// exceeds it several times over.
const (
	mainAccount   = "guild"
	steadyAccount = "weaver"
	greedyAccount = "hawker"
	// unknownKey is the key of no account, and forgedAccount what callers claim to be.
	unknownKey    = "key-of-nobody"
	forgedAccount = "forged"
	// publicRoute needs no key.
	publicRoute = "signs"
	publicPath  = "/signs/a"
)

// Times between two requests of the callers of one account. One caller of an account that
// waits for each response sends no bursts.
const (
	keyCallInterval    = 80 * time.Millisecond
	steadyCallInterval = 40 * time.Millisecond
	greedyCallInterval = 8 * time.Millisecond
	greedyCallers      = 3
)

// Accounts exist for seeds whose remainder by accountModulus is at least accountRemainder,
// so that the first seeds of the table in docs/SOAK.md run without accounts as before.
const (
	accountModulus   = 5
	accountRemainder = 4
)

// hasAccounts reports whether the configuration of a seed has client accounts.
func hasAccounts(seed uint64) bool {
	return seed%accountModulus == 0 || seed%accountModulus >= accountRemainder
}

// newAccounts returns the accounts of a version of the configuration and their keys. One key
// of the main account is valid in this version only.
func newAccounts(version uint64) (accounts []topo.Account, keys map[string][]string) {
	accounts = []topo.Account{
		{Name: mainAccount, Rate: 4000, Burst: 4000},
		{Name: steadyAccount, Rate: 50, Burst: 30},
		{Name: greedyAccount, Rate: 20, Burst: 10},
	}
	return accounts, map[string][]string{
		mainAccount:   {accountKey(mainAccount), versionKey(version)},
		steadyAccount: {accountKey(steadyAccount)},
		greedyAccount: {accountKey(greedyAccount)},
	}
}

func accountKey(account string) string { return "key-of-" + account }

func versionKey(version uint64) string { return fmt.Sprintf("key-of-version-%d", version) }

// keyedCall returns a call with the key of the account of most callers, if there are
// accounts.
func (f *fleet) keyedCall(method string) call {
	c := call{method: method}
	if f.accounts {
		c.key, c.account = accountKey(mainAccount), mainAccount
	}
	return c
}

// startAccountCallers starts the callers of the steady and the greedy account, and one
// that tries keys.
func (f *fleet) startAccountCallers(ctx context.Context, r *recorder, planned bool) []<-chan error {
	if !f.accounts {
		return nil
	}
	results := []<-chan error{kernel.Run(ctx, func(ctx context.Context) error { return f.tryKeys(ctx, r, planned) })}
	results = append(results, kernel.Run(ctx, func(ctx context.Context) error {
		return f.useAccount(ctx, r, steadyAccount, 0, steadyCallInterval, planned)
	}))
	for i := range greedyCallers {
		results = append(results, kernel.Run(ctx, func(ctx context.Context) error {
			return f.useAccount(ctx, r, greedyAccount, i, greedyCallInterval, planned)
		}))
	}
	return results
}

// useAccount sends requests of an account to the daemons in turn.
func (f *fleet) useAccount(
	ctx context.Context, r *recorder, account string, first int, interval time.Duration, planned bool,
) error {
	for i := first; ctx.Err() == nil; i++ {
		c := call{method: http.MethodGet, key: accountKey(account), account: account, planned: planned}
		r.send(ctx, f.daemons[i%len(f.daemons)], c, "/lots/a", 0)
		sleep(ctx, interval)
	}
	return nil
}

// tryKeys sends requests with the newest key, the one that was removed last, an unknown
// one, none, and none to a public route.
func (f *fleet) tryKeys(ctx context.Context, r *recorder, planned bool) error {
	for i := 0; ctx.Err() == nil; i++ {
		version := f.newestVersion()
		c := call{method: http.MethodGet, planned: planned}
		path := "/lots/a"
		switch i % 5 {
		case 0:
			c.key, c.keyVersion, c.account = versionKey(version), version, mainAccount
		case 1:
			c.key, c.keyVersion, c.account = versionKey(version-1), version-1, mainAccount
		case 2:
			c.key = unknownKey
		case 3:
			path, c.public = publicPath, true
		}
		r.send(ctx, f.daemons[i/5%len(f.daemons)], c, path, 0)
		sleep(ctx, keyCallInterval)
	}
	return nil
}

// verifyAccounts checks what reached the servers with and without a valid key, and which
// requests were refused for their account's quota.
func (f *fleet) verifyAccounts() {
	if !f.accounts {
		return
	}
	calls := make(map[string]call)
	for _, c := range append(slices.Clone(f.crashes.calls), f.recorder.calls...) {
		calls[c.id] = c
	}
	admitted := make(map[string]map[string]time.Time)
	for _, s := range f.servers {
		for _, a := range s.Arrivals() {
			c, found := calls[a.ID]
			if !found {
				continue
			}
			f.verifyKey(c, a, s.ID())
			if admitted[c.account] == nil {
				admitted[c.account] = make(map[string]time.Time)
			}
			if first, seen := admitted[c.account][a.ID]; !seen || a.At.Before(first) {
				admitted[c.account][a.ID] = a.At
			}
		}
	}
	accounts, _ := newAccounts(1)
	for _, account := range accounts {
		f.recorder.verifyQuota(account, slices.SortedFunc(maps.Values(admitted[account.Name]), time.Time.Compare))
		f.recorder.verifyRefusals(account)
	}
}

// verifyKey checks that the key of a request that reached a server is valid and stayed at
// the daemon, and that the server was told its account.
func (f *fleet) verifyKey(c call, a fakes.Arrival, server string) {
	switch {
	case a.Key != "":
		f.recorder.addFinding("%s reached %s with an API key", c, server)
	case c.account == "" && !c.public:
		f.recorder.addFinding("%s reached %s without a known key (%q)", c, server, c.key)
	case a.Account != c.account:
		f.recorder.addFinding("%s reached %s as one of account %q, not %q", c, server, a.Account, c.account)
	case c.keyVersion > 0 && f.isRemoved(c):
		f.recorder.addFinding("%s reached %s with %s later than %s after its removal", c, server, c.key, keyApply)
	}
}

// isRemoved reports whether the key of a call had been removed for longer than keyApply when
// the call was sent, with neither the store nor a daemon disturbed since then. Daemons get
// the configuration from each other.
func (f *fleet) isRemoved(c call) bool {
	f.mutex.Lock()
	removedAt, removed := f.publishedAt[c.keyVersion+1]
	f.mutex.Unlock()
	if !removed || !c.sentAt.After(removedAt.Add(keyApply)) {
		return false
	}
	marks := []mark{{kind: storeDisturbed}}
	for _, d := range f.daemons {
		marks = append(marks, mark{kind: daemonDisturbed, name: d.name})
	}
	return !slices.ContainsFunc(marks, func(m mark) bool { return len(f.history.overlapping(m, removedAt, c.sentAt)) > 0 })
}

// verifyQuota checks the number of requests of an account that reached servers first in
// each window that ends with one of them. The times are in order.
func (r *recorder) verifyQuota(account topo.Account, arrivals []time.Time) {
	allowed := (account.Rate*quotaWindow.Seconds()+account.Burst)*quotaOverage + quotaSlack
	first := 0
	for i, at := range arrivals {
		for arrivals[first].Before(at.Add(-quotaWindow)) {
			first++
		}
		if count := i - first + 1; float64(count) > allowed {
			r.addFinding("account %s: %d requests reached servers in the %s up to %s, at most %.0f are allowed",
				account.Name, count, quotaWindow, at.Format(time.RFC3339Nano), allowed)
			return
		}
	}
}

// verifyRefusals checks that no request of an account that stays below its quota is refused
// for it. An account stays below if a bucket that all of its requests draw from, refused
// ones included, never lacks a token.
func (r *recorder) verifyRefusals(account topo.Account) {
	var calls, refused []call
	for _, c := range r.calls {
		if c.account == account.Name {
			calls = append(calls, c)
		}
	}
	slices.SortFunc(calls, func(a, b call) int { return a.sentAt.Compare(b.sentAt) })
	tokens := account.Burst
	for i, c := range calls {
		if i > 0 {
			tokens = min(tokens+c.sentAt.Sub(calls[i-1].sentAt).Seconds()*account.Rate, account.Burst)
		}
		if tokens--; tokens < 0 {
			return
		}
		if c.status == http.StatusTooManyRequests {
			refused = append(refused, c)
		}
	}
	if len(refused) > 0 {
		r.addFinding("account %s: %d of %d requests were refused although it was below its quota, the first at %s: %s",
			account.Name, len(refused), len(calls), refused[0].sentAt.Format(time.RFC3339Nano), refused[0])
	}
}
