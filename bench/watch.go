package bench

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/cyclamensaddle/cyclam/stand/inproc"
	"github.com/cyclamensaddle/cyclam/store"
)

// runWatch measures the baseline, in which every node lists and watches the
// operators' objects itself.
func (s *Distribution) runWatch(ctx context.Context, platform string) (DistributionRow, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var ready sync.WaitGroup
	var bytesNorth, bytesSouth atomic.Int64
	begin := time.Now()
	for i := range s.Nodes {
		count := &bytesNorth
		if inproc.Localities[i%len(inproc.Localities)].Region == "south" {
			count = &bytesSouth
		}
		ready.Add(1)
		go s.watcher(ctx, platform, count, ready.Done)
	}
	ready.Wait()
	row := s.row()
	row.JoinMillis = millis(time.Since(begin))
	s.reset()
	use := startUse(platform, func(name string) int64 {
		if name == "control-bytes-cross-region" {
			return bytesSouth.Load()
		}
		return bytesNorth.Load() + bytesSouth.Load()
	})
	s.Event = "none"
	changes, _, err := s.change(ctx, store.New(platform), nil, nil)
	if err != nil {
		return row, err
	}
	use.finish(&row, s.Nodes, changes)
	time.Sleep(2 * time.Second)
	s.finish(&row, changes)
	return row, nil
}

// watchWait is how long a watch of the baseline waits.
const watchWait = 20 * time.Second

// watcher is one node of the baseline: a list, then one watch after another.
func (s *Distribution) watcher(ctx context.Context, platform string, bytes *atomic.Int64, ready func()) {
	client := store.New(platform)
	client.Timeout = time.Minute
	list, err := client.List(ctx, cyclam.OperatorKinds()...)
	if err != nil {
		ready()
		return
	}
	set := conf.NewSet()
	for _, o := range list.Objects {
		if resource, problems := conf.Parse(o); len(problems) == 0 {
			set = set.With(resource)
		}
	}
	ready()
	from := list.Revision
	for ctx.Err() == nil {
		changes, err := client.Watch(ctx, from, watchWait, cyclam.OperatorKinds()...)
		if err != nil {
			if !errors.Is(err, cyclam.ErrUnavailable) {
				return
			}
			time.Sleep(100 * time.Millisecond)
			continue
		}
		from = changes.Revision
		for _, event := range changes.Events {
			bytes.Add(int64(len(event.Object.Spec)) + eventOverhead)
			if resource, problems := conf.Parse(event.Object); len(problems) == 0 {
				set = set.With(resource)
			}
			s.saw(cyclam.Version(event.Object.Revision), time.Now())
		}
	}
}

// eventOverhead is the bytes of a watch call around one event: request line and
// headers, status line and headers, and the JSON around the spec.
const eventOverhead = 480
