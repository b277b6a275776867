package quota

import (
	"slices"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// Report is what an instance reports to a relay.
type Report struct {
	// Sequence increases with each report of one process. A report that is repeated with the
	// same number is not counted again.
	Sequence uint64
	// Covers is the number of instances whose requests the sender reports if it is a relay;
	// zero if it is not.
	Covers int
	Uses   map[cyclam.TeamName]Use
	// Balances holds what the sender knows: of all teams, for a relay that has just started, or,
	// if the sender is a relay, of the teams of the report.
	Balances map[cyclam.TeamName]Balance
}

// Reply is a relay's reply to a report.
type Reply struct {
	// Coverage is the fraction of the instances that the relay hears of.
	Coverage float64
	// Fresh is set if the relay has just started: it needs the sender's balances.
	Fresh bool
	// Balances holds the teams of the report and those whose balance is low, or all if the
	// reporting process was not known. Relays tell each other nothing else, and a relay that
	// has just started tells nothing.
	Balances map[cyclam.TeamName]Balance
}

// hearingSpan is how long a report counts towards the coverage.
const hearingSpan = time.Second

// sender is what a ledger knows of an instance that reports to it.
type sender struct {
	sequence uint64
	covers   int
	at       time.Time
}

// outbox holds what is to be reported to one relay.
type outbox struct {
	// pending is what has come since the report in flight, which holds flight.
	pending  map[cyclam.TeamName]Use
	flight   map[cyclam.TeamName]Use
	sequence uint64
	// fresh is set if the relay has just started.
	fresh bool
	// droppedAt is when the relay was replaced by another one; zero while it is reported to.
	droppedAt time.Time
}

// SetRelays sets the instances to which this one reports: the relay of its data centre, or, if
// it is that relay itself, those of the other data centres. The fleet is the number of all
// instances, or zero if they are not known. What was not reported to a former relay goes to the new one.
func (l *Ledger) SetRelays(now time.Time, relay bool, to []cyclam.InstanceName, fleet int) {
	l.fleet = fleet
	if !l.warm {
		for team, account := range l.accounts {
			l.accounts[team] = account.forgotten(l.equalPart())
		}
	}
	l.relay = relay
	next := map[cyclam.InstanceName]*outbox{}
	var added []*outbox
	for _, name := range to {
		o, ok := l.outboxes[name]
		if !ok {
			o = &outbox{
				pending: map[cyclam.TeamName]Use{},
			}
			added = append(added, o)
		}
		o.droppedAt = time.Time{}
		next[name] = o
	}
	for name, o := range l.outboxes {
		if _, ok := next[name]; ok {
			continue
		}
		if o.droppedAt.IsZero() {
			o.droppedAt = now
			if !relay {
				for _, a := range added {
					a.take(o)
				}
			}
		}
		// What a relay reports is not passed on to other relays, so one that is reported to
		// again has to get what came meanwhile.
		if relay && now.Sub(o.droppedAt) < outboxKept {
			next[name] = o
		}
	}
	l.outboxes = next
	l.updateCoverage(now)
}

// outboxKept is how long a relay keeps what it would report to another one that is not in
// reach. It is longer than an instance that has not replied is avoided.
const outboxKept = 6 * time.Second

// take moves what was not sent by another outbox into o. What was sent and not replied to has
// most likely been counted.
func (o *outbox) take(from *outbox) {
	for team, use := range from.pending {
		o.pending[team] = o.pending[team].plus(use)
	}
}

// Relays returns the instances to which this one reports, in order.
func (l *Ledger) Relays() []cyclam.InstanceName {
	var names []cyclam.InstanceName
	for name, o := range l.outboxes {
		if o.droppedAt.IsZero() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Report returns the next report to a relay; false means that it is none of those to which
// this instance reports. A report that was not replied to is repeated.
func (l *Ledger) Report(now time.Time, to cyclam.InstanceName) (Report, bool) {
	o, ok := l.outboxes[to]
	if !ok || !o.droppedAt.IsZero() {
		return Report{}, false
	}
	if o.flight == nil {
		o.flight, o.pending = o.pending, map[cyclam.TeamName]Use{}
		l.sequence++
		o.sequence = l.sequence
	}
	report := Report{
		Sequence: o.sequence,
		Uses:     o.flight,
	}
	if l.relay {
		report.Covers = l.covered(now, false)
	}
	if !l.warm || !l.relay && !o.fresh {
		return report, true
	}
	report.Balances = map[cyclam.TeamName]Balance{}
	for team, account := range l.accounts {
		if _, used := o.flight[team]; used || o.fresh {
			report.Balances[team] = account.told(now)
		}
	}
	return report, true
}

// Receive counts a report and returns the reply.
func (l *Ledger) Receive(now time.Time, from cyclam.Identity, report Report) Reply {
	last, known := l.senders[from]
	if l.senders == nil {
		l.senders = map[cyclam.Identity]sender{}
	}
	for id := range l.senders {
		if id.Instance == from.Instance && id != from || now.Sub(l.senders[id].at) > senderKept {
			delete(l.senders, id)
		}
	}
	l.senders[from] = sender{
		sequence: max(last.sequence, report.Sequence),
		covers:   report.Covers,
		at:       now,
	}
	if !known || report.Sequence > last.sequence {
		for team, use := range report.Uses {
			account, ok := l.accounts[team]
			if !ok {
				continue
			}
			l.accounts[team] = account.WithUse(now, use)
			// What a relay reports has been reported to all relays.
			if report.Covers == 0 {
				l.post(team, use)
			}
		}
	}
	switch {
	case !l.warm:
		l.adopt(now, discounted(report.Balances), nil)
	case l.relay && report.Covers > 0:
		l.approach(now, report.Balances)
	}
	l.updateCoverage(now)
	return l.reply(now, report, !known)
}

// discounted returns the balances that an instance other than a relay knows, less what others
// may have admitted since it was told.
func discounted(balances map[cyclam.TeamName]Balance) map[cyclam.TeamName]Balance {
	lower := map[cyclam.TeamName]Balance{}
	for team, balance := range balances {
		balance.Amount -= balance.ArrivalRate * reportDelay.Seconds() / 2
		lower[team] = balance
	}
	return lower
}

// adopt replaces what is known of teams by balances that another instance has told, less what
// this one has admitted since.
func (l *Ledger) adopt(now time.Time, balances map[cyclam.TeamName]Balance, since map[cyclam.TeamName]Use) {
	if len(balances) == 0 {
		return
	}
	l.warmUp()
	for team, balance := range balances {
		if account, ok := l.accounts[team]; ok && balance.isFinite() {
			l.accounts[team] = account.WithBalance(now, balance, since[team].Admitted)
		}
	}
}

// The parts of the difference to another relay's balance that a relay takes over with each of its
// reports, if that is lower and if it is higher. What relays have not heard of is always use, so
// that the lower balance is nearer to the truth.
const (
	lowerShare  = 0.2
	higherShare = 0.05
)

// approach moves what this relay knows of teams towards the balances of another relay. Reports that
// are lost with a relay leave them apart, and they would stay so while a team uses all of its quota.
func (l *Ledger) approach(now time.Time, balances map[cyclam.TeamName]Balance) {
	for team, balance := range balances {
		account, ok := l.accounts[team]
		if !ok || !balance.isFinite() {
			continue
		}
		share, off := lowerShare, balance.Amount-account.Balance(now)
		if off > 0 {
			share = higherShare
		}
		l.accounts[team] = account.WithCorrection(now, share*off)
	}
}

// senderKept is how long the sequence of a sender is remembered.
const senderKept = time.Minute

// reply returns the balances that concern the sender; all of them if it is a new process.
func (l *Ledger) reply(now time.Time, report Report, all bool) Reply {
	reply := Reply{
		Coverage: l.coverage,
		Fresh:    !l.warm,
		Balances: map[cyclam.TeamName]Balance{},
	}
	if !l.warm || report.Covers > 0 && !all {
		return reply
	}
	for team, account := range l.accounts {
		balance := account.Balance(now)
		if _, reported := report.Uses[team]; all || reported || balance < account.reserve(now) {
			reply.Balances[team] = account.told(now)
		}
	}
	return reply
}

// Replied applies a relay's reply to the report in flight.
func (l *Ledger) Replied(now time.Time, from cyclam.InstanceName, reply Reply) {
	o, ok := l.outboxes[from]
	if !ok {
		return
	}
	o.flight, o.fresh = nil, reply.Fresh
	if !l.relay {
		l.coverageAt = now
		l.setCoverage(now, reply.Coverage)
	} else if l.warm {
		return
	}
	l.adopt(now, reply.Balances, o.pending)
}

// fullCoverage is the fraction of the instances that counts as all of them: some are about to
// start or stop.
const fullCoverage = 0.9

func (l *Ledger) updateCoverage(now time.Time) {
	switch {
	case l.relay:
		l.setCoverage(now, min(1, l.equalPart()*float64(l.covered(now, true))/fullCoverage))
	case now.Sub(l.coverageAt) > hearingSpan:
		l.setCoverage(now, l.equalPart())
	}
}

// equalPart returns this instance's part of a quota that all use equally; zero while the other
// instances are not known.
func (l *Ledger) equalPart() float64 {
	if l.fleet <= 0 {
		return 0
	}
	return 1 / float64(l.fleet)
}

// covered returns the number of instances that are heard of, with those that other relays
// report or without.
func (l *Ledger) covered(now time.Time, relays bool) int {
	count := 1
	for _, s := range l.senders {
		switch {
		case now.Sub(s.at) > hearingSpan:
		case s.covers == 0:
			count++
		case relays:
			count += s.covers
		}
	}
	return count
}

// Coverage returns the fraction of the instances that is heard of.
func (l *Ledger) Coverage() float64 { return l.coverage }

func (l *Ledger) setCoverage(now time.Time, fraction float64) {
	if fraction == l.coverage || !(fraction >= 0 && fraction <= 1) {
		return
	}
	l.coverage = fraction
	for team, account := range l.accounts {
		l.accounts[team] = account.WithCoverage(now, fraction)
	}
}
