package simnet

import (
	"strconv"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// link is a control link between two processes, each of which has its own ID for it.
// lastArrival is the latest arrival time of a message from each end, to keep order.
type link struct {
	ends        [2]*proc
	linkIDs     [2]cyclam.LinkID
	lastArrival [2]time.Time
	closed      bool
}

// side returns the index of the end that the process holds.
func (l *link) side(p *proc) int {
	if l.ends[0] == p {
		return 0
	}
	return 1
}

// procAt returns the process that holds an address at present. An address is the number
// of a slot.
func (w *world) procAt(address string) *proc {
	slot, err := strconv.Atoi(address)
	if err != nil || slot >= len(w.procs) {
		return nil
	}
	return w.procs[slot]
}

// openLink connects a process to an address. The link is refused if no other live process
// is reachable there.
func (w *world) openLink(p *proc, e cyclam.OpenLink) {
	target := w.procAt(e.Address)
	here := p.state.Tree.Self.Locality
	w.after(w.delay(netDelay), func() {
		if target == nil || !target.alive || target == p || w.partitioned(here, target.state.Tree.Self.Locality) {
			w.deliver(p, func() cyclam.Event {
				return cyclam.LinkClosed{
					Stamp: stamp(),
					Link:  e.Link,
					Err:   errors.New("connection refused"),
				}
			})
			return
		}
		target.lastLink++
		l := &link{
			ends:    [2]*proc{p, target},
			linkIDs: [2]cyclam.LinkID{e.Link, target.lastLink},
		}
		p.links[e.Link] = l
		target.links[target.lastLink] = l
		accepted := target.lastLink
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

// sendLink transmits messages in order, except that with chaos some are lost, duplicated or
// reordered.
func (w *world) sendLink(p *proc, e cyclam.SendLink) {
	l, ok := p.links[e.Link]
	if !ok || l.closed {
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
			w.transmit(l, p, message)
		}
	}
}

// transmit schedules the arrival of one message. During a partition the message is held
// back.
func (w *world) transmit(l *link, p *proc, message cyclam.Message) {
	from := l.side(p)
	other := l.ends[1-from]
	due := time.Now().Add(w.latency(p.state.Tree.Self.Locality, other.state.Tree.Self.Locality))
	if due.Before(l.lastArrival[from]) && !w.chance(0.02) {
		due = l.lastArrival[from]
	}
	l.lastArrival[from] = due
	arrive := func() {
		if l.closed {
			return
		}
		w.deliver(other, func() cyclam.Event {
			return cyclam.LinkReceived{
				Stamp:    stamp(),
				Link:     l.linkIDs[1-from],
				Messages: []cyclam.Message{message},
			}
		})
	}
	if w.partitioned(p.state.Tree.Self.Locality, other.state.Tree.Self.Locality) {
		w.heldMessages = append(w.heldMessages, arrive)
		return
	}
	w.after(time.Until(due), arrive)
}

// closeEnd closes a link from one end. A silent closeEnd is not reported to the other end.
func (l *link) closeEnd(w *world, p *proc, silent bool) {
	from := l.side(p)
	other := l.ends[1-from]
	delete(p.links, l.linkIDs[from])
	if silent || l.closed {
		return
	}
	due := max(time.Until(l.lastArrival[from]), 0) + time.Millisecond
	w.after(due, func() {
		l.closed = true
		delete(other.links, l.linkIDs[1-from])
		w.deliver(other, func() cyclam.Event {
			return cyclam.LinkClosed{
				Stamp: stamp(),
				Link:  l.linkIDs[1-from],
			}
		})
	})
}

// perform executes an effect that a process returned.
func (w *world) perform(p *proc, effect cyclam.Effect) {
	switch e := effect.(type) {
	case cyclam.OpenLink:
		w.openLink(p, e)
	case cyclam.SendLink:
		w.sendLink(p, e)
	case cyclam.CloseLink:
		if l, ok := p.links[e.Link]; ok {
			l.closeEnd(w, p, false)
		}
	case cyclam.SendAttempt:
		w.calls.sendAttempt(w, p, e)
	case cyclam.ConfirmCancel:
		w.calls.confirmCancel(w, p, e)
	case cyclam.FinishCall:
		w.calls.finishCall(w, p, e)
	case cyclam.StartWork:
		w.calls.startWork(w, p, e)
	case cyclam.FinishWork:
		w.calls.finishWork(w, p, e)
	case cyclam.AnswerCancel:
		w.calls.answerCancel(w, p, e)
	case cyclam.WriteLog:
		tracef("%v %s %v", p.id(), e.Event, e.Fields)
	case cyclam.Exit:
		w.oracle.procExited(w, p)
		w.kill(p)
	default:
		w.performPlatform(p, effect)
	}
}
