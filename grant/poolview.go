package grant

import (
	"slices"
	"time"

	"dandeliondoor/broker"
	"dandeliondoor/member"
)

// poolView is the state of a pool as last reported by its broker. synced is true
// when that broker knows all leases of this entry in the pool.
type poolView struct {
	broker         string
	synced         bool
	ejected        []string
	ejectedVersion uint64
}

// holdsToReport returns the leases of a pool that its broker does not know: all
// of them if the broker has changed or its connection was lost since the last
// request, otherwise none. It adds the broker to those that each lease is
// released to. Earlier brokers stay on that list: without a release they would
// count the slots as in use, and asks queued there would not get them.
func (c *Client) holdsToReport(key string, daemon member.Daemon) []broker.Hold {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	view := c.view(key)
	if view.broker == daemon.Name && view.synced {
		return nil
	}
	view.broker, view.synced, view.ejectedVersion = daemon.Name, true, 0
	var holds []broker.Hold
	for id, lease := range c.leases {
		if lease.pool != key {
			continue
		}
		lease.brokers = append(slices.Clone(lease.brokers), daemon)
		holds = append(holds, broker.Hold{
			ID:       id,
			Upstream: lease.Upstream.Name,
			Class:    lease.class,
			Budget:   time.Until(lease.deadline),
		})
	}
	return holds
}

// markUnsynced makes the next ask report all leases of the pool again.
func (c *Client) markUnsynced(key string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.view(key).synced = false
}

func (c *Client) ejectedVersion(key string) uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.view(key).ejectedVersion
}

func (c *Client) updateEjected(key string, reply AskReply) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if view := c.view(key); view.ejectedVersion != reply.OutVersion {
		view.ejectedVersion, view.ejected = reply.OutVersion, reply.Out
	}
}

// view returns the view of a pool and creates it on first use. The caller holds
// the mutex.
func (c *Client) view(key string) *poolView {
	view, known := c.views[key]
	if !known {
		view = &poolView{}
		c.views[key] = view
	}
	return view
}
