package simnet

import (
	"context"
	"encoding/json"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/cyclamensaddle/cyclam/stand/objapi"
)

// callPlatform simulates one platform request. The request may be lost, may take effect
// after the caller timed out, or may take effect while its answer is lost.
func (w *world) callPlatform(p *proc, exec func(*objapi.Store) error, reply func(error)) {
	answered := false
	answer := func(err error) {
		if !answered {
			answered = true
			reply(err)
		}
	}
	transit := w.latency(p.state.Tree.Self.Locality, locality(0))
	if w.platformSlow {
		transit += time.Second
	}
	lost := w.chance(0.03)
	late := w.chance(0.03)
	unreachable := w.partitioned(p.state.Tree.Self.Locality, locality(0)) || w.platformDown || w.chance(0.02)
	switch {
	case unreachable && !late:
	case late:
		w.after(rpcTimeout+w.delay(rpcTimeout), func() { _ = exec(w.store) })
	default:
		w.after(transit, func() {
			if w.platformDown {
				return
			}
			err := exec(w.store)
			if !lost {
				w.after(w.delay(netDelay), func() { answer(err) })
			}
		})
	}
	w.after(rpcTimeout, func() { answer(cyclam.ErrUnavailable) })
}

// performPlatform executes the effects that address the platform.
func (w *world) performPlatform(p *proc, effect cyclam.Effect) {
	ctx := context.Background()
	var object cyclam.Object
	switch e := effect.(type) {
	case cyclam.ReadClaim:
		w.callPlatform(p, func(s *objapi.Store) (err error) {
			object, err = s.Get(ctx, cyclam.Key{
				Kind: cyclam.KindClaim,
				Name: e.Name,
			})
			return err
		}, func(err error) {
			w.deliver(p, func() cyclam.Event {
				return cyclam.ClaimRead{
					Stamp:  stamp(),
					Role:   e.Role,
					Object: object,
					Err:    err,
				}
			})
		})
	case cyclam.WriteClaim:
		w.callPlatform(p, func(s *objapi.Store) (err error) {
			object, err = s.Put(ctx, e.Object)
			return err
		}, func(err error) {
			w.deliver(p, func() cyclam.Event {
				return cyclam.ClaimWritten{
					Stamp:  stamp(),
					Role:   e.Role,
					Object: object,
					Err:    err,
				}
			})
		})
	case cyclam.ReleaseClaim:
		w.callPlatform(p, func(s *objapi.Store) error {
			return s.Delete(ctx, cyclam.Key{
				Kind: cyclam.KindClaim,
				Name: e.Name,
			}, cyclam.AtRevision(e.Revision))
		}, func(error) {})
	case cyclam.ReadVersion:
		var head cyclam.Head
		w.callPlatform(p, func(s *objapi.Store) (err error) {
			head, _, err = readHead(s)
			return err
		}, func(err error) {
			w.deliver(p, func() cyclam.Event {
				return cyclam.VersionRead{
					Stamp:   stamp(),
					Version: head.Version,
					Err:     err,
				}
			})
		})
	case cyclam.ReadHead:
		w.readHead(p, e)
	case cyclam.WriteVersion:
		w.writeVersion(p, e)
	case cyclam.ListObjects:
		var list cyclam.ObjectList
		w.callPlatform(p, func(s *objapi.Store) (err error) {
			list, err = s.List(ctx, cyclam.OperatorKinds()...)
			return err
		}, func(err error) {
			w.deliver(p, func() cyclam.Event {
				return cyclam.ObjectsListed{
					Stamp: stamp(),
					List:  list,
					Err:   err,
				}
			})
		})
	case cyclam.WatchObjects:
		w.watch(p, e)
	}
}

