package tree

import (
	"slices"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/cyclamensaddle/cyclam/roster"
	"github.com/pkg/errors"
)

// differingBeats is how many beats in a row rosters may differ, with neither of
// them changing, before the two sides compare them. While news is under way they
// differ anyhow, and comparing them would send everything again.
const differingBeats = 3

// compare counts the beats in which two rosters at rest differ.
func (l link) compare(theirs, ours uint64) link {
	moved := theirs != l.theirs || ours != l.ours
	l.theirs, l.ours = theirs, ours
	l.differs++
	if moved || theirs == ours {
		l.differs = 0
	}
	return l
}

// Adopt takes a configuration that the platform has accepted.
func (s State) Adopt(held conf.State) (State, []cyclam.Effect) {
	if held.Version <= s.Conf.Version {
		return s, nil
	}
	s.Conf = held
	s.urgent = true
	return s.syncAll()
}

// syncAll sends every peer the configuration that it lacks.
func (s State) syncAll() (State, []cyclam.Effect) {
	var effects []cyclam.Effect
	for _, l := range s.joinedLinks() {
		if l.version >= s.Conf.Version {
			continue
		}
		effects = append(effects, send(l, s.missing(l.version)))
		l.version = s.Conf.Version
		s = s.withLink(l)
	}
	return s, effects
}

// missing returns what leads from a version to the one held.
func (s State) missing(from cyclam.Version) cyclam.Message {
	if deltas, ok := s.Conf.Since(from); ok {
		return cyclam.Deltas{
			Deltas: deltas,
		}
	}
	return cyclam.Full{
		Snapshot: s.Conf.Snapshot(),
	}
}

// deltas applies changes in order, and asks again where one does not fit.
func (s State) deltas(l link, m cyclam.Deltas) (State, []cyclam.Effect) {
	held := s.Conf
	var failed error
	for _, delta := range m.Deltas {
		l.version = max(l.version, delta.To)
		next, err := held.WithDelta(delta)
		if err != nil && !errors.Is(err, conf.ErrOlder) {
			failed = err
			break
		}
		held = next
	}
	return s.taken(l, held, failed)
}

// full applies a whole configuration.
func (s State) full(l link, m cyclam.Full) (State, []cyclam.Effect) {
	l.version = max(l.version, m.Snapshot.Version)
	held, err := s.Conf.WithSnapshot(m.Snapshot)
	if errors.Is(err, conf.ErrOlder) {
		err = nil
	}
	if err != nil {
		s = s.withLink(l)
		return s, []cyclam.Effect{note("configuration-refused", "peer", l.peer.Instance, "error", err)}
	}
	return s.taken(l, held, nil)
}

// taken adopts what was applied and asks the peer for the rest.
func (s State) taken(l link, held conf.State, failed error) (State, []cyclam.Effect) {
	s = s.withLink(l)
	s, effects := s.Adopt(held)
	if failed == nil {
		return s, effects
	}
	pull := cyclam.Pull{
		Version: s.Conf.Version,
		Whole:   !errors.Is(failed, conf.ErrGap),
	}
	effects = append(effects, note("delta-refused", "peer", l.peer.Instance, "error", failed))
	return s, append(effects, send(l, pull))
}

// pulled answers a peer that lacks something.
func (s State) pulled(l link, m cyclam.Pull) (State, []cyclam.Effect) {
	if m.Version >= s.Conf.Version {
		return s, nil
	}
	l.version = s.Conf.Version
	s = s.withLink(l)
	if m.Whole {
		return s, []cyclam.Effect{send(l, cyclam.Full{
			Snapshot: s.Conf.Snapshot(),
		})}
	}
	return s, []cyclam.Effect{send(l, s.missing(m.Version))}
}

// learn takes in announcements and passes on those that are news.
func (s State) learn(now time.Time, from cyclam.LinkID, endpoints []cyclam.Endpoint) (State, []cyclam.Effect) {
	var effects []cyclam.Effect
	for _, e := range endpoints {
		if e.Instance == s.Self.Instance {
			var more []cyclam.Effect
			s, more = s.aboutSelf(now, e)
			effects = append(effects, more...)
			continue
		}
		s = s.adopt(now, from, e)
	}
	return s, effects
}

// adopt records an announcement and passes it on if it is news.
func (s State) adopt(now time.Time, from cyclam.LinkID, e cyclam.Endpoint) State {
	next, changed := s.Roster.With(now, e)
	if !changed {
		return s
	}
	s.Roster = next
	return s.passOn(e, from)
}

