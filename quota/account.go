package quota

import (
	"math"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// Account is what one instance knows of one team's quota; it is immutable.
type Account struct {
	Quota cyclam.Quota

	bucket
	// balance is the number of requests that all instances may still admit, as of the time
	// at. It is negative if they have admitted too many.
	balance float64
	at      time.Time
	// coverage is the fraction of the instances whose requests are known. An instance that
	// knows of fewer uses a smaller part of the rate.
	coverage float64
	// fresh is set while the instance can't know how much arrives at the others: share is then
	// its equal part of the rate.
	fresh bool
	share float64
	// own and fleet are the rates at which requests arrive here and at all instances.
	own   meter
	fleet meter
	// paced is the balance of a bucket that is filled with this instance's part of the rate.
	// It is used while the balance is low.
	paced   float64
	pacedAt time.Time
}

// reportDelay is the time within which the instances are expected to hear of each other's
// requests.
const reportDelay = 500 * time.Millisecond

// startShare is the fraction of the tolerance's slack with which an account begins.
const startShare = 0.25

// forgotten returns the account of a process that has just started and knows nothing of what
// its former process and others have admitted. It uses a part of the rate.
func (a Account) forgotten(share float64) Account {
	a.fresh, a.share = true, share
	return a
}

// warmed returns the account once the instance has heard of the others.
func (a Account) warmed() Account {
	a.fresh = false
	return a
}

// newAccount returns the account of a team whose former balance is not known. It does not
// begin with the burst, which former processes may have used up.
func newAccount(t Tuning, q cyclam.Quota, now time.Time) Account {
	return Account{
		Quota:   q,
		bucket:  t.bucketOf(q),
		balance: startShare * t.Slack,
		at:      now,
		pacedAt: now,
	}
}

// WithQuota returns the account after the team's quota has changed.
func (a Account) WithQuota(t Tuning, q cyclam.Quota, now time.Time) Account {
	a = a.refilled(now)
	a.Quota, a.bucket = q, t.bucketOf(q)
	a.balance = min(a.balance, a.depth)
	return a
}

// WithCoverage returns the account after it has become known which fraction of the instances
// is heard of.
func (a Account) WithCoverage(now time.Time, fraction float64) Account {
	a = a.refilled(now)
	if fraction < a.coverage {
		// Each part of a divided fleet keeps its part of the balance.
		a.balance = min(a.balance, fraction*a.depth)
	}
	a.coverage = fraction
	return a
}

// WithUse returns the account after other instances have reported requests.
func (a Account) WithUse(now time.Time, u Use) Account {
	a = a.refilled(now)
	a.balance = min(a.depth, a.balance-float64(u.Admitted))
	a.fleet = a.fleet.with(now, float64(u.Arrived))
	return a
}

// WithBalance returns the account after the relay has told the balance, of which this instance
// has used some since, and the rate of arrivals.
func (a Account) WithBalance(now time.Time, b Balance, used int64) Account {
	a = a.refilled(now)
	a.balance = min(a.depth, b.Amount-float64(used))
	a.fleet = meter{
		rate: b.ArrivalRate,
		at:   now,
	}
	return a
}

// WithCorrection returns the account after it has become known that its balance is off by an
// amount.
func (a Account) WithCorrection(now time.Time, amount float64) Account {
	a = a.refilled(now)
	a.balance = min(a.depth, a.balance+amount)
	return a
}

// WithRefund returns the account after a request that was admitted here has not run.
func (a Account) WithRefund(now time.Time) Account {
	a = a.refilled(now)
	a.balance = min(a.depth, a.balance+1)
	return a
}

// Admit decides on one request that arrives here. If it is not admitted, it may be sent again
// after the returned time.
func (a Account) Admit(now time.Time) (after Account, admitted bool, retryAfter time.Duration) {
	a = a.refilled(now)
	a.own, a.fleet = a.own.with(now, 1), a.fleet.with(now, 1)
	if !a.fresh && a.usable() >= a.reserve(now) {
		a.balance--
		return a, true, 0
	}
	rate := a.pacedRate(now)
	a.paced = min(max(1, rate*reportDelay.Seconds()), a.paced+rate*now.Sub(a.pacedAt).Seconds())
	a.pacedAt = now
	if a.paced >= 1 && a.usable() > 0 {
		a.paced--
		a.balance--
		return a, true, 0
	}
	return a, false, waitFor(1-a.paced, rate)
}

// told returns what other instances are told.
func (a Account) told(now time.Time) Balance {
	return Balance{
		Amount:      a.Balance(now),
		ArrivalRate: a.fleet.perSecond(now),
	}
}

// Balance returns the number of requests that all instances may still admit.
func (a Account) Balance(now time.Time) float64 { return a.refilled(now).balance }

// usable returns the part of the balance that this instance may draw on: other parts of a
// divided fleet draw on the rest.
func (a Account) usable() float64 { return min(a.balance, a.coverage*a.depth) }

// reserve returns the balance below which the instance paces itself: what may arrive at all
// instances before they have heard of each other's requests.
func (a Account) reserve(now time.Time) float64 {
	return min(max(1, a.fleet.perSecond(now)*reportDelay.Seconds()), max(1, a.depth))
}

// pacedRate returns the rate at which this instance admits requests while the balance is low.
// The rates of all instances add up to the quota's rate if the balance is at half of the
// reserve, to less below that and to more above, which brings the balance back to it.
func (a Account) pacedRate(now time.Time) float64 {
	share := 1.0
	if a.fresh {
		share = a.share
	} else if fleet := a.fleet.perSecond(now); fleet > 0 {
		share = min(1, a.own.perSecond(now)/fleet)
	}
	correction := max(0, min(2, 2*a.usable()/a.reserve(now)))
	return a.rate * a.coverage * share * correction
}

func (a Account) refilled(now time.Time) Account {
	if now.After(a.at) {
		a.balance = min(a.depth, a.balance+a.rate*a.coverage*now.Sub(a.at).Seconds())
		a.at = now
	}
	return a
}

// Limits of the time after which a refused caller is to return.
const (
	minWait = 200 * time.Millisecond
	maxWait = 2 * time.Second
)

// waitFor returns the time in which a bucket gets an amount at a rate.
func waitFor(amount, rate float64) time.Duration {
	if rate <= 0 {
		return maxWait
	}
	return min(maxWait, max(minWait, time.Duration(amount/rate*float64(time.Second))))
}

func decay(span time.Duration) float64 {
	return math.Exp(-max(0, span).Seconds() / meterSpan.Seconds())
}
