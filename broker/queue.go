package broker

import (
	"cmp"
	"slices"
	"time"

	"dandeliondoor/model"
)

// waiting is an ask in the queue.
type waiting struct {
	ask      Ask
	class    model.Class
	since    time.Time
	deadline time.Time
}

// queue holds asks of one class, a first-in-first-out line for each account.
type queue struct {
	lines map[string][]*waiting
	count int
}

func newQueue() *queue {
	return &queue{lines: make(map[string][]*waiting)}
}

func (q *queue) push(w *waiting) {
	q.lines[w.ask.Account] = append(q.lines[w.ask.Account], w)
	q.count++
}

// next returns the first ask of the account with the fewest requests running
// among those that allowed admits; the longest waiting ask breaks ties.
func (q *queue) next(running func(account string) int, allowed func(account string) bool) *waiting {
	var best *waiting
	bestRunning := 0
	for account, line := range q.lines {
		if !allowed(account) {
			continue
		}
		candidate, count := line[0], running(account)
		if best == nil || count < bestRunning || (count == bestRunning && older(candidate, best)) {
			best, bestRunning = candidate, count
		}
	}
	return best
}

func older(a, b *waiting) bool {
	return compareAge(a, b) < 0
}

func compareAge(a, b *waiting) int {
	return cmp.Or(
		a.since.Compare(b.since),
		cmp.Compare(a.ask.ID.Entry, b.ask.ID.Entry),
		cmp.Compare(a.ask.ID.Seq, b.ask.ID.Seq),
	)
}

// remove takes an ask out and reports whether it was there.
func (q *queue) remove(id GrantID) bool {
	for account, line := range q.lines {
		for i, candidate := range line {
			if candidate.ask.ID != id {
				continue
			}
			q.cut(account, i)
			return true
		}
	}
	return false
}

func (q *queue) cut(account string, at int) {
	line := q.lines[account]
	line = append(line[:at], line[at+1:]...)
	q.count--
	if len(line) == 0 {
		delete(q.lines, account)
		return
	}
	q.lines[account] = line
}

// expired removes and returns the asks whose deadline has passed.
func (q *queue) expired(now time.Time) []*waiting {
	var ended []*waiting
	for account, line := range q.lines {
		kept := line[:0]
		for _, candidate := range line {
			if now.Before(candidate.deadline) {
				kept = append(kept, candidate)
				continue
			}
			ended = append(ended, candidate)
			q.count--
		}
		if len(kept) == 0 {
			delete(q.lines, account)
			continue
		}
		q.lines[account] = kept
	}
	slices.SortFunc(ended, compareAge)
	return ended
}

// ofSession removes all asks that came over one connection.
func (q *queue) ofSession(session uint64) {
	for account, line := range q.lines {
		for i := len(line) - 1; i >= 0; i-- {
			if line[i].ask.Session == session {
				line = append(line[:i], line[i+1:]...)
				q.count--
			}
		}
		if len(line) == 0 {
			delete(q.lines, account)
			continue
		}
		q.lines[account] = line
	}
}
