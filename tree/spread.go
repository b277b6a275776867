package tree

import (
	"slices"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/cyclamensaddle/cyclam/roster"
	"github.com/pkg/errors"
)

// mismatchLimit is how many consecutive beats the roster checksums of two peers may
// differ, with neither of them changing, before the peers compare their rosters.
// While news is in transit the checksums differ anyway, and a comparison then would
// send all of that news again. The same number of beats applies to a peer whose
// version lags.
const mismatchLimit = 3

// withRosterSums counts consecutive beats in which the checksums of two rosters
// differ without either of them changing.
func (l link) withRosterSums(theirs, ours uint64) link {
	moved := theirs != l.theirs || ours != l.ours
	l.theirs, l.ours = theirs, ours
	l.mismatches++
	if moved || theirs == ours {
		l.mismatches = 0
	}
	return l
}

// Adopt takes over a configuration that the platform has accepted, if it is newer
// than the one in force, and sends it to the peers.
func (s State) Adopt(held conf.State) (State, []cyclam.Effect) {
	if held.Version <= s.Conf.Version {
		return s, nil
	}
	s.Conf = held
	s.urgent = true
	return s.syncConf()
}

// syncConf sends every peer the configuration that it lacks.
func (s State) syncConf() (State, []cyclam.Effect) {
	var effects []cyclam.Effect
	for _, l := range s.joinedLinks() {
		if l.version >= s.Conf.Version {
			continue
		}
		effects = append(effects, sendEffect(l, s.confSince(l.version)))
		l.version = s.Conf.Version
		s = s.withLink(l)
	}
	return s, effects
}

// confSince returns the deltas from a version to the one held, or the whole
// configuration if the deltas are no longer kept.
func (s State) confSince(from cyclam.Version) cyclam.Message {
	if deltas, ok := s.Conf.Since(from); ok {
		return cyclam.Deltas{
			Deltas: deltas,
		}
	}
	return cyclam.Full{
		Snapshot: s.Conf.Snapshot(),
	}
}

// handleDeltas applies deltas in order, up to the first that does not apply.
func (s State) handleDeltas(l link, m cyclam.Deltas) (State, []cyclam.Effect) {
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
	return s.adoptApplied(l, held, failed)
}

// handleFull applies a whole configuration.
func (s State) handleFull(l link, m cyclam.Full) (State, []cyclam.Effect) {
	l.version = max(l.version, m.Snapshot.Version)
	held, err := s.Conf.WithSnapshot(m.Snapshot)
	if errors.Is(err, conf.ErrOlder) {
		err = nil
	}
	if err != nil {
		s = s.withLink(l)
		return s, []cyclam.Effect{logEffect("configuration-refused", "peer", l.peer.Instance, "error", err)}
	}
	return s.adoptApplied(l, held, nil)
}

// adoptApplied adopts the configuration that was applied. After a failure it pulls
// the rest from the peer: the missing deltas after a gap, else the whole
// configuration.
func (s State) adoptApplied(l link, held conf.State, failed error) (State, []cyclam.Effect) {
	s = s.withLink(l)
	s, effects := s.Adopt(held)
	if failed == nil {
		return s, effects
	}
	pull := cyclam.Pull{
		Version: s.Conf.Version,
		Whole:   !errors.Is(failed, conf.ErrGap),
	}
	effects = append(effects, logEffect("delta-refused", "peer", l.peer.Instance, "error", failed))
	return s, append(effects, sendEffect(l, pull))
}

// handlePull answers a peer that lacks deltas or the whole configuration.
func (s State) handlePull(l link, m cyclam.Pull) (State, []cyclam.Effect) {
	if m.Version >= s.Conf.Version {
		return s, nil
	}
	l.version = s.Conf.Version
	s = s.withLink(l)
	if m.Whole {
		return s, []cyclam.Effect{sendEffect(l, cyclam.Full{
			Snapshot: s.Conf.Snapshot(),
		})}
	}
	return s, []cyclam.Effect{sendEffect(l, s.confSince(m.Version))}
}

// learnEndpoints records announcements and passes on those that are new.
func (s State) learnEndpoints(now time.Time, from cyclam.LinkID, endpoints []cyclam.Endpoint) (State, []cyclam.Effect) {
	var effects []cyclam.Effect
	for _, e := range endpoints {
		if e.Instance == s.Self.Instance {
			var more []cyclam.Effect
			s, more = s.handleOwnEndpoint(now, e)
			effects = append(effects, more...)
			continue
		}
		s = s.withEndpoint(now, from, e)
	}
	return s, effects
}

// withEndpoint records an announcement and queues it for the other links if it is
// new.
func (s State) withEndpoint(now time.Time, from cyclam.LinkID, e cyclam.Endpoint) State {
	next, changed := s.Roster.With(now, e)
	if !changed {
		return s
	}
	s.Roster = next
	return s.withPendingNews(e, from)
}

