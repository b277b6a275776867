package node

import (
	"context"
	"encoding/json"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// watchWait is how long one watch call waits for a change.
const watchWait = 20 * time.Second

// performPlatform starts a platform call in the background.
func (n *Node) performPlatform(effect cyclam.Effect) {
	switch e := effect.(type) {
	case cyclam.ReadClaim:
		go n.readClaim(e)
	case cyclam.WriteClaim:
		go n.writeClaim(e)
	case cyclam.ReleaseClaim:
		go n.dropClaim(e)
	case cyclam.ReadVersion:
		go n.readVersion()
	case cyclam.ReadHead:
		go n.readHead(e)
	case cyclam.WriteVersion:
		go n.writeVersion(e)
	case cyclam.ListObjects:
		go n.listObjects()
	case cyclam.WatchObjects:
		go n.watchObjects(e)
	case cyclam.WriteStatus:
		n.statuses.add(e)
	default:
		n.Log.Error("effect-unknown", "effect", hclog.Fmt("%T", effect))
	}
}

// counted counts a platform call and its failure.
func (n *Node) counted(err error) error {
	n.meters.platform.Inc(1)
	if errors.Is(err, cyclam.ErrUnavailable) {
		n.meters.platformBad.Inc(1)
	}
	return err
}

func (n *Node) readClaim(e cyclam.ReadClaim) {
	object, err := n.Platform.Get(n.ctx, cyclam.Key{
		Kind: cyclam.KindClaim,
		Name: e.Name,
	})
	n.dispatch(cyclam.ClaimRead{
		Stamp:  stamp(),
		Role:   e.Role,
		Object: object,
		Err:    n.counted(err),
	})
}

func (n *Node) writeClaim(e cyclam.WriteClaim) {
	object, err := n.Platform.Put(n.ctx, e.Object)
	n.dispatch(cyclam.ClaimWritten{
		Stamp:  stamp(),
		Role:   e.Role,
		Object: object,
		Err:    n.counted(err),
	})
}

func (n *Node) dropClaim(e cyclam.ReleaseClaim) {
	err := n.Platform.Delete(context.WithoutCancel(n.ctx), cyclam.Key{
		Kind: cyclam.KindClaim,
		Name: e.Name,
	}, e.Revision)
	if n.counted(err) != nil {
		n.Log.Warn("claim-not-dropped", "claim", e.Name, "error", err)
	}
}

func (n *Node) readVersion() {
	head, _, err := n.head()
	n.dispatch(cyclam.VersionRead{
		Stamp:   stamp(),
		Version: head.Version,
		Err:     err,
	})
}

func (n *Node) readHead(e cyclam.ReadHead) {
	n.chunks.forget()
	event := cyclam.HeadRead{}
	event.Head, event.Revision, event.Err = n.head()
	if event.Err == nil && event.Head.Version > e.Held {
		event.Snapshot, event.Err = n.snapshot(event.Head)
	}
	event.Stamp = stamp()
	n.dispatch(event)
}

func (n *Node) head() (cyclam.Head, uint64, error) {
	object, err := n.Platform.Get(n.ctx, headKey)
	if n.counted(err) != nil {
		return cyclam.Head{}, 0, err
	}
	var head cyclam.Head
	err = json.Unmarshal(object.Spec, &head)
	return head, object.Revision, errors.Wrap(err, "decode head")
}

var headKey = cyclam.Key{
	Kind: cyclam.KindHead,
	Name: cyclam.HeadName,
}

func (n *Node) snapshot(head cyclam.Head) (cyclam.Snapshot, error) {
	var chunks []cyclam.Object
	for _, name := range head.Chunks {
		object, err := n.Platform.Get(n.ctx, cyclam.Key{
			Kind: cyclam.KindChunk,
			Name: name,
		})
		if n.counted(err) != nil {
			return cyclam.Snapshot{}, errors.Wrap(err, "read chunk")
		}
		chunks = append(chunks, object)
	}
	return conf.Join(head, chunks)
}

// writeVersion writes the chunks that are not there yet, then the head. Until
// the head is written nothing has changed for anybody.
func (n *Node) writeVersion(e cyclam.WriteVersion) {
	revision, err := n.putVersion(e)
	n.dispatch(cyclam.VersionWritten{
		Stamp:    stamp(),
		Token:    e.Token,
		Version:  e.Snapshot.Version,
		Revision: revision,
		Err:      err,
	})
}

func (n *Node) putVersion(e cyclam.WriteVersion) (uint64, error) {
	chunks := n.chunks.cut(e)
	for _, chunk := range chunks {
		if err := n.putChunk(chunk); err != nil {
			return 0, err
		}
	}
	spec, err := json.Marshal(conf.NewHead(e.Snapshot, e.Writer, chunks))
	if err != nil {
		return 0, errors.Wrap(err, "encode head")
	}
	object, err := n.Platform.Put(n.ctx, cyclam.Object{
		Kind:     cyclam.KindHead,
		Name:     cyclam.HeadName,
		Revision: e.Revision,
		Spec:     spec,
	})
	if n.counted(err) != nil {
		return 0, err
	}
	n.dropOldChunks(chunks)
	return object.Revision, nil
}

// putChunk writes a chunk unless this process has done so as the present root.
// A chunk that is there already is written over, so that its revision moves and
// a former root that was paused can't delete it any more.
func (n *Node) putChunk(chunk cyclam.Object) error {
	if n.chunks.has(chunk.Name) {
		return nil
	}
	stored, err := n.Platform.Put(n.ctx, chunk)
	if errors.Is(n.counted(err), cyclam.ErrConflict) {
		var present cyclam.Object
		present, err = n.Platform.Get(n.ctx, chunk.Key())
		if n.counted(err) != nil {
			return err
		}
		chunk.Revision = present.Revision
		stored, err = n.Platform.Put(n.ctx, chunk)
		err = n.counted(err)
	}
	if err != nil {
		return err
	}
	n.chunks.add(chunk.Name, stored.Revision)
	return nil
}

// dropOldChunks deletes what neither this head nor the one before it names.
func (n *Node) dropOldChunks(chunks []cyclam.Object) {
	for name, revision := range n.chunks.outdated(chunks) {
		key := cyclam.Key{
			Kind: cyclam.KindChunk,
			Name: name,
		}
		_ = n.counted(n.Platform.Delete(n.ctx, key, revision))
	}
}

func (n *Node) listObjects() {
	list, err := n.Platform.List(n.ctx, append(cyclam.OperatorKinds(), cyclam.KindStatus)...)
	n.dispatch(cyclam.ObjectsListed{
		Stamp: stamp(),
		List:  list,
		Err:   n.counted(err),
	})
}

func (n *Node) watchObjects(e cyclam.WatchObjects) {
	n.meters.watches.Inc(1)
	changes, err := n.Platform.Watch(n.ctx, e.From, watchWait, cyclam.OperatorKinds()...)
	n.meters.watches.Dec(1)
	n.dispatch(cyclam.ObjectsChanged{
		Stamp:   stamp(),
		From:    e.From,
		Changes: changes,
		Err:     n.counted(err),
	})
}
