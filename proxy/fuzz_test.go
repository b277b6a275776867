package proxy

import (
	"context"
	"io"
	"testing"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/codec"
	"github.com/cyclamensaddle/cyclam/sched"
	"github.com/cyclamensaddle/cyclam/wire"
	"google.golang.org/protobuf/proto"
)

// messageReader is a replyReader of given messages.
type messageReader struct {
	messages []*wire.Replies
}

// Recv returns the next message.
func (r *messageReader) Recv() (*wire.Replies, error) {
	if len(r.messages) == 0 {
		return nil, io.EOF
	}
	next := r.messages[0]
	r.messages = r.messages[1:]
	return next, nil
}

// No message of another node may end the process, whatever it holds.
func FuzzPeerMessages(f *testing.F) {
	s := newTestCluster(f)
	n := s.node("door", nil, nil)
	n.Settings.Self.Service = "stock"
	n.prepare()
	n.admitUpstream("u1")
	n.scheduler = sched.New(sched.Tuning{
		Slots: 2,
	}).WithUpstream(2)
	n.fleet.upsert(cyclam.Endpoint{
		Identity: cyclam.Identity{
			Instance:    "front",
			Incarnation: 7,
		},
		State:   cyclam.EndpointReady,
		Service: "stock",
		Control: "127.0.0.1:1",
	}, time.Now())
	sent := cyclam.AttemptID{
		Sender: cyclam.Identity{
			Instance:    "front",
			Incarnation: 7,
		},
		Number: 1,
	}
	load := &wire.Load{
		Limit:       2,
		Incarnation: 7,
		Notice: &wire.UpstreamNotice{
			Upstream:  []byte("u1"),
			Limited:   true,
			RateLimit: 3,
			Leaving:   true,
		},
	}
	for _, seed := range []proto.Message{
		&wire.Knowledge{
			Self:    codec.EncodeEndpoint(n.Settings.Self),
			Version: 3,
			Config:  []byte{1, 2, 3},
			Loads: []*wire.NodeLoad{
				{
					Instance: "front",
					Load:     load,
					AgeUs:    5,
				},
			},
			Notice: load.Notice,
		},
		&wire.Offer{
			Attempt:     codec.EncodeAttempt(sent),
			Instance:    string(n.self.Instance),
			Incarnation: uint64(n.self.Incarnation),
			Service:     "stock",
			Method:      "GET",
			Target:      []byte("/x"),
			RemainingUs: 1000,
			Notice:      load.Notice,
		},
		&wire.Replies{
			Load: load,
			Replies: []*wire.Reply{
				{Kind: &wire.Reply_Head{Head: &wire.Head{Status: 200, Length: 4}}},
				{Kind: &wire.Reply_Chunk{Chunk: []byte("good")}},
				{Kind: &wire.Reply_End{End: &wire.End{}}},
			},
		},
	} {
		data, err := proto.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, true)
	}
	f.Fuzz(func(_ *testing.T, data []byte, addressed bool) {
		knowledge, offer, replies := &wire.Knowledge{}, &wire.Offer{}, &wire.Replies{}
		if proto.Unmarshal(data, knowledge) == nil {
			n.applyKnowledge(knowledge)
			_ = n.knowledge("front", configIDOf(knowledge), knowledge.Full)
		}
		if proto.Unmarshal(data, offer) == nil {
			if addressed {
				offer.Instance, offer.Incarnation, offer.Service = string(n.self.Instance), uint64(n.self.Incarnation), "stock"
			}
			if j, _ := n.admit(offer); j != nil {
				j.cancel(errEnded)
			}
		}
		if proto.Unmarshal(data, replies) == nil {
			a := &attempt{
				node:   n,
				target: n.fleet.members["front"].view,
				offer:  &wire.Offer{},
				held:   &heldAnswers{},
			}
			_, _, _ = a.collect(context.Background(), &messageReader{
				messages: []*wire.Replies{replies},
			}, nil)
		}
		n.expireJobs(time.Now().Add(time.Minute))
	})
}
