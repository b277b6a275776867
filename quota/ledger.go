package quota

import (
	"math"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// Use counts requests of a team since the last report. Admitted is negative if more of the
// requests that were reported before have not run.
type Use struct {
	Admitted int64
	Arrived  int64
}

func (u Use) plus(o Use) Use {
	return Use{
		Admitted: u.Admitted + o.Admitted,
		Arrived:  u.Arrived + o.Arrived,
	}
}

// Balance is what a relay tells of a team.
type Balance struct {
	// Amount is the number of requests that all instances may still admit.
	Amount float64
	// ArrivalRate is the number of requests per second that arrive at all instances.
	ArrivalRate float64
}

// isFinite reports whether a balance can be counted with: one infinite sum, or one that is no
// number, would stay for good.
func (b Balance) isFinite() bool {
	sum := math.Abs(b.Amount) + math.Abs(b.ArrivalRate)
	return !math.IsInf(sum, 1) && !math.IsNaN(sum)
}

// Ledger holds the accounts of all teams at one instance. It is not safe for concurrent use.
type Ledger struct {
	Tuning Tuning
	// StartedAt is when the process started.
	StartedAt time.Time
	// Self is the instance of the ledger.
	Self cyclam.Identity

	accounts map[cyclam.TeamName]Account
	outboxes map[cyclam.InstanceName]*outbox
	senders  map[cyclam.Identity]sender
	sequence uint64
	// relay is set while the instance is the relay of its data centre.
	relay bool
	// coverage is the fraction of the instances that is heard of, as of coverageAt if a
	// relay has told it.
	coverage   float64
	coverageAt time.Time
	fleet      int
	// warm is set once the instance has heard of the requests at the others.
	warm bool
}

// SetTeams applies the quotas of a configuration.
func (l *Ledger) SetTeams(now time.Time, teams []cyclam.Team) {
	accounts := map[cyclam.TeamName]Account{}
	for _, team := range teams {
		if !team.Quota.Limited() {
			continue
		}
		account, ok := l.accounts[team.Name]
		switch {
		case !ok:
			account = newAccount(l.Tuning, team.Quota, now).WithCoverage(now, l.coverage)
			if !l.warm {
				account = account.forgotten(l.equalPart())
			}
		case account.Quota != team.Quota:
			account = account.WithQuota(l.Tuning, team.Quota, now)
		}
		accounts[team.Name] = account
	}
	l.accounts = accounts
}

// Limits reports whether any team has a quota.
func (l *Ledger) Limits() bool { return len(l.accounts) > 0 }

// Admit decides on one request of a team. If it is not admitted, it may be sent again after
// the returned time.
func (l *Ledger) Admit(now time.Time, team cyclam.TeamName) (bool, time.Duration) {
	account, ok := l.accounts[team]
	if !ok {
		return true, 0
	}
	account, admitted, retryAfter := account.Admit(now)
	l.accounts[team] = account
	use := Use{
		Arrived: 1,
	}
	if admitted {
		use.Admitted = 1
	}
	l.post(team, use)
	return admitted, retryAfter
}

// urgentShare is the fraction of the deepest possible balance that an instance admits before
// it reports at once.
const urgentShare = 0.04

// Urgent reports whether so many requests of a team have been admitted since the last report
// that the next one should not wait for its turn.
func (l *Ledger) Urgent(team cyclam.TeamName) bool {
	account, ok := l.accounts[team]
	if !ok {
		return false
	}
	for _, o := range l.outboxes {
		if o.flight == nil && o.droppedAt.IsZero() && float64(o.pending[team].Admitted) >= max(urgentCount, urgentShare*account.depth) {
			return true
		}
	}
	return false
}

// urgentCount is the least number of requests that makes a report urgent.
const urgentCount = 3

// Refund takes back the admission of a request that has not run and never will.
func (l *Ledger) Refund(now time.Time, team cyclam.TeamName) {
	account, ok := l.accounts[team]
	if !ok {
		return
	}
	l.accounts[team] = account.WithRefund(now)
	l.post(team, Use{
		Admitted: -1,
	})
}

// post adds a use to all reports.
func (l *Ledger) post(team cyclam.TeamName, use Use) {
	for _, o := range l.outboxes {
		o.pending[team] = o.pending[team].plus(use)
	}
}

// Tick updates what depends on the time: the coverage falls if no reports or replies arrive.
func (l *Ledger) Tick(now time.Time) {
	if now.Sub(l.StartedAt) > warmUpSpan {
		l.warmUp()
	}
	l.updateCoverage(now)
}

// warmUpSpan is the time from the start in which an instance hears of the requests at the
// others, even if all have started at the same time.
const warmUpSpan = 800 * time.Millisecond

func (l *Ledger) warmUp() {
	if l.warm {
		return
	}
	l.warm = true
	for team, account := range l.accounts {
		l.accounts[team] = account.warmed()
	}
}
