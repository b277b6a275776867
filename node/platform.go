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

// watchTimeout is the maximum time that one watch call waits for a change.
const watchTimeout = 20 * time.Second

// performPlatform performs the effects that call the platform, each in a
// goroutine of its own. Status writes are queued instead.
func (n *Node) performPlatform(effect cyclam.Effect) {
	switch e := effect.(type) {
	case cyclam.ReadClaim:
		go n.readClaim(e)
	case cyclam.WriteClaim:
		go n.writeClaim(e)
	case cyclam.ReleaseClaim:
		go n.releaseClaim(e)
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
		n.statuses.enqueue(e)
	default:
		n.Log.Error("effect-unknown", "effect", hclog.Fmt("%T", effect))
	}
}

// countPlatformCall counts a call of the platform, and its failure if the
// platform was unavailable. It returns err unchanged.
func (n *Node) countPlatformCall(err error) error {
	n.meters.platformCalls.Inc(1)
	if errors.Is(err, cyclam.ErrUnavailable) {
		n.meters.platformCallsFailed.Inc(1)
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
		Err:    n.countPlatformCall(err),
	})
}

func (n *Node) writeClaim(e cyclam.WriteClaim) {
	object, err := n.Platform.Put(n.ctx, e.Object)
	n.dispatch(cyclam.ClaimWritten{
		Stamp:  stamp(),
		Role:   e.Role,
		Object: object,
		Err:    n.countPlatformCall(err),
	})
}

func (n *Node) releaseClaim(e cyclam.ReleaseClaim) {
	err := n.Platform.Delete(context.WithoutCancel(n.ctx), cyclam.Key{
		Kind: cyclam.KindClaim,
		Name: e.Name,
	}, cyclam.AtRevision(e.Revision))
	if n.countPlatformCall(err) != nil {
		n.Log.Warn("claim-not-dropped", "claim", e.Name, "error", err)
	}
}

func (n *Node) readVersion() {
	head, _, err := n.getHead()
	n.dispatch(cyclam.VersionRead{
		Stamp:   stamp(),
		Version: head.Version,
		Err:     err,
	})
}

func (n *Node) readHead(e cyclam.ReadHead) {
	n.chunks.reset()
	event := cyclam.HeadRead{}
	event.Head, event.Revision, event.Err = n.getHead()
	if event.Err == nil && event.Head.Version > e.Held {
		event.Snapshot, event.Err = n.getSnapshot(event.Head)
	}
	event.Stamp = stamp()
	n.dispatch(event)
}

func (n *Node) getHead() (cyclam.Head, uint64, error) {
	object, err := n.Platform.Get(n.ctx, headKey)
	if n.countPlatformCall(err) != nil {
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

func (n *Node) getSnapshot(head cyclam.Head) (cyclam.Snapshot, error) {
	var chunks []cyclam.Object
	for _, name := range head.Chunks {
		object, err := n.Platform.Get(n.ctx, cyclam.Key{
			Kind: cyclam.KindChunk,
			Name: name,
		})
		if n.countPlatformCall(err) != nil {
			return cyclam.Snapshot{}, errors.Wrap(err, "read chunk")
		}
		chunks = append(chunks, object)
	}
	return conf.Join(head, chunks)
}

// writeVersion writes the missing chunks of a version and then its head. The
// version takes effect only with the head, so a crash before it leaves the
// previous version in force.
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
	chunks := n.chunks.split(e)
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
		Position: cyclam.AtRevision(e.Revision),
		Spec:     spec,
	})
	if n.countPlatformCall(err) != nil {
		return 0, err
	}
	n.deleteObsoleteChunks(chunks)
	return object.Revision, nil
}

// putChunk writes a chunk, unless this process has already done so since it
// became the root. An existing chunk is overwritten to change its revision: a
// former root that resumes after a pause then fails to delete it.
func (n *Node) putChunk(chunk cyclam.Object) error {
	if n.chunks.has(chunk.Name) {
		return nil
	}
	stored, err := n.Platform.Put(n.ctx, chunk)
	if errors.Is(n.countPlatformCall(err), cyclam.ErrConflict) {
		var existing cyclam.Object
		existing, err = n.Platform.Get(n.ctx, chunk.Key())
		if n.countPlatformCall(err) != nil {
			return err
		}
		chunk.Revision = existing.Revision
		stored, err = n.Platform.Put(n.ctx, chunk)
		err = n.countPlatformCall(err)
	}
	if err != nil {
		return err
	}
	n.chunks.add(chunk.Name, stored.Revision)
	return nil
}

// deleteObsoleteChunks deletes the chunks that neither this head nor the one
// before it refers to. Errors are only counted.
func (n *Node) deleteObsoleteChunks(chunks []cyclam.Object) {
	for name, revision := range n.chunks.setHead(chunks) {
		key := cyclam.Key{
			Kind: cyclam.KindChunk,
			Name: name,
		}
		_ = n.countPlatformCall(n.Platform.Delete(n.ctx, key, cyclam.AtRevision(revision)))
	}
}

func (n *Node) listObjects() {
	list, err := n.Platform.List(n.ctx, append(cyclam.OperatorKinds(), cyclam.KindStatus)...)
	n.dispatch(cyclam.ObjectsListed{
		Stamp: stamp(),
		List:  list,
		Err:   n.countPlatformCall(err),
	})
}

func (n *Node) watchObjects(e cyclam.WatchObjects) {
	n.meters.watchesWaiting.Inc(1)
	changes, err := n.Platform.Watch(n.ctx, cyclam.AtRevision(e.From), watchTimeout, cyclam.OperatorKinds()...)
	n.meters.watchesWaiting.Dec(1)
	n.dispatch(cyclam.ObjectsChanged{
		Stamp:   stamp(),
		From:    e.From,
		Changes: changes,
		Err:     n.countPlatformCall(err),
	})
}
