package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// Delays between status writes. They limit the write rate: the first
// configuration of thousands of objects must not use up the platform's write
// capacity.
const (
	statusInterval   = 10 * time.Millisecond
	statusRetryDelay = 500 * time.Millisecond
)

// statusWriter holds the queue of status objects to write. They are written one
// at a time; for each name only the latest value is kept.
type statusWriter struct {
	platform cyclam.Platform
	wake     chan struct{}

	mu      sync.Mutex
	order   []string
	pending map[string]any
	// revisions holds the last known revision of each object, which saves a
	// read before most writes.
	revisions map[string]uint64
}

func newStatusWriter(platform cyclam.Platform) *statusWriter {
	return &statusWriter{
		platform:  platform,
		wake:      make(chan struct{}, 1),
		pending:   map[string]any{},
		revisions: map[string]uint64{},
	}
}

// enqueue queues a status value. It replaces a queued value of the same name.
func (s *statusWriter) enqueue(e cyclam.WriteStatus) {
	s.mu.Lock()
	if _, queued := s.pending[e.Name]; !queued {
		s.order = append(s.order, e.Name)
	}
	s.pending[e.Name] = e.Value
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// next removes and returns the oldest entry of the queue.
func (s *statusWriter) next() (string, any, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.order) == 0 {
		return "", nil, false
	}
	name := s.order[0]
	s.order = s.order[1:]
	value := s.pending[name]
	delete(s.pending, name)
	return name, value, true
}

// requeue queues a value again after a failed write, unless a newer value of
// that name is queued.
func (s *statusWriter) requeue(name string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, queued := s.pending[name]; queued {
		return
	}
	s.pending[name] = value
	s.order = append(s.order, name)
}

// writeStatuses writes queued statuses until the context ends. Entries are
// dropped while this node is not the root, since the view of a former root is
// out of date.
func (n *Node) writeStatuses(ctx context.Context) error {
	for {
		name, value, ok := n.statuses.next()
		if !ok {
			select {
			case <-ctx.Done():
				return nil
			case <-n.statuses.wake:
			}
			continue
		}
		if !n.isRoot() {
			continue
		}
		delay := statusInterval
		if err := n.countPlatformCall(n.statuses.write(ctx, name, value)); err != nil {
			n.Log.Warn("status-not-written", "step", "write status", "status", name, "error", err)
			n.statuses.requeue(name, value)
			delay = statusRetryDelay
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(delay):
		}
	}
}

func (n *Node) isRoot() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Tree.Holds(cyclam.RoleRoot)
}

// write stores a status object and overwrites any existing one: on a conflict,
// it reads the stored revision and writes once more.
func (s *statusWriter) write(ctx context.Context, name string, value any) error {
	spec, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode status "+name)
	}
	object := cyclam.Object{
		Kind:     cyclam.KindStatus,
		Name:     name,
		Position: cyclam.AtRevision(s.revisions[name]),
		Spec:     spec,
	}
	stored, err := s.platform.Put(ctx, object)
	if errors.Is(err, cyclam.ErrConflict) {
		existing, readErr := s.platform.Get(ctx, object.Key())
		if readErr != nil && !errors.Is(readErr, cyclam.ErrNotFound) {
			return readErr
		}
		object.Revision = existing.Revision
		stored, err = s.platform.Put(ctx, object)
	}
	if err == nil {
		s.revisions[name] = stored.Revision
	}
	return err
}
