package topo

import (
	"crypto/sha256"
)

// KeyDigest is the SHA-256 digest of an API key. Keys themselves are not kept, so that
// neither a state dump nor a message between daemons discloses them.
type KeyDigest [sha256.Size]byte

// NewKeyDigest returns the digest of an API key.
func NewKeyDigest(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Account is a client account. Priority replaces that of the route for its requests if
// HasPriority is set; 0 is the highest. Rate, in requests per second, and Burst, in
// requests, limit what all daemons together let through; a Rate of 0 means no limit.
type Account struct {
	Name        string
	Keys        []KeyDigest
	Priority    int
	HasPriority bool
	Rate        float64
	Burst       float64
}

// Limited reports whether the account has a quota.
func (a *Account) Limited() bool { return a.Rate > 0 }

// EffectivePriority returns the priority of the account's requests on a route with the
// given priority.
func (a *Account) EffectivePriority(route int) int {
	if a != nil && a.HasPriority {
		return a.Priority
	}
	return route
}

// AccountTable looks up accounts in one version of the configuration.
type AccountTable struct {
	byKey  map[KeyDigest]*Account
	byName map[string]*Account
}

// NewAccountTable builds a lookup table. The accounts must not be modified afterwards.
func NewAccountTable(accounts []Account) *AccountTable {
	t := &AccountTable{byKey: make(map[KeyDigest]*Account, len(accounts)), byName: make(map[string]*Account, len(accounts))}
	for i := range accounts {
		account := &accounts[i]
		t.byName[account.Name] = account
		for _, key := range account.Keys {
			t.byKey[key] = account
		}
	}
	return t
}

// Required reports whether the configuration has accounts, so that requests on routes that
// are not public need an API key.
func (t *AccountTable) Required() bool { return len(t.byName) > 0 }

// Find returns the account that holds an API key, or nil. The lookup by digest takes the
// same time for a wrong key however much of it is right.
func (t *AccountTable) Find(key string) *Account {
	if key == "" {
		return nil
	}
	return t.byKey[NewKeyDigest(key)]
}

// Named returns the account with a name, or nil.
func (t *AccountTable) Named(name string) *Account { return t.byName[name] }

// All returns the accounts by name. The caller must not modify the map.
func (t *AccountTable) All() map[string]*Account { return t.byName }
