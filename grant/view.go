package grant

import (
	"slices"
	"time"

	"dandeliondoor/broker"
	"dandeliondoor/member"
)

// poolView is what this entry knows of a pool by its broker's replies.
type poolView struct {
	broker     string
	synced     bool
	out        []string
	outVersion uint64
}

// holdsFor returns the leases of a pool that its broker does not know of: all
// when the broker is another one than before or was lost in between. They are
// released to it too from then on, and still to those that counted them before,
// which else would keep the slots of asks that wait there.
func (c *Client) holdsFor(key string, daemon member.Daemon) []broker.Hold {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	view := c.view(key)
	if view.broker == daemon.Name && view.synced {
		return nil
	}
	view.broker, view.synced, view.outVersion = daemon.Name, true, 0
	var holds []broker.Hold
	for id, lease := range c.held {
		if lease.pool != key {
			continue
		}
		lease.brokers = append(slices.Clone(lease.brokers), daemon)
		holds = append(holds, broker.Hold{
			ID:       id,
			Upstream: lease.Upstream.Name,
			Class:    lease.class,
			Budget:   time.Until(lease.until),
		})
	}
	return holds
}

func (c *Client) unsync(key string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.view(key).synced = false
}

func (c *Client) outVersion(key string) uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.view(key).outVersion
}

func (c *Client) learnOut(key string, reply AskReply) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if view := c.view(key); view.outVersion != reply.OutVersion {
		view.outVersion, view.out = reply.OutVersion, reply.Out
	}
}

func (c *Client) view(key string) *poolView {
	view, known := c.views[key]
	if !known {
		view = &poolView{}
		c.views[key] = view
	}
	return view
}
