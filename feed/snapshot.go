package feed

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/topo"
)

const (
	// maxSnapshotBytes limits a decompressed snapshot.
	maxSnapshotBytes = 64 << 20
	// snapshotTTL is how long an encoded snapshot is sent to further followers. The
	// times left of warm-ups in it are wrong by up to that.
	snapshotTTL = time.Second
)

var errLongSnapshot = errors.New("snapshot is too long")

// tables is the whole content of a view.
type tables struct {
	Config  *topo.Config
	Servers []ServerChange
	Daemons []topo.Change[topo.Daemon]
}

// snapshotCache holds the encoded tables of the last complete reply, since many
// followers ask for the same ones after a start.
type snapshotCache struct {
	data      []byte
	config    *topo.Config
	servers   uint64
	daemons   uint64
	encodedAt time.Time
}

// get returns the encoded tables of a complete reply.
func (c *snapshotCache) get(now time.Time, config *topo.Config, reply *FollowReply) ([]byte, error) {
	fresh := now.Sub(c.encodedAt) < snapshotTTL && c.servers == reply.ServersRev && c.daemons == reply.DaemonsRev && c.config == config
	if c.data != nil && fresh {
		return c.data, nil
	}
	data, err := encodeTables(tables{Config: config, Servers: reply.Servers, Daemons: reply.Daemons})
	if err != nil {
		return nil, err
	}
	*c = snapshotCache{data: data, config: config, servers: reply.ServersRev, daemons: reply.DaemonsRev, encodedAt: now}
	return data, nil
}

func encodeTables(content tables) ([]byte, error) {
	var buffer bytes.Buffer
	compressor, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	if err := gob.NewEncoder(compressor).Encode(content); err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	return buffer.Bytes(), nil
}

func decodeTables(data []byte) (tables, error) {
	var content tables
	limited := &io.LimitedReader{R: flate.NewReader(bytes.NewReader(data)), N: maxSnapshotBytes}
	err := gob.NewDecoder(limited).Decode(&content)
	switch {
	case limited.N <= 0:
		return tables{}, errLongSnapshot
	case err != nil:
		return tables{}, errors.Wrap(err, "decode snapshot")
	default:
		return content, nil
	}
}

// pack replaces the tables of a complete reply by a compressed snapshot.
func (s *Service) pack(now time.Time, reply *FollowReply) {
	if !reply.ServersComplete || !reply.DaemonsComplete {
		return
	}
	data, err := s.snapshots.get(now, s.state.config, reply)
	if err != nil {
		s.log.WithError(err).Warn("sending the tables without compression")
		return
	}
	reply.Snapshot, reply.Config, reply.Servers, reply.Daemons = data, nil, nil, nil
}

// unpack restores the tables of a reply with a snapshot.
func (r *FollowReply) unpack() error {
	if len(r.Snapshot) == 0 {
		return nil
	}
	content, err := decodeTables(r.Snapshot)
	if err != nil {
		return err
	}
	r.Config, r.Servers, r.Daemons = content.Config, content.Servers, content.Daemons
	return nil
}
