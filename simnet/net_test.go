package simnet

import (
	"strconv"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// wire is one link; its two ends are processes with their own link numbers.
type wire struct {
	ends [2]*proc
	ids  [2]cyclam.LinkID
	last [2]time.Time
	over bool
}

func (l *wire) side(p *proc) int {
	if l.ends[0] == p {
		return 0
	}
	return 1
}

// at returns the process that now has an address.
func (w *world) at(address string) *proc {
	slot, err := strconv.Atoi(address)
	if err != nil || slot >= len(w.procs) {
		return nil
	}
	return w.procs[slot]
}

func (w *world) open(p *proc, e cyclam.OpenLink) {
	target := w.at(e.Address)
	here := p.state.Tree.Self.Locality
	w.after(w.delay(netDelay), func() {
		if target == nil || !target.alive || target == p || w.severed(here, target.state.Tree.Self.Locality) {
			w.deliver(p, func() cyclam.Event {
				return cyclam.LinkClosed{
					Stamp: stamp(),
					Link:  e.Link,
					Err:   errors.New("refused"),
				}
			})
			return
		}
		target.next++
		l := &wire{
			ends: [2]*proc{p, target},
			ids:  [2]cyclam.LinkID{e.Link, target.next},
		}
		p.links[e.Link] = l
		target.links[target.next] = l
		accepted := target.next
		w.deliver(target, func() cyclam.Event {
			return cyclam.LinkAccepted{
				Stamp: stamp(),
				Link:  accepted,
			}
		})
		w.deliver(p, func() cyclam.Event {
			return cyclam.LinkOpened{
				Stamp: stamp(),
				Link:  e.Link,
			}
		})
	})
}

// send passes messages on in order, but for what chaos drops, repeats and swaps.
func (w *world) send(p *proc, e cyclam.SendLink) {
	l, ok := p.links[e.Link]
	if !ok || l.over {
		return
	}
	for _, message := range e.Messages {
		copies := 1
		switch {
		case w.chance(0.01):
			copies = 0
		case w.chance(0.01):
			copies = 2
		}
		for range copies {
			w.carry(l, p, message)
		}
	}
}

func (w *world) carry(l *wire, p *proc, message cyclam.Message) {
	from := l.side(p)
	other := l.ends[1-from]
	due := time.Now().Add(w.between(p.state.Tree.Self.Locality, other.state.Tree.Self.Locality))
	if due.Before(l.last[from]) && !w.chance(0.02) {
		due = l.last[from]
	}
	l.last[from] = due
	arrive := func() {
		if l.over {
			return
		}
		w.deliver(other, func() cyclam.Event {
			return cyclam.LinkReceived{
				Stamp:    stamp(),
				Link:     l.ids[1-from],
				Messages: []cyclam.Message{message},
			}
		})
	}
	if w.severed(p.state.Tree.Self.Locality, other.state.Tree.Self.Locality) {
		w.held = append(w.held, arrive)
		return
	}
	w.after(time.Until(due), arrive)
}

// end closes a link from one side; a silent end is never told to the other.
func (l *wire) end(w *world, p *proc, silent bool) {
	from := l.side(p)
	other := l.ends[1-from]
	delete(p.links, l.ids[from])
	if silent || l.over {
		return
	}
	due := max(time.Until(l.last[from]), 0) + time.Millisecond
	w.after(due, func() {
		l.over = true
		delete(other.links, l.ids[1-from])
		w.deliver(other, func() cyclam.Event {
			return cyclam.LinkClosed{
				Stamp: stamp(),
				Link:  l.ids[1-from],
			}
		})
	})
}

// perform does what a process asked for.
func (w *world) perform(p *proc, effect cyclam.Effect) {
	switch e := effect.(type) {
	case cyclam.OpenLink:
		w.open(p, e)
	case cyclam.SendLink:
		w.send(p, e)
	case cyclam.CloseLink:
		if l, ok := p.links[e.Link]; ok {
			l.end(w, p, false)
		}
	case cyclam.SendAttempt:
		w.calls.send(w, p, e)
	case cyclam.ConfirmCancel:
		w.calls.cancel(w, p, e)
	case cyclam.FinishCall:
		w.calls.finish(w, p, e)
	case cyclam.StartWork:
		w.calls.start(w, p, e)
	case cyclam.FinishWork:
		w.calls.reply(w, p, e)
	case cyclam.AnswerCancel:
		w.calls.answerCancel(w, p, e)
	case cyclam.WriteLog:
		tracef("%v %s %v", p.id(), e.Event, e.Fields)
	case cyclam.Exit:
		w.oracle.exited(w, p)
		w.kill(p)
	default:
		w.performPlatform(p, effect)
	}
}
