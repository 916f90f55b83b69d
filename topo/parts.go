package topo

const (
	// MaxPartServers is the number of servers of a part above which a service is
	// divided further. A decision examines each server of a part, which takes about
	// 10 µs for 200, and the load of asks on one daemon has to stay small however
	// large a service is.
	MaxPartServers = 200
	// minPartServers is the number of servers of a part below which parts are united.
	// It is far below MaxPartServers, so that the number of parts rarely changes.
	minPartServers = MaxPartServers / 4
)

// PartCount returns the number of parts for a number of servers, given the present one,
// 1 for a service without parts. It is a power of two.
func PartCount(current, servers int) int {
	parts := max(current, 1)
	for servers > parts*MaxPartServers {
		parts *= 2
	}
	for parts > 1 && servers < parts*minPartServers {
		parts /= 2
	}
	return parts
}
