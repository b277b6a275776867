package tree

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// Reduce applies one event of the control plane to the state.
func Reduce(s State, event cyclam.Event) (State, []cyclam.Effect) {
	switch e := event.(type) {
	case cyclam.Tick:
		return s.tick(e.Now)
	case cyclam.LinkAccepted:
		return s.withLink(link{
			id:        e.Link,
			child:     true,
			lastHeard: e.Now,
		}), nil
	case cyclam.LinkOpened:
		return s.linkOpened(e)
	case cyclam.LinkClosed:
		return s.linkClosed(e.Now, e.Link, closeReason(e.Err))
	case cyclam.LinkReceived:
		return s.linkReceived(e)
	case cyclam.VersionRead:
		return s.versionRead(e), nil
	case cyclam.ClaimRead:
		return s.claimRead(e)
	case cyclam.ClaimWritten:
		return s.claimWritten(e)
	default:
		return s, nil
	}
}

func closeReason(err error) string {
	if err == nil {
		return "closed by peer"
	}
	return err.Error()
}

// tick runs every periodic step that is due.
func (s State) tick(now time.Time) (State, []cyclam.Effect) {
	if now.Sub(s.lastTick) > s.Tuning.LinkTimeout/2 {
		s = s.withTimeoutsReset(now)
	}
	s.lastTick = now
	steps := []func(State, time.Time) (State, []cyclam.Effect){
		State.readMinVersion,
		State.renewClaims,
		State.closeSilentLinks,
		State.declareGone,
		State.searchParent,
		State.sendBeats,
		State.flush,
		State.prune,
	}
	var effects []cyclam.Effect
	for _, step := range steps {
		var more []cyclam.Effect
		s, more = step(s, now)
		effects = append(effects, more...)
	}
	return s, effects
}

// withTimeoutsReset restarts the time-outs of all links and lost children. It is
// used after this process itself was paused: peers that appear silent may have sent
// messages that it has not read yet.
func (s State) withTimeoutsReset(now time.Time) State {
	s.eachLink(func(l link) {
		l.lastHeard = now
		s = s.withLink(l)
	})
	for it := s.lostChildren.Iterator(); !it.Done(); {
		name, l, _ := it.Next()
		l.deadline = now.Add(s.Tuning.Grace)
		s.lostChildren = s.lostChildren.Set(name, l)
	}
	return s
}

// linkReceived handles the messages of one link in order.
func (s State) linkReceived(e cyclam.LinkReceived) (State, []cyclam.Effect) {
	var effects []cyclam.Effect
	for _, message := range e.Messages {
		l, ok := s.links.Get(e.Link)
		if !ok {
			return s, effects
		}
		l.lastHeard = e.Now
		s = s.withLink(l)
		var more []cyclam.Effect
		s, more = s.handleMessage(e.Now, l, message)
		effects = append(effects, more...)
	}
	return s, effects
}

// handleMessage handles one message. Until both sides have joined, only Hello,
// Welcome and Redirect are accepted.
func (s State) handleMessage(now time.Time, l link, message cyclam.Message) (State, []cyclam.Effect) {
	if hello, ok := message.(cyclam.Hello); ok {
		return s.handleHello(now, l, hello)
	}
	if welcome, ok := message.(cyclam.Welcome); ok {
		return s.handleWelcome(now, l, welcome)
	}
	if redirect, ok := message.(cyclam.Redirect); ok {
		return s.handleRedirect(now, l, redirect)
	}
	if !l.joined {
		return s, nil
	}
	switch m := message.(type) {
	case cyclam.Beat:
		return s.handleBeat(now, l, m)
	case cyclam.Sums:
		return s.handleSums(l, m.Sums)
	case cyclam.News:
		return s.learnEndpoints(now, l.id, m.Endpoints)
	case cyclam.Deltas:
		return s.handleDeltas(l, m)
	case cyclam.Full:
		return s.handleFull(l, m)
	case cyclam.Pull:
		return s.handlePull(l, m)
	case cyclam.Report:
		l.report = m
		s.urgent = true
		return s.withLink(l), nil
	default:
		return s, nil
	}
}
