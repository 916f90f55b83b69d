package choose

// SetLost records that the attempts of a daemon whose tickets precede first are those of a
// lost process. They take no room, but still count as copies of their request that may run
// until their deadline, and their releases are accepted. It returns how many are lost.
func (p *Pool) SetLost(daemon string, first uint64) int {
	count := 0
	for _, s := range p.sorted {
		for i := range s.attempts {
			a := &s.attempts[i]
			if a.daemon != daemon {
				continue
			}
			if lost := a.ticket < first; lost != a.lost {
				a.lost, s.backlog.stale = lost, true
			}
			if a.lost {
				count++
			}
		}
	}
	return count
}

// counted returns the number of attempts that take room.
func (s *server) counted() int {
	count := len(s.attempts)
	for i := range s.attempts {
		if s.attempts[i].lost {
			count--
		}
	}
	return count
}
