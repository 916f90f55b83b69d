package broker

// LongRule limits the number of slots that long requests may use.
type LongRule interface{ isLongRule() }

// LongByDemand lets long requests use their share of the total demand, or more if
// short requests leave slots unused.
type LongByDemand struct{}

// LongFixed limits long requests to a fixed share of the slots, from 0 to 1.
type LongFixed struct{ Share float64 }

// LongUnbounded doesn't limit long requests and serves both classes by age.
type LongUnbounded struct{}

var (
	_ LongRule = LongByDemand{}
	_ LongRule = LongFixed{}
	_ LongRule = LongUnbounded{}
)

func (LongByDemand) isLongRule() {}

func (LongFixed) isLongRule() {}

func (LongUnbounded) isLongRule() {}
