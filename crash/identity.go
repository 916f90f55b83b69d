package crash

// sharedBit is set in fingerprints that leave out the caller.
const sharedBit Fingerprint = 1

// Identity holds the fingerprints under which the ends of one request are counted.
// Caller hashes the caller, path and body: what stays the same when the caller sends the
// request again. Content hashes the method, host, target and body, whoever sends it.
// Either is 0 if there is none.
type Identity struct {
	Caller  Fingerprint
	Content Fingerprint
}

// NewIdentity returns an identity with hashes of both kinds.
func NewIdentity(caller, content uint64) Identity {
	const lowest = 2
	return Identity{Caller: max(Fingerprint(caller)&^sharedBit, lowest), Content: Fingerprint(content) | sharedBit}
}

// Fingerprints returns the fingerprints that are not 0.
func (i Identity) Fingerprints() []Fingerprint {
	var fingerprints []Fingerprint
	for _, fingerprint := range []Fingerprint{i.Caller, i.Content} {
		if fingerprint != 0 {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}

// Shared reports whether a fingerprint leaves out the caller.
func (f Fingerprint) Shared() bool { return f&sharedBit != 0 }