// readHead returns the stored head and its revision.
func readHead(s *objapi.Store) (cyclam.Head, uint64, error) {
	object, err := s.Get(context.Background(), cyclam.Key{
		Kind: cyclam.KindHead,
		Name: cyclam.HeadName,
	})
	if err != nil {
		return cyclam.Head{}, 0, err
	}
	var head cyclam.Head
	err = json.Unmarshal(object.Spec, &head)
	return head, object.Revision, err
}

// readHead reads the head and, if it is newer than the held version, its chunks.
func (w *world) readHead(p *proc, e cyclam.ReadHead) {
	event := cyclam.HeadRead{}
	w.callPlatform(p, func(s *objapi.Store) (err error) {
		event.Head, event.Revision, err = readHead(s)
		if err != nil || event.Head.Version <= e.Held {
			return err
		}
		var chunks []cyclam.Object
		for _, name := range event.Head.Chunks {
			chunk, err := s.Get(context.Background(), cyclam.Key{
				Kind: cyclam.KindChunk,
				Name: name,
			})
			if err != nil {
				return err
			}
			chunks = append(chunks, chunk)
		}
		event.Snapshot, err = conf.Join(event.Head, chunks)
		return err
	}, func(err error) {
		w.deliver(p, func() cyclam.Event {
			event.Stamp = stamp()
			event.Err = err
			return event
		})
	})
}

// writeVersion writes the chunks and then the head, in separate requests, so that the
// writer can be killed or paused in between.
func (w *world) writeVersion(p *proc, e cyclam.WriteVersion) {
	done := func(revision uint64, err error) {
		w.deliver(p, func() cyclam.Event {
			return cyclam.VersionWritten{
				Stamp:    stamp(),
				Token:    e.Token,
				Version:  e.Snapshot.Version,
				Revision: revision,
				Err:      err,
			}
		})
	}
	chunks := conf.Chunks(e.Snapshot.Resources)
	spec, _ := json.Marshal(conf.NewHead(e.Snapshot, e.Writer, chunks))
	head := cyclam.Object{
		Kind:     cyclam.KindHead,
		Name:     cyclam.HeadName,
		Position: cyclam.AtRevision(e.Revision),
		Spec:     spec,
	}
	w.callPlatform(p, func(s *objapi.Store) error {
		for _, chunk := range chunks {
			_, _ = s.Put(context.Background(), chunk)
		}
		return nil
	}, func(err error) {
		if err != nil || !p.alive {
			done(0, err)
			return
		}
		w.whenResumed(p, func() { w.writeHead(p, e, head, done) })
	})
}

// writeHead writes the head, which makes the version accepted.
func (w *world) writeHead(p *proc, e cyclam.WriteVersion, head cyclam.Object, done func(uint64, error)) {
	var stored cyclam.Object
	w.callPlatform(p, func(s *objapi.Store) (err error) {
		if stored, err = s.Put(context.Background(), head); err == nil {
			w.oracle.accept(e.Snapshot)
		}
		return err
	}, func(err error) { done(stored.Revision, err) })
}

// watch polls for changes at every tick and answers when there are some, when the request
// fails, or after 3 s.
func (w *world) watch(p *proc, e cyclam.WatchObjects) {
	deadline := time.Now().Add(3 * time.Second)
	var poll func()
	poll = func() {
		if !p.alive {
			return
		}
		changes, err := w.store.Watch(context.Background(), cyclam.AtRevision(e.From), 0, cyclam.OperatorKinds()...)
		failed := w.platformDown || w.partitioned(p.state.Tree.Self.Locality, locality(0)) || w.chance(0.01)
		if failed {
			changes, err = cyclam.ObjectChanges{}, cyclam.ErrUnavailable
		}
		if err == nil && len(changes.Events) == 0 && time.Now().Before(deadline) {
			w.after(tickInterval, poll)
			return
		}
		w.deliver(p, func() cyclam.Event {
			return cyclam.ObjectsChanged{
				Stamp:   stamp(),
				From:    e.From,
				Changes: changes,
				Err:     err,
			}
		})
	}
	w.after(w.delay(netDelay), poll)
}
