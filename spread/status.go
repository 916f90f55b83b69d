package spread

import (
	"time"
)

// DocumentStatus is the active revision of one document on a daemon. Since is when
// the daemon activated it.
type DocumentStatus struct {
	Name     string    `json:"name"              yaml:"name"`
	Revision uint64    `json:"revision"          yaml:"revision"`
	Deleted  bool      `json:"deleted,omitempty" yaml:"deleted,omitempty"`
	Since    time.Time `json:"since"             yaml:"since"`
}

// Status describes the active configuration of a daemon.
//
// Covered reports whether the configuration has ever included the whole log; Age is
// the time since it last did. Position is the offset of the next log record.
// Skipped and Rejected count records that could not be decoded and publications
// with a base that was not current.
type Status struct {
	Daemon    string           `json:"daemon"    yaml:"daemon"`
	Covered   bool             `json:"covered"   yaml:"covered"`
	Reader    bool             `json:"reader"    yaml:"reader"`
	Position  uint64           `json:"position"  yaml:"position"`
	Age       time.Duration    `json:"age"       yaml:"age"`
	Skipped   int              `json:"skipped"   yaml:"skipped"`
	Rejected  int              `json:"rejected"  yaml:"rejected"`
	Documents []DocumentStatus `json:"documents" yaml:"documents"`
}

// Status returns the status of the active configuration.
func (s *Service) Status(now time.Time) Status {
	st := s.store
	st.mutex.Lock()
	defer st.mutex.Unlock()
	_, isReader := s.role.(Reader)
	status := Status{
		Daemon:   s.members.Self().Name,
		Covered:  st.covered,
		Reader:   isReader,
		Position: st.state.Position(),
		Skipped:  st.skipped,
		Rejected: st.rejected,
	}
	if st.covered {
		status.Age = now.Sub(st.asOf).Round(time.Millisecond)
	}
	for _, document := range st.state.Documents() {
		status.Documents = append(status.Documents, DocumentStatus{
			Name:     document.Name,
			Revision: document.Revision,
			Deleted:  document.Deleted,
			Since:    st.since[document.Name],
		})
	}
	return status
}

// Dump returns the status of the active configuration.
func (s *Service) Dump(now time.Time) any {
	return s.Status(now)
}

func (s *store) documentCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Len()
}
