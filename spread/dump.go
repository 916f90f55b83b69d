package spread

import (
	"time"
)

// DocumentStatus is one document as it is in force on a daemon.
type DocumentStatus struct {
	Name     string    `json:"name"              yaml:"name"`
	Revision uint64    `json:"revision"          yaml:"revision"`
	Deleted  bool      `json:"deleted,omitempty" yaml:"deleted,omitempty"`
	Since    time.Time `json:"since"             yaml:"since"`
}

// Status is the configuration as it is in force on a daemon.
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

// Status returns the configuration in force.
func (s *Service) Status(now time.Time) Status {
	st := s.store
	st.mutex.Lock()
	defer st.mutex.Unlock()
	_, reads := s.role.(Reader)
	status := Status{
		Daemon:   s.members.Self().Name,
		Covered:  st.covered,
		Reader:   reads,
		Position: st.state.Position(),
		Skipped:  st.skipped,
		Rejected: st.rejected,
	}
	if st.covered {
		status.Age = now.Sub(st.freshAt).Round(time.Millisecond)
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

// Dump returns the configuration in force.
func (s *Service) Dump(now time.Time) any {
	return s.Status(now)
}

func (s *store) documentCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.Len()
}
