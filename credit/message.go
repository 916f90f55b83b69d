package credit

import "time"

// Names of the net/rpc receiver and methods.
const (
	receiverName   = "Credit"
	delegateMethod = "Credit.Delegate"
	issueMethod    = "Credit.Issue"
)

// Stamp is a time by the clock of an allocator. Process identifies the process that
// the time is of, since another one knows no delegations of it.
type Stamp struct {
	Process uint64
	At      time.Time
}

// DelegateRequest delegates Share, a fraction of the quotas of all accounts, to the
// allocator of some roles, until 0.75 s after the Stamp of an earlier reply. Without a
// stamp of its own process, the allocator only replies. It ends delegations of other
// processes of the daemon than Process. Starts are the roles whose buckets get start tokens.
type DelegateRequest struct {
	Daemon  string
	Process uint64
	Stamp   Stamp
	Share   float64
	Roles   []Role
	Starts  []Role
}

// DelegateReply is the reply to a DelegateRequest.
type DelegateReply struct{ Stamp Stamp }

// IssueRequest requests tokens and returns unused ones. Process identifies the process of
// the broker; Seq rises with each of its requests.
type IssueRequest struct {
	Broker  string
	Process uint64
	Seq     uint64
	Shards  int
	Lines   []IssueLine
}

// IssueLine requests Need tokens of an account from a copy of its shard: Asks of them for
// requests that wait, the others in advance. Waiting is how long requests have been waiting.
// Claim means that the other copies have too few tokens, so that the broker will come back
// to this one.
type IssueLine struct {
	Account string
	Copy    int
	Need    float64
	Asks    float64
	Waiting time.Duration
	Claim   bool
	Returns []Return
}

// Return gives back unused tokens that were issued at Stamp.
type Return struct {
	Stamp  Stamp
	Amount float64
}

// IssueReply is the reply to an IssueRequest. It has one grant per line, or none if the
// request is late or repeated.
type IssueReply struct {
	Stamp  Stamp
	Grants []Grant
}

// Grant is the number of tokens issued for a line. Wait is the time until there will be one
// if there were less than needed, and Share the fraction of the quota that was delegated to
// the allocator.
type Grant struct {
	Issued float64
	Wait   time.Duration
	Share  float64
}