// withPendingNews queues an announcement for all links except the one it came from.
// An endpoint that is not ready is sent without delay.
func (s State) withPendingNews(e cyclam.Endpoint, from cyclam.LinkID) State {
	s.pending = &pendingNews{
		endpoint: e,
		from:     from,
		previous: s.pending,
	}
	s.urgent = s.urgent || e.State != cyclam.EndpointReady
	return s
}

// handleOwnEndpoint handles an announcement of this node's own endpoint. One of a
// later incarnation means that another process has taken the instance name over. A
// newer one of this incarnation is refuted by an announcement with a higher sequence.
func (s State) handleOwnEndpoint(now time.Time, e cyclam.Endpoint) (State, []cyclam.Effect) {
	if e.Incarnation > s.Self.Incarnation {
		s.superseded = true
		return s, []cyclam.Effect{logEffect("superseded", "incarnation", e.Incarnation)}
	}
	if e == s.Self || !e.Newer(s.Self) {
		return s, nil
	}
	s.Self.Sequence = e.Sequence
	return s.withAnnouncement(now), []cyclam.Effect{logEffect("refuted", "claimed", e.State)}
}

// handleSums sends the peer the endpoints in the buckets whose checksums differ.
func (s State) handleSums(l link, sums []uint64) (State, []cyclam.Effect) {
	if len(sums) != roster.Buckets {
		return s, nil
	}
	other := roster.Sums(sums)
	differing := s.Roster.Differing(&other)
	if len(differing) == 0 {
		return s, nil
	}
	return s, []cyclam.Effect{sendEffect(l, cyclam.News{
		Endpoints: differing,
	})}
}

// sendBeats sends a heartbeat on every joined link.
func (s State) sendBeats(now time.Time) (State, []cyclam.Effect) {
	if now.Sub(s.lastBeat) < s.Tuning.HeartbeatInterval {
		return s, nil
	}
	s.lastBeat = now
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
		effects = append(effects, sendEffect(l, m))
	}
	return s, effects
}

// handleBeat applies a peer's heartbeat.
func (s State) handleBeat(now time.Time, l link, m cyclam.Beat) (State, []cyclam.Effect) {
	l = l.withRosterSums(m.Total, s.Roster.Total())
	l = l.withVersion(m.Version)
	var effects []cyclam.Effect
	if l.mismatches >= mismatchLimit {
		l.mismatches = 0
		effects = append(effects, sendEffect(l, cyclam.Sums{
			Sums: s.Roster.Sums()[:],
		}))
	}
	s = s.withLink(l)
	if l.id == s.parent {
		if slices.Contains(m.Path, s.Self.Instance) {
			s, more := s.linkClosed(now, l.id, "loop")
			return s, append(more, cyclam.CloseLink{
				Link:   l.id,
				Reason: "loop",
			})
		}
		s.path = m.Path
		if !satisfies(m.Role, s.wantedRole) {
			return s.leaveResignedParent(effects)
		}
	}
	s, more := s.syncConf()
	return s, append(effects, more...)
}

// withVersion records the version that a peer reports. A version below the one sent
// counts as still in transit at first; after several such beats the update counts
// as lost, and the peer's own figure is taken, so that the update is sent again.
func (l link) withVersion(version cyclam.Version) link {
	if version >= l.version {
		l.version = version
		l.lagging = 0
		return l
	}
	l.lagging++
	if l.lagging >= mismatchLimit {
		l.version = version
		l.lagging = 0
	}
	return l
}

// flush sends the queued news and the report when they are due.
func (s State) flush(now time.Time) (State, []cyclam.Effect) {
	if now.Sub(s.lastFlush) < s.Tuning.Flush && !s.urgent {
		return s, nil
	}
	return s.flushNow(now)
}

func (s State) flushNow(now time.Time) (State, []cyclam.Effect) {
	s.lastFlush = now
	s.urgent = false
	var effects []cyclam.Effect
	if s.pending != nil {
		effects = s.newsEffects(s.joinedLinks())
		s.pending = nil
	}
	s, more := s.reportUp()
	return s, append(effects, more...)
}

// newsEffects returns the queued announcements for each link, oldest first, without
// those that came from that link.
func (s State) newsEffects(links []link) []cyclam.Effect {
	var effects []cyclam.Effect
	for _, l := range links {
		var endpoints []cyclam.Endpoint
		for n := s.pending; n != nil; n = n.previous {
			if n.from != l.id {
				endpoints = append(endpoints, n.endpoint)
			}
		}
		slices.Reverse(endpoints)
		if len(endpoints) > 0 {
			effects = append(effects, sendEffect(l, cyclam.News{
				Endpoints: endpoints,
			}))
		}
	}
	return effects
}
