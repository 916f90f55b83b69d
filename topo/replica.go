package topo

// Change is one record of a replicated table; Gone says that the key was
// removed.
type Change[V any] struct {
	Key   string
	Value V
	Gone  bool
	Rev   uint64
}

// VersionedTable is a table of values by key whose changes since a revision can be
// listed. It keeps the keys of removed values until Forget.
type VersionedTable[V any] struct {
	rev     uint64
	floor   uint64
	sum     uint64
	hash    func(key string, value V) uint64
	records map[string]Change[V]
}

// NewVersionedTable returns an empty table; hash tells records apart.
func NewVersionedTable[V any](hash func(key string, value V) uint64) *VersionedTable[V] {
	return &VersionedTable[V]{records: make(map[string]Change[V]), hash: hash}
}

// Checksum returns a value that is the same for tables that hold the same.
func (r *VersionedTable[V]) Checksum() uint64 { return r.sum }

// unsum takes the record of a key out of the sum.
func (r *VersionedTable[V]) unsum(key string) {
	if found, known := r.records[key]; known && !found.Gone {
		r.sum -= r.hash(key, found.Value)
	}
}

// Put stores a value.
func (r *VersionedTable[V]) Put(key string, value V) {
	r.unsum(key)
	r.sum += r.hash(key, value)
	r.rev++
	r.records[key] = Change[V]{Key: key, Value: value, Rev: r.rev}
}

// Remove marks a key as gone; it reports whether there was a value.
func (r *VersionedTable[V]) Remove(key string) bool {
	if found, known := r.records[key]; !known || found.Gone {
		return false
	}
	r.unsum(key)
	r.rev++
	r.records[key] = Change[V]{Key: key, Gone: true, Rev: r.rev}
	return true
}

// Get returns the value of a key.
func (r *VersionedTable[V]) Get(key string) (V, bool) {
	found, known := r.records[key]
	return found.Value, known && !found.Gone
}

// Rev returns the revision of the newest change.
func (r *VersionedTable[V]) Rev() uint64 { return r.rev }

// Each calls visit for each value.
func (r *VersionedTable[V]) Each(visit func(key string, value V)) {
	for key, record := range r.records {
		if !record.Gone {
			visit(key, record.Value)
		}
	}
}

// Since returns the changes after a revision. The list is complete, with all
// keys, when the revision is older than what the table still knows.
func (r *VersionedTable[V]) Since(rev uint64) (changes []Change[V], complete bool) {
	complete = rev < r.floor || rev > r.rev
	for _, record := range r.records {
		if (complete && !record.Gone) || (!complete && record.Rev > rev) {
			changes = append(changes, record)
		}
	}
	return changes, complete
}

// maxRemoved is how many removed keys a table remembers before it forgets them
// all; followers that lag behind that take the whole table.
const maxRemoved = 1024

// CompactRemoved drops the removed keys once there are many.
func (r *VersionedTable[V]) CompactRemoved() {
	removed := 0
	for _, record := range r.records {
		if record.Gone {
			removed++
		}
	}
	if removed <= maxRemoved {
		return
	}
	for key, record := range r.records {
		if record.Gone {
			delete(r.records, key)
		}
	}
	r.floor = r.rev
}
