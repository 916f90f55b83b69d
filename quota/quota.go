package quota

import "sync/atomic"

// Quota is a number of bytes that many goroutines share. It is safe for concurrent use.
type Quota struct {
	limit int64
	used  atomic.Int64
	paced atomic.Int64
}

// New returns a quota of a number of bytes.
func New(limit int64) *Quota { return &Quota{limit: limit} }

// Take reserves a number of bytes and reports whether they were left.
func (q *Quota) Take(bytes int64) bool {
	if q.used.Add(bytes) > q.limit {
		q.used.Add(-bytes)
		return false
	}
	return true
}

// TakeFair reserves a number of bytes for a holder of others, and reports whether they were
// left. It leaves at least as much as the holder then has, so that none can hold more than
// half of the quota, nor N equal ones more than their N parts of N + 1.
func (q *Quota) TakeFair(held, bytes int64) bool {
	for {
		used := q.used.Load()
		if held+bytes > q.limit-used-bytes {
			return false
		}
		if q.used.CompareAndSwap(used, used+bytes) {
			return true
		}
	}
}

// Paced returns the number of streams whose sources are read at the pace of their use now.
func (q *Quota) Paced() int64 { return q.paced.Load() }

// Give returns bytes that were reserved.
func (q *Quota) Give(bytes int64) { q.used.Add(-bytes) }

// Used returns the number of bytes that are reserved now.
func (q *Quota) Used() int64 { return q.used.Load() }
