package credit

import (
	"time"

	"dandeliondoor/topo"
)

// Admitter decides whether requests of client accounts may run.
type Admitter interface {
	// Take takes the credit for one request of an account.
	Take(now time.Time, account *topo.Account) Verdict
	// Return gives back the credit of a request that has not run.
	Return(now time.Time, account string)
}

// Verdict is the result of taking credit: Admitted, Pending or Exhausted.
type Verdict interface{ isVerdict() }

// Admitted means that the request may run.
type Admitted struct{}

// Pending means that credit has been requested and is expected within Wait.
type Pending struct{ Wait time.Duration }

// Exhausted means that the account has used its quota. RetryAfter is the time until it
// will have credit for this request.
type Exhausted struct{ RetryAfter time.Duration }

var (
	_ Verdict = Admitted{}
	_ Verdict = Pending{}
	_ Verdict = Exhausted{}
)

func (Admitted) isVerdict() {}

func (Pending) isVerdict() {}

func (Exhausted) isVerdict() {}
