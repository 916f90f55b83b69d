package broker

// LongRule is how long work is kept from taking all slots.
type LongRule interface{ isLongRule() }

// LongByDemand gives long work its part of all demand, and beyond that what the
// demand of short work does not need.
type LongByDemand struct{}

// LongFixed gives long work a fixed share of the slots, from 0 to 1.
type LongFixed struct{ Share float64 }

// LongUnbounded treats long work like any other.
type LongUnbounded struct{}

var (
	_ LongRule = LongByDemand{}
	_ LongRule = LongFixed{}
	_ LongRule = LongUnbounded{}
)

func (LongByDemand) isLongRule() {}

func (LongFixed) isLongRule() {}

func (LongUnbounded) isLongRule() {}
