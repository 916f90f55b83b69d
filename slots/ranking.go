package slots

import (
	"math"

	"dandeliondoor/reach"
	"dandeliondoor/wire"
)

// anyRank is the depth of a ranking in which all daemons may be brokers.
const anyRank = math.MaxInt

// newRanking returns the ranking of the daemons that serve parts.
func newRanking(views ViewSource, peers *wire.Peers) *reach.Ranking[PoolKey] {
	return reach.NewRanking(views, peers, PoolKey.rankingKey)
}
