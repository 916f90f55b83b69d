package grant

// ClientState is the state of the client as shown by state dumps.
type ClientState struct {
	Held      int         `yaml:"held"`
	Fallbacks int64       `yaml:"fallbacks"`
	Pools     []ViewState `yaml:"pools"`
}

// ViewState is the client's view of one pool; Out lists its ejected upstreams.
type ViewState struct {
	Pool   string   `yaml:"pool"`
	Broker string   `yaml:"broker"`
	Out    []string `yaml:"out,omitempty"`
}

// Dump returns the number of leases in use and the last known state of each pool.
func (c *Client) Dump() ClientState {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := ClientState{Held: len(c.leases), Fallbacks: c.fallbacks.Load(), Pools: []ViewState{}}
	for key, view := range c.views {
		state.Pools = append(state.Pools, ViewState{Pool: key, Broker: view.broker, Out: view.ejected})
	}
	sortViews(state.Pools)
	return state
}
