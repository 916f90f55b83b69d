package spread

import "slices"

// The shape of the distribution tree in each availability zone.
const (
	readersPerZone     = 2
	followersPerDaemon = 8
)

// Role is how a daemon obtains the configuration.
type Role interface{ isRole() }

// Reader reads the log.
type Reader struct{}

// Follower receives changes from the first of its ancestors whose state is current.
// Ancestors are sorted from the parent to the root, followed by the other readers.
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
// readersPerZone daemons are readers, and so is a daemon that is not in the list.
// The position of each other daemon determines its parent, which ranks before it.
func RoleOf(ranked []string, self string) Role {
	index := slices.Index(ranked, self)
	if index < readersPerZone {
		return Reader{}
	}
	var ancestors []string
	for index >= readersPerZone {
		index = (index - readersPerZone) / followersPerDaemon
		ancestors = append(ancestors, ranked[index])
	}
	for _, reader := range ranked[:readersPerZone] {
		if !slices.Contains(ancestors, reader) {
			ancestors = append(ancestors, reader)
		}
	}
	return Follower{Ancestors: ancestors}
}
