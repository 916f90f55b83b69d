package feed

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"dandeliondoor/kernel"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

// Limits of the search for a newer configuration than that of the copy that the store was
// restored from.
const (
	// maxConfigSources bounds the daemons that one without a configuration asks.
	maxConfigSources = 8
	// newerConfigTimeout bounds the time for which lost daemons delay the start of one without a
	// configuration, as after a restart of the whole fleet. A daemon in reach replies within
	// the 0.15 s that an ask may take.
	newerConfigTimeout = 250 * time.Millisecond
	// configPushInterval is the time between two followers that are asked for their newer
	// configuration, since one of 25,000 routes has some megabytes.
	configPushInterval = time.Second
)

// ConfigRequest asks for the configuration that a daemon has in effect, if its version is
// higher than Version. Without Content, it asks for the version only.
type ConfigRequest struct {
	Version uint64
	Content bool
}

// ConfigReply contains the version that is in effect, 0 without one, and the configuration if
// that was asked for and is newer.
type ConfigReply struct {
	Version uint64
	Config  *topo.Config
}

// Config returns the configuration that this daemon has in effect, or its version.
func (r *receiver) Config(request ConfigRequest, reply *ConfigReply) error {
	table := r.service.View().Table
	if table == nil {
		return nil
	}
	reply.Version = table.Config.Version
	if request.Content && reply.Version > request.Version {
		reply.Config = table.Config
	}
	return nil
}

// withMissingConfig adds the newest configuration of other daemons to the changes of the store
// if neither it nor this daemon has one: the copy that the store was restored from may lack it,
// or the stored one may be invalid. Daemons with sources get it from these, so that only one
// that reads the store for others needs it.
func (s *Service) withMissingConfig(ctx context.Context, changes []topo.Change[*topo.Config]) []topo.Change[*topo.Config] {
	isStored := slices.ContainsFunc(changes, func(change topo.Change[*topo.Config]) bool { return !change.Gone })
	if isStored || s.View().Table != nil || s.sources.Configs.Era() == 0 {
		return changes
	}
	if config := s.newestConfig(ctx, nil); config != nil {
		changes = append(changes, topo.Change[*topo.Config]{Value: config})
	}
	return changes
}

// versionOf returns the version of a configuration, 0 without one.
func versionOf(config *topo.Config) uint64 {
	if config == nil {
		return 0
	}
	return config.Version
}

// newestConfig returns the newest configuration that a number of daemons have in effect, if one
// is newer than the given one, and otherwise that, which may be nil. It asks for the versions
// for newerConfigTimeout at most, and then for one configuration for startTimeout at most, since
// eight of 25,000 routes and 150,000 accounts exceed the memory and the bandwidth of a daemon.
func (s *Service) newestConfig(ctx context.Context, stored *topo.Config) *topo.Config {
	newest := stored
	versions, cancel := context.WithTimeout(ctx, newerConfigTimeout)
	defer cancel()
	daemons := s.configSources(time.Now())
	newer, answered := s.newerVersions(versions, daemons, versionOf(stored))
	content, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, source := range newer {
		request := ConfigRequest{Version: versionOf(stored), Content: true}
		reply, err := wire.Call[ConfigRequest, ConfigReply](content, s.peers, source.daemon.Address, configMethod, request)
		if err == nil && reply.Config != nil {
			newest = reply.Config
			break
		}
		s.log.WithField("daemon", source.daemon.Name).WithError(err).Info("fetching a newer configuration failed")
	}
	if newest == nil {
		return nil
	}
	s.log.WithField("asked", len(daemons)).WithField("answered", answered).
		WithField("stored", versionOf(stored)).WithField("newest", newest.Version).
		Info("compared the stored configuration, which may come from a copy, with those of others")
	return newest
}

// configSource is a daemon with the version of the configuration that it has in effect.
type configSource struct {
	daemon  topo.Daemon
	version uint64
}

// newerVersions returns which of some daemons have a newer configuration than the given
// version, the highest version first, and how many have one in effect.
func (s *Service) newerVersions(
	ctx context.Context, daemons []topo.Daemon, version uint64,
) (newer []configSource, answered int) {
	replies := make([]ConfigReply, len(daemons))
	ends := make([]<-chan error, len(daemons))
	for i, daemon := range daemons {
		ends[i] = kernel.Run(ctx, func(ctx context.Context) (err error) {
			replies[i], err = wire.Call[ConfigRequest, ConfigReply](ctx, s.peers, daemon.Address, configMethod, ConfigRequest{Version: version})
			return err
		})
	}
	for i, end := range ends {
		if err := <-end; err != nil {
			s.log.WithField("daemon", daemons[i].Name).WithError(err).Debug("asking for a newer configuration failed")
			continue
		}
		if replies[i].Version > 0 {
			answered++
		}
		if replies[i].Version > version {
			newer = append(newer, configSource{daemon: daemons[i], version: replies[i].Version})
		}
	}
	slices.SortStableFunc(newer, func(a, b configSource) int { return cmp.Compare(b.version, a.version) })
	return newer, answered
}

// configSources returns the daemons that are asked for a newer configuration: the seeds, which
// also exist if the list of daemons comes from a copy, then the sources and the other
// daemons.
func (s *Service) configSources(now time.Time) []topo.Daemon {
	var candidates []topo.Daemon
	for _, seed := range s.settings.Seeds[:min(len(s.settings.Seeds), maxSeeds)] {
		candidates = append(candidates, topo.Daemon{Name: seed.String(), Address: seed})
	}
	candidates = append(candidates, s.introduced...)
	candidates = append(candidates, s.zoneRanking(now).sources(s.self)...)
	candidates = append(candidates, s.View().Daemons...)
	known := map[netip.AddrPort]struct{}{s.self.Address: {}}
	var sources []topo.Daemon
	for _, daemon := range candidates {
		if _, found := known[daemon.Address]; found || len(sources) == maxConfigSources {
			continue
		}
		known[daemon.Address] = struct{}{}
		if s.peers.Usable(daemon.Address) {
			sources = append(sources, daemon)
		}
	}
	return sources
}

// wantsConfig reports whether a follower with a version of the configuration is to send it:
// it is newer, and the store has eras and so may have been restored. The mutex must be held.
func (s *Service) wantsConfig(now time.Time, version uint64) bool {
	if s.state.era() == 0 || version <= s.state.config.Version || now.Sub(s.configWantedAt) < configPushInterval {
		return false
	}
	s.configWantedAt = now
	return true
}

// acceptConfig takes over the configuration of a follower if it is newer.
func (s *Service) acceptConfig(follower string, config *topo.Config) {
	if config == nil {
		return
	}
	s.update(func(state *state) bool {
		if state.era() == 0 || !state.applyConfig(config) {
			return false
		}
		s.log.WithField("follower", follower).WithField("version", config.Version).Info("a follower had a newer configuration than the store")
		return true
	})
}
