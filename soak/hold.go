package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dandeliondoor/fakes"
)

// The platform's limits for servers that want no requests of a daemon.
const (
	// pauseSlack is the time after a rejection within which requests may still reach the
	// server, and pauseAllowed how many may do so until the end of its pause.
	pauseSlack   = 500 * time.Millisecond
	pauseAllowed = 2
)

// Settings of servers that want no requests.
const (
	minServerPause = 300 * time.Millisecond
	maxServerPause = 6 * time.Second
	// maxServicePause bounds the pauses of all servers, so that the fleet recovers in time.
	maxServicePause = 3 * time.Second
	maxShedEvery    = 3
	maxLapse        = time.Second
	// streamBytes is the length of streamed responses, which exceeds the part of a response
	// that a daemon buffers.
	streamBytes = 1 << 20
	maxStream   = 1500 * time.Millisecond
)

// randomHolds returns, for half of the rounds, servers that announce that they leave, or
// that reject some requests and ask for a pause.
func randomHolds(random *rand.Rand, servers int) []event {
	s := random.IntN(servers)
	if random.IntN(2) == 0 {
		return nil
	}
	leaving := randomEvent(random, SickServer{Server: s, Faults: randomLeaving(random)})
	switch random.IntN(7) {
	case 0:
		return []event{leaving}
	case 1:
		return []event{leaving, randomEvent(random, DrainServer{Server: s})}
	case 2:
		return []event{leaving, randomEvent(random, LapseServer{Server: s, Period: randomPeriod(random, maxLapse)})}
	case 3:
		return randomSickServers(random, servers-1, func() fakes.ServerFaults { return randomLeaving(random) })
	case 4:
		return []event{randomEvent(random, SickServer{Server: s, Faults: randomPause(random, maxServerPause)})}
	case 5:
		return randomSickServers(random, (servers+1)/2, func() fakes.ServerFaults { return randomPause(random, maxServerPause) })
	default:
		return []event{randomEvent(random, SickService{Faults: randomPause(random, maxServicePause)})}
	}
}

// randomSickServers returns faults of the given number of servers one after the other.
func randomSickServers(random *rand.Rand, count int, draw func() fakes.ServerFaults) []event {
	events := make([]event, 0, count)
	for i := range count {
		delay := time.Duration(i) * maxDelay / time.Duration(count)
		events = append(events, event{fault: SickServer{Server: i, Faults: draw()}, delay: delay})
	}
	// The order of the servers varies, but not that of the delays.
	random.Shuffle(count, func(i, j int) { events[i].fault, events[j].fault = events[j].fault, events[i].fault })
	return events
}

// randomLeaving returns the faults of a server that announces that it leaves. Some stream
// their responses.
func randomLeaving(random *rand.Rand) fakes.ServerFaults {
	faults := fakes.ServerFaults{Leaving: true}
	if random.IntN(3) == 0 {
		faults.Size, faults.Stream = streamBytes, randomPeriod(random, maxStream)
	}
	return faults
}

func randomPause(random *rand.Rand, longest time.Duration) fakes.ServerFaults {
	return fakes.ServerFaults{
		Shed: true, ShedEvery: 1 + random.IntN(maxShedEvery),
		RetryAfter: minServerPause + randomPeriod(random, longest-minServerPause),
	}
}

// visit is a request that a daemon sent to a server. Unread says that the daemon may not
// have read the response.
type visit struct {
	fakes.Arrival

	call   call
	alone  bool
	unread bool
}

// link is what one daemon sent to one start of a server.
type link struct {
	daemon string
	server string
	born   int64
}

// String returns the link as text for the report.
func (l link) String() string { return fmt.Sprintf("%s to %s, start %d:", l.daemon, l.server, l.born) }

// verifyHolds checks that no daemon sends requests to a server that leaves or is in its
// pause.
func (f *fleet) verifyHolds(passes map[string][]pass) {
	for l, visits := range f.visits(passes) {
		var announcing, rejected []visit
		for _, v := range visits {
			if v.Leaving && v.alone && v.call.signed && !v.call.begunAt.IsZero() {
				announcing = append(announcing, v)
			}
			if v.RetryAfter > 0 && !v.unread {
				rejected = append(rejected, v)
			}
		}
		f.recorder.announcing += len(announcing)
		f.recorder.rejected += len(rejected)
		f.verifyLeaving(l, announcing, visits)
		f.verifyPauses(l, rejected, visits)
	}
}

// visits returns what each daemon sent to each start of a server, in order of arrival.
func (f *fleet) visits(passes map[string][]pass) map[link][]visit {
	calls := make(map[string]call)
	for _, c := range append(slices.Clone(f.crashes.calls), f.recorder.calls...) {
		calls[c.id] = c
	}
	visits := make(map[link][]visit)
	for _, s := range f.servers {
		for _, a := range s.Arrivals() {
			c, found := calls[a.ID]
			if !found {
				continue
			}
			v := visit{Arrival: a, call: c, alone: len(passes[a.ID]) == 1, unread: c.abandoned}
			for _, p := range passes[a.ID] {
				v.unread = v.unread || (p.server != s.ID() && p.worksAt(a.At))
			}
			l := link{daemon: c.daemon, server: s.ID(), born: a.Born}
			visits[l] = append(visits[l], v)
		}
	}
	return visits
}

// verifyLeaving checks that no request that a caller sent later than drainDue after a
// response that announced the server's end reaches the server. Only a restart or a pause
// of the daemon excuses it.
func (f *fleet) verifyLeaving(l link, announcing, visits []visit) {
	var late []visit
	for _, v := range visits {
		if slices.ContainsFunc(announcing, func(a visit) bool {
			reset := mark{kind: daemonReset, name: l.daemon}
			return v.call.sentAt.After(a.call.begunAt.Add(drainDue)) && !f.history.overlapsAny(a.call.begunAt, v.At, reset)
		}) {
			late = append(late, v)
		}
	}
	if len(late) > 0 {
		f.recorder.addFinding("%s sent %d requests later than %s after a response with which the server leaves, the first at %s: %s",
			l, len(late), drainDue, late[0].At.Format(time.RFC3339Nano), late[0].call)
	}
}

// verifyPauses checks the number of requests that reach a server in a pause that it has
// asked the daemon for. A restart, pause or cut of the daemon, or a cut of the path
// between them, excuses them.
func (f *fleet) verifyPauses(l link, rejected, visits []visit) {
	for _, r := range rejected {
		count := 0
		for _, v := range visits {
			inPause := v.At.After(r.At.Add(pauseSlack)) && v.At.Before(r.At.Add(r.RetryAfter))
			if inPause && !f.resetOrCut(l, r.At, v.At) {
				count++
			}
		}
		if count > pauseAllowed {
			f.recorder.addFinding("%s sent %d requests in a pause of %s, at most %d are allowed, from %s on: %s",
				l, count, r.RetryAfter, pauseAllowed, r.At.Format(time.RFC3339Nano), r.call)
			return
		}
	}
}

func (f *fleet) resetOrCut(l link, from, to time.Time) bool {
	return f.history.overlapsAny(from, to, append(marks(l.daemon, daemonReset, daemonCut), marks(l.server, serverCut)...)...)
}
