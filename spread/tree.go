package spread

import "slices"

// The shape of the tree in each availability zone.
const (
	readersPerZone = 2
	followersEach  = 8
)

// Role is what a daemon does for the configuration.
type Role interface{ isRole() }

// Reader reads the log.
type Reader struct{}

// Follower follows the nearest of its ancestors that is fresh.
type Follower struct {
	Ancestors []string
}

var (
	_ Role = Reader{}
	_ Role = Follower{}
)

func (Reader) isRole()   {}
func (Follower) isRole() {}

// RoleOf returns the role of a daemon in the ranked list of its zone. The first
// ones read; each further one follows the daemon at a fixed earlier place.
func RoleOf(ranked []string, self string) Role {
	at := slices.Index(ranked, self)
	if at < readersPerZone {
		return Reader{}
	}
	var ancestors []string
	for at >= readersPerZone {
		at = (at - readersPerZone) / followersEach
		ancestors = append(ancestors, ranked[at])
	}
	for _, reader := range ranked[:readersPerZone] {
		if !slices.Contains(ancestors, reader) {
			ancestors = append(ancestors, reader)
		}
	}
	return Follower{Ancestors: ancestors}
}
