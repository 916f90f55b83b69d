package topo

// Change is the latest change of a key in a replicated table. Gone marks a
// tombstone, that is, a removed key. Copied means that the value may come from the copy
// that the store was restored from, and was not written again since; tables don't keep it.
type Change[V any] struct {
	Key    string
	Value  V
	Gone   bool
	Rev    uint64
	Copied bool
}

// VersionedTable maps keys to values and can list the changes since a revision.
// It keeps tombstones of removed keys until CompactRemoved deletes them.
type VersionedTable[V any] struct {
	rev          uint64
	compactedRev uint64
	checksum     uint64
	hash         func(key string, value V) uint64
	records      map[string]Change[V]
}

// NewVersionedTable returns an empty table; hash is used for the checksum.
func NewVersionedTable[V any](hash func(key string, value V) uint64) *VersionedTable[V] {
	return &VersionedTable[V]{records: make(map[string]Change[V]), hash: hash}
}

// Checksum returns a checksum of the contents, which does not depend on the
// order of the changes that led to them.
func (t *VersionedTable[V]) Checksum() uint64 { return t.checksum }

// subtractChecksum removes the hash of a key's value from the checksum.
func (t *VersionedTable[V]) subtractChecksum(key string) {
	if found, known := t.records[key]; known && !found.Gone {
		t.checksum -= t.hash(key, found.Value)
	}
}

// Put stores a value, replacing an earlier one or a tombstone.
func (t *VersionedTable[V]) Put(key string, value V) {
	t.subtractChecksum(key)
	t.checksum += t.hash(key, value)
	t.rev++
	t.records[key] = Change[V]{Key: key, Value: value, Rev: t.rev}
}

// Remove replaces a value by a tombstone and reports whether there was a value.
func (t *VersionedTable[V]) Remove(key string) bool {
	if found, known := t.records[key]; !known || found.Gone {
		return false
	}
	t.subtractChecksum(key)
	t.rev++
	t.records[key] = Change[V]{Key: key, Gone: true, Rev: t.rev}
	return true
}

// Get returns the value of a key and whether there is one.
func (t *VersionedTable[V]) Get(key string) (V, bool) {
	found, known := t.records[key]
	return found.Value, known && !found.Gone
}

// Rev returns the revision of the latest change.
func (t *VersionedTable[V]) Rev() uint64 { return t.rev }

// Each calls visit for each key and value, in no particular order.
func (t *VersionedTable[V]) Each(visit func(key string, value V)) {
	for key, record := range t.records {
		if !record.Gone {
			visit(key, record.Value)
		}
	}
}

// Since returns the changes after a revision. If tombstones after that revision
// may have been deleted, or the revision is higher than the table's, it returns
// all values instead and sets complete.
func (t *VersionedTable[V]) Since(rev uint64) (changes []Change[V], complete bool) {
	complete = rev < t.compactedRev || rev > t.rev
	for _, record := range t.records {
		if (complete && !record.Gone) || (!complete && record.Rev > rev) {
			changes = append(changes, record)
		}
	}
	return changes, complete
}

// maxTombstones is the number of tombstones above which CompactRemoved deletes
// them all. Followers that have not seen all of them get the whole table.
const maxTombstones = 1024

// CompactRemoved deletes all tombstones if there are more than maxTombstones.
func (t *VersionedTable[V]) CompactRemoved() {
	tombstones := 0
	for _, record := range t.records {
		if record.Gone {
			tombstones++
		}
	}
	if tombstones <= maxTombstones {
		return
	}
	for key, record := range t.records {
		if record.Gone {
			delete(t.records, key)
		}
	}
	t.compactedRev = t.rev
}
