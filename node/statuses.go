package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

// The pace of writing statuses. A first configuration of thousands of objects
// must not take all the writes that the platform bears.
const (
	statusPace  = 10 * time.Millisecond
	statusPause = 500 * time.Millisecond
)

// statuses writes status objects one after the other: the latest value of each
// name, until it is written.
type statuses struct {
	platform cyclam.Platform
	wake     chan struct{}

	mu      sync.Mutex
	order   []string
	pending map[string]any
	// revisions spare a read before most writes.
	revisions map[string]uint64
}

func newStatuses(platform cyclam.Platform) *statuses {
	return &statuses{
		platform:  platform,
		wake:      make(chan struct{}, 1),
		pending:   map[string]any{},
		revisions: map[string]uint64{},
	}
}

// add queues a value in place of an earlier one of the same name.
func (s *statuses) add(e cyclam.WriteStatus) {
	s.mu.Lock()
	if _, waits := s.pending[e.Name]; !waits {
		s.order = append(s.order, e.Name)
	}
	s.pending[e.Name] = e.Value
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// next takes the value that has waited longest.
func (s *statuses) next() (string, any, bool) {
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

// back queues a value again that could not be written, unless a later one waits.
func (s *statuses) back(name string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, waits := s.pending[name]; waits {
		return
	}
	s.pending[name] = value
	s.order = append(s.order, name)
}

// writeStatuses writes what is queued for as long as this node is the root; a
// former root's view is out of date and is dropped.
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
		pause := statusPace
		if err := n.counted(n.statuses.write(ctx, name, value)); err != nil {
			n.Log.Warn("status-not-written", "step", "write status", "status", name, "error", err)
			n.statuses.back(name, value)
			pause = statusPause
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

func (n *Node) isRoot() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Tree.Holds(cyclam.RoleRoot)
}

// write puts a status object over whatever is stored.
func (s *statuses) write(ctx context.Context, name string, value any) error {
	spec, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode status "+name)
	}
	object := cyclam.Object{
		Kind:     cyclam.KindStatus,
		Name:     name,
		Revision: s.revisions[name],
		Spec:     spec,
	}
	stored, err := s.platform.Put(ctx, object)
	if errors.Is(err, cyclam.ErrConflict) {
		present, readErr := s.platform.Get(ctx, object.Key())
		if readErr != nil && !errors.Is(readErr, cyclam.ErrNotFound) {
			return readErr
		}
		object.Revision = present.Revision
		stored, err = s.platform.Put(ctx, object)
	}
	if err == nil {
		s.revisions[name] = stored.Revision
	}
	return err
}
