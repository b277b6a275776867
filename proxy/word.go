package proxy

import (
	"context"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/intent"
	"github.com/cyclamensaddle/cyclam/sched"
	"github.com/cyclamensaddle/cyclam/wire"
)

// wordOf returns what an offer tells of its sender's wish.
func (n *Node) wordOf(offer *wire.Offer, now, sentAt time.Time) intent.Word {
	if !offer.AnswersQuestions {
		return intent.Word{}
	}
	return intent.Received(now, sentAt)
}

// noteWord applies the sender's answer to a question.
func (n *Node) noteWord(attempt cyclam.AttemptID, c *wire.Confirmation) {
	wantedAt := n.timeOf(c.AskedUs)
	if sentAt := n.timeOf(c.SentUs); sentAt.After(wantedAt) && !sentAt.After(time.Now()) {
		wantedAt = sentAt
	}
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	if j, ok := n.jobs[attempt]; ok {
		n.noteWordLocked(j, wantedAt, microseconds(c.RemainingUs))
	}
}

// noteWordLocked records that the sender of an attempt wanted it at a time and would then
// wait for remaining. The caller holds schedMu.
func (n *Node) noteWordLocked(j *job, wantedAt time.Time, remaining time.Duration) {
	if wantedAt.IsZero() || !n.scheduler.Queued(j.attempt) {
		j.noteWord(time.Now(), wantedAt)
		return
	}
	now := time.Now()
	if deadline := intent.Deadline(now, wantedAt, remaining); deadline.Before(j.deadline) {
		j.deadline = deadline
	}
	n.decideLocked(func(s sched.State) (sched.State, []sched.Decision) {
		return s.Confirm(now, j.attempt, wantedAt, j.deadline)
	})
}

// confirm answers a question of the attempt's node. It is not sent once ctx has ended,
// because the attempt is not wanted any more.
func (a *attempt) confirm(ctx context.Context, client wire.DoorClient, q *wire.Question) {
	now := time.Now()
	_, err := client.Confirm(ctx, &wire.Confirmation{
		Attempt:     a.offer.Attempt,
		Instance:    a.offer.Instance,
		Incarnation: a.offer.Incarnation,
		AskedUs:     q.AskedUs,
		RemainingUs: a.deadline.Sub(now).Microseconds(),
		SentUs:      a.node.clockOf(a.target.Endpoint.Identity, now),
	})
	if err != nil {
		a.node.Log.Debug("confirm-failed", "id", string(a.offer.Id), "peer", a.target.Endpoint.Instance, "error", err)
	}
}