// passOn queues an announcement for the other links.
func (s State) passOn(e cyclam.Endpoint, from cyclam.LinkID) State {
	s.pending = &news{
		endpoint: e,
		from:     from,
		earlier:  s.pending,
	}
	s.urgent = s.urgent || e.State != cyclam.EndpointReady
	return s
}

// aboutSelf overrides what others say of this very process, and sees when
// another process has taken its name.
func (s State) aboutSelf(now time.Time, e cyclam.Endpoint) (State, []cyclam.Effect) {
	if e.Incarnation > s.Self.Incarnation {
		s.superseded = true
		return s, []cyclam.Effect{note("superseded", "incarnation", e.Incarnation)}
	}
	if e == s.Self || !e.Newer(s.Self) {
		return s, nil
	}
	s.Self.Sequence = e.Sequence
	return s.announce(now), []cyclam.Effect{note("refuted", "claimed", e.State)}
}

// compared sends the peer the endpoints in which the rosters differ.
func (s State) compared(l link, sums []uint64) (State, []cyclam.Effect) {
	if len(sums) != roster.Buckets {
		return s, nil
	}
	other := roster.Sums(sums)
	differing := s.Roster.Differing(&other)
	if len(differing) == 0 {
		return s, nil
	}
	return s, []cyclam.Effect{send(l, cyclam.News{
		Endpoints: differing,
	})}
}

// beat sends heartbeats on every link.
func (s State) beat(now time.Time) (State, []cyclam.Effect) {
	if now.Sub(s.beaten) < s.Tuning.HeartbeatInterval {
		return s, nil
	}
	s.beaten = now
	var effects []cyclam.Effect
	for _, l := range s.joinedLinks() {
		m := cyclam.Beat{
			Role:    s.Role(),
			Version: s.Conf.Version,
			Total:   s.Roster.Total(),
		}
		if l.child {
			m.Path = s.Path()
		}
		effects = append(effects, send(l, m))
	}
	return s, effects
}

// beatFrom takes in a peer's heartbeat.
func (s State) beatFrom(now time.Time, l link, m cyclam.Beat) (State, []cyclam.Effect) {
	l = l.compare(m.Total, s.Roster.Total())
	l = l.withVersion(m.Version)
	var effects []cyclam.Effect
	if l.differs >= differingBeats {
		l.differs = 0
		effects = append(effects, send(l, cyclam.Sums{
			Sums: s.Roster.Sums()[:],
		}))
	}
	s = s.withLink(l)
	if l.id == s.parent {
		if slices.Contains(m.Path, s.Self.Instance) {
			s, more := s.closed(now, l.id, "loop")
			return s, append(more, cyclam.CloseLink{
				Link:   l.id,
				Reason: "loop",
			})
		}
		s.path = m.Path
		if !covers(m.Role, s.want) {
			return s.parentResigned(effects)
		}
	}
	s, more := s.syncAll()
	return s, append(effects, more...)
}

// withVersion records what a peer says it holds. A peer that lags for several
// beats did not get what it was sent; for one beat, that is still under way.
func (l link) withVersion(version cyclam.Version) link {
	if version >= l.version {
		l.version = version
		l.behind = 0
		return l
	}
	l.behind++
	if l.behind >= differingBeats {
		l.version = version
		l.behind = 0
	}
	return l
}

// flush sends the gathered news and report when they are due.
func (s State) flush(now time.Time) (State, []cyclam.Effect) {
	if now.Sub(s.flushed) < s.Tuning.Flush && !s.urgent {
		return s, nil
	}
	return s.flushNow(now)
}

func (s State) flushNow(now time.Time) (State, []cyclam.Effect) {
	s.flushed = now
	s.urgent = false
	var effects []cyclam.Effect
	if s.pending != nil {
		effects = s.newsFor(s.joinedLinks())
		s.pending = nil
	}
	s, more := s.reportUp()
	return s, append(effects, more...)
}

func (s State) newsFor(links []link) []cyclam.Effect {
	var effects []cyclam.Effect
	for _, l := range links {
		var endpoints []cyclam.Endpoint
		for n := s.pending; n != nil; n = n.earlier {
			if n.from != l.id {
				endpoints = append(endpoints, n.endpoint)
			}
		}
		slices.Reverse(endpoints)
		if len(endpoints) > 0 {
			effects = append(effects, send(l, cyclam.News{
				Endpoints: endpoints,
			}))
		}
	}
	return effects
}
