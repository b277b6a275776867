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
// operators' objects at the platform itself.
func (d *Distribution) runWatch(ctx context.Context, platform string) (DistributionRow, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var ready sync.WaitGroup
	var bytesNorth, bytesSouth atomic.Int64
	begin := time.Now()
	for i := range d.Nodes {
		counter := &bytesNorth
		if inproc.Localities[i%len(inproc.Localities)].Region == "south" {
			counter = &bytesSouth
		}
		ready.Add(1)
		go d.watchChanges(ctx, platform, counter, ready.Done)
	}
	ready.Wait()
	row := d.newRow()
	row.JoinMillis = millis(time.Since(begin))
	d.reset()
	used := startUsage(platform, func(name string) int64 {
		if name == "control-bytes-cross-region" {
			return bytesSouth.Load()
		}
		return bytesNorth.Load() + bytesSouth.Load()
	})
	d.Event = "none"
	changes, _, err := d.applyChanges(ctx, store.New(platform), nil, nil)
	if err != nil {
		return row, err
	}
	used.finish(&row, d.Nodes, changes)
	time.Sleep(2 * time.Second)
	d.finish(&row, changes)
	return row, nil
}

// watchWait is how long a watch call of the baseline waits for changes.
const watchWait = 20 * time.Second

// watchChanges is a node of the baseline: it lists the objects, calls ready, and then
// repeats watch calls until ctx ends.
func (d *Distribution) watchChanges(ctx context.Context, platform string, bytes *atomic.Int64, ready func()) {
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
	from := list.Position
	for ctx.Err() == nil {
		changes, err := client.Watch(ctx, from, watchWait, cyclam.OperatorKinds()...)
		if err != nil {
			if !errors.Is(err, cyclam.ErrUnavailable) {
				return
			}
			time.Sleep(100 * time.Millisecond)
			continue
		}
		from = changes.Position
		for _, event := range changes.Events {
			bytes.Add(int64(len(event.Object.Spec)) + eventOverhead)
			if resource, problems := conf.Parse(event.Object); len(problems) == 0 {
				set = set.With(resource)
			}
			d.recordInForce(cyclam.Version(event.Object.Revision), time.Now())
		}
	}
}

// eventOverhead is the size in bytes of a watch call with one event, apart from the
// spec: request line and headers, status line and headers, and the JSON around the
// spec.
const eventOverhead = 480
