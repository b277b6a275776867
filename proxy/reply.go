package proxy

import (
	"context"
	"io"

	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
)

// replyReader reads the replies to an attempt. Recv returns io.EOF at their end.
type replyReader interface {
	Recv() (*wire.Replies, error)
}

// linkReader reads replies from another node.
type linkReader struct {
	stream  grpc.BidiStreamingClient[wire.Offer, wire.Replies]
	onFirst func()
}

// Recv returns the next replies.
func (r *linkReader) Recv() (*wire.Replies, error) {
	reply, err := r.stream.Recv()
	if err == nil {
		if r.onFirst != nil {
			r.onFirst()
			r.onFirst = nil
		}
	}
	return reply, err
}

// jobReader reads replies of a job that runs on this node.
type jobReader struct {
	ctx    context.Context
	job    *job
	cursor *jobCursor
}

// Recv returns the next replies.
func (r *jobReader) Recv() (*wire.Replies, error) {
	ready, err := r.job.next(r.ctx, r.cursor)
	if err == nil && len(ready) == 0 {
		return nil, io.EOF
	}
	return &wire.Replies{
		Replies: ready,
	}, err
}

// singleReply is a replyReader of one reply.
type singleReply struct {
	reply *wire.Reply
}

// Recv returns the reply.
func (o *singleReply) Recv() (*wire.Replies, error) {
	return &wire.Replies{
		Replies: []*wire.Reply{o.reply},
	}, nil
}

// answerRest streams the rest of a large answer as it arrives.
type answerRest struct {
	source replyReader
	finish func()
	// keepAnswer is called once the rest has been read, so that the attempt is not
	// revoked when its context ends.
	keepAnswer func() bool
}

// copyTo writes the rest of the answer to w. An error means that the answer is
// truncated.
func (r *answerRest) copyTo(w io.Writer) error {
	defer r.finish()
	for {
		batch, err := r.source.Recv()
		if err != nil {
			return err
		}
		for _, reply := range batch.Replies {
			switch k := reply.Kind.(type) {
			case *wire.Reply_Chunk:
				if _, err := w.Write(k.Chunk); err != nil {
					return err
				}
			case *wire.Reply_End:
				r.keepAnswer()
				if k.End.Reason != "" {
					return errors.New(k.End.Reason)
				}
				return nil
			}
		}
	}
}
