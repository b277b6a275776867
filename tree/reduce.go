package tree

import (
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// Reduce folds one event of the control plane into the state.
func Reduce(s State, event cyclam.Event) (State, []cyclam.Effect) {
	switch e := event.(type) {
	case cyclam.Tick:
		return s.tick(e.Now)
	case cyclam.LinkAccepted:
		return s.withLink(link{
			id:    e.Link,
			child: true,
			heard: e.Now,
		}), nil
	case cyclam.LinkOpened:
		return s.opened(e)
	case cyclam.LinkClosed:
		return s.closed(e.Now, e.Link, errorText(e.Err))
	case cyclam.LinkReceived:
		return s.received(e)
	case cyclam.VersionRead:
		return s.floorRead(e), nil
	case cyclam.ClaimRead:
		return s.claimRead(e)
	case cyclam.ClaimWritten:
		return s.claimWritten(e)
	default:
		return s, nil
	}
}

func errorText(err error) string {
	if err == nil {
		return "closed by peer"
	}
	return err.Error()
}

// tick does everything that is due at a time.
func (s State) tick(now time.Time) (State, []cyclam.Effect) {
	if now.Sub(s.ticked) > s.Tuning.LinkTimeout/2 {
		s = s.woken(now)
	}
	s.ticked = now
	steps := []func(State, time.Time) (State, []cyclam.Effect){
		State.askFloor,
		State.renew,
		State.dropSilent,
		State.declareLost,
		State.search,
		State.beat,
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

// woken forgives every peer its silence after this process itself was paused:
// what it has not heard proves nothing about them.
func (s State) woken(now time.Time) State {
	s.each(func(l link) {
		l.heard = now
		s = s.withLink(l)
	})
	for it := s.lost.Iterator(); !it.Done(); {
		name, l, _ := it.Next()
		l.until = now.Add(s.Tuning.Grace)
		s.lost = s.lost.Set(name, l)
	}
	return s
}

// received handles the messages of one link in order.
func (s State) received(e cyclam.LinkReceived) (State, []cyclam.Effect) {
	var effects []cyclam.Effect
	for _, message := range e.Messages {
		l, ok := s.links.Get(e.Link)
		if !ok {
			return s, effects
		}
		l.heard = e.Now
		s = s.withLink(l)
		var more []cyclam.Effect
		s, more = s.message(e.Now, l, message)
		effects = append(effects, more...)
	}
	return s, effects
}

func (s State) message(now time.Time, l link, message cyclam.Message) (State, []cyclam.Effect) {
	if hello, ok := message.(cyclam.Hello); ok {
		return s.hello(now, l, hello)
	}
	if welcome, ok := message.(cyclam.Welcome); ok {
		return s.welcome(now, l, welcome)
	}
	if redirect, ok := message.(cyclam.Redirect); ok {
		return s.redirected(now, l, redirect)
	}
	if !l.joined {
		return s, nil
	}
	switch m := message.(type) {
	case cyclam.Beat:
		return s.beatFrom(now, l, m)
	case cyclam.Sums:
		return s.compared(l, m.Sums)
	case cyclam.News:
		return s.learn(now, l.id, m.Endpoints)
	case cyclam.Deltas:
		return s.deltas(l, m)
	case cyclam.Full:
		return s.full(l, m)
	case cyclam.Pull:
		return s.pulled(l, m)
	case cyclam.Report:
		l.report = m
		s.urgent = true
		return s.withLink(l), nil
	default:
		return s, nil
	}
}
