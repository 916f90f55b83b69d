package broker

import (
	"cmp"
	"slices"
	"time"

	"dandeliondoor/model"
)

// queuedAsk is an ask that waits for a slot.
type queuedAsk struct {
	ask      Ask
	class    model.Class
	queuedAt time.Time
	deadline time.Time
}

// queue holds the asks of one class, in a FIFO queue for each account.
type queue struct {
	byAccount map[string][]*queuedAsk
	count     int
}

func newQueue() *queue {
	return &queue{byAccount: make(map[string][]*queuedAsk)}
}

func (q *queue) push(queued *queuedAsk) {
	q.byAccount[queued.ask.Account] = append(q.byAccount[queued.ask.Account], queued)
	q.count++
}

// next returns the first ask of the account with the fewest running requests,
// among the accounts that allowed accepts. Ties go to the oldest ask.
func (q *queue) next(running func(account string) int, allowed func(account string) bool) *queuedAsk {
	var best *queuedAsk
	bestRunning := 0
	for account, asks := range q.byAccount {
		if !allowed(account) {
			continue
		}
		candidate, count := asks[0], running(account)
		if best == nil || count < bestRunning || (count == bestRunning && isOlder(candidate, best)) {
			best, bestRunning = candidate, count
		}
	}
	return best
}

func isOlder(a, b *queuedAsk) bool {
	return compareAge(a, b) < 0
}

func compareAge(a, b *queuedAsk) int {
	return cmp.Or(
		a.queuedAt.Compare(b.queuedAt),
		cmp.Compare(a.ask.ID.Entry, b.ask.ID.Entry),
		cmp.Compare(a.ask.ID.Seq, b.ask.ID.Seq),
	)
}

// remove removes an ask and reports whether it was queued.
func (q *queue) remove(id GrantID) bool {
	for account, asks := range q.byAccount {
		for i, candidate := range asks {
			if candidate.ask.ID != id {
				continue
			}
			q.removeAt(account, i)
			return true
		}
	}
	return false
}

func (q *queue) removeAt(account string, at int) {
	asks := q.byAccount[account]
	asks = append(asks[:at], asks[at+1:]...)
	q.count--
	if len(asks) == 0 {
		delete(q.byAccount, account)
		return
	}
	q.byAccount[account] = asks
}

// removeExpired removes and returns the asks whose deadline has passed.
func (q *queue) removeExpired(now time.Time) []*queuedAsk {
	var expired []*queuedAsk
	for account, asks := range q.byAccount {
		remaining := asks[:0]
		for _, candidate := range asks {
			if now.Before(candidate.deadline) {
				remaining = append(remaining, candidate)
				continue
			}
			expired = append(expired, candidate)
			q.count--
		}
		if len(remaining) == 0 {
			delete(q.byAccount, account)
			continue
		}
		q.byAccount[account] = remaining
	}
	slices.SortFunc(expired, compareAge)
	return expired
}

// removeSession removes all asks received over one connection.
func (q *queue) removeSession(session uint64) {
	for account, asks := range q.byAccount {
		for i := len(asks) - 1; i >= 0; i-- {
			if asks[i].ask.Session == session {
				asks = append(asks[:i], asks[i+1:]...)
				q.count--
			}
		}
		if len(asks) == 0 {
			delete(q.byAccount, account)
			continue
		}
		q.byAccount[account] = asks
	}
}
