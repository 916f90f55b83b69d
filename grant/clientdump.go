package grant

// ClientState is the dump of the client.
type ClientState struct {
	Held      int         `yaml:"held"`
	Fallbacks int64       `yaml:"fallbacks"`
	Pools     []ViewState `yaml:"pools"`
}

// ViewState is the dump of what is known of one pool.
type ViewState struct {
	Pool   string   `yaml:"pool"`
	Broker string   `yaml:"broker"`
	Out    []string `yaml:"out,omitempty"`
}

// Dump returns the leases in use and the known brokers.
func (c *Client) Dump() ClientState {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := ClientState{Held: len(c.held), Fallbacks: c.fallen.Load(), Pools: []ViewState{}}
	for key, view := range c.views {
		state.Pools = append(state.Pools, ViewState{Pool: key, Broker: view.broker, Out: view.out})
	}
	sortViews(state.Pools)
	return state
}
