package credit

import (
	"dandeliondoor/reach"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

const (
	// rankDepth is how many daemons of a ranking may be allocators. If it reaches none of them,
	// a daemon regards itself as cut off.
	rankDepth = 12
	// recallDepth is how many daemons of a ranking a process that has just started asks to end
	// the delegations of its predecessor, whose list may have had other daemons.
	recallDepth = 16
)

// ViewSource returns this daemon's record and its current view.
type ViewSource = reach.ViewSource

// ranking determines the allocator of a role.
type ranking struct {
	views ViewSource
	roles *reach.Ranking[Role]
}

func newRanking(views ViewSource, peers *wire.Peers) *ranking {
	return &ranking{views: views, roles: reach.NewRanking(views, peers, Role.rankingKey)}
}

// choose returns the allocator of a role, this daemon itself if it reaches no other.
func (r *ranking) choose(role Role) topo.Daemon {
	for _, daemon := range r.roles.Living(role, 1, rankDepth) {
		return daemon
	}
	return r.views.Self()
}

// candidates returns the names of the daemons that a process of this daemon may have chosen
// for a role.
func (r *ranking) candidates(role Role) []string { return r.roles.Top(role, recallDepth) }
