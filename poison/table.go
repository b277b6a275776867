package poison

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// Report is what one instance has seen of the requests with one fingerprint. All counts only
// rise, so that the highest ones are the latest.
type Report struct {
	Instance    cyclam.InstanceName
	Fingerprint Fingerprint
	// Crashes counts the processes of the instance's upstream that ended while they ran such
	// a request.
	Crashes uint32
	// Answered is the number of crashes that all instances together had reported when the
	// upstream last answered one: they were not its fault.
	Answered uint32
	// Bans counts the crashes of trials, in which a suspect runs while nothing else does.
	Bans uint32
}

// with returns the later of two reports of one instance.
func (r Report) with(other Report) Report {
	r.Crashes = max(r.Crashes, other.Crashes)
	r.Answered = max(r.Answered, other.Answered)
	r.Bans = max(r.Bans, other.Bans)
	return r
}

// Level says how a request is to be treated.
type Level int

// The levels.
const (
	// Allowed requests run like any other.
	Allowed Level = iota
	// Suspected requests run alone, one at a time.
	Suspected
	// Banned requests don't run.
	Banned
)

// String returns the name of the level in logs.
func (l Level) String() string {
	switch l {
	case Suspected:
		return "suspected"
	case Banned:
		return "banned"
	default:
		return "allowed"
	}
}

// Verdict is the level of a request, and how long a ban still holds.
type Verdict struct {
	Level     Level
	Remaining time.Duration
}

const (
	// suspectCrashes is the number of crashes since the last answer from which a request is
	// a suspect, banCrashes that from which it is banned if the last one was that of a trial.
	suspectCrashes = 2
	banCrashes     = 3
	// banTime is how long the first ban holds. Each further one holds twice as long as the
	// one before, up to maxBanTime. After a ban the request is a suspect again, so that one
	// trial tells whether the upstreams bear it now.
	banTime    = 10 * time.Minute
	maxBanTime = 4 * time.Hour
	// keptFor is how long a request is remembered after its last crash and ban.
	keptFor = 30 * time.Minute
	// maxRecords bounds the fingerprints that are remembered.
	maxRecords = 1024
)

// record is what is known of one fingerprint.
type record struct {
	reports map[cyclam.InstanceName]Report
	// total is the number of all crashes, crashes that since the last answer, bans that of
	// all bans.
	total   uint64
	crashes uint64
	bans    uint64
	// changedAt is when a count last rose, bannedAt when that of the bans did.
	changedAt time.Time
	bannedAt  time.Time
}

// sum returns the record with the sums of its reports.
func (r record) sum() record {
	answered := uint64(0)
	r.total, r.bans = 0, 0
	for _, report := range r.reports {
		r.total += uint64(report.Crashes)
		r.bans += uint64(report.Bans)
		answered = max(answered, uint64(report.Answered))
	}
	r.crashes = r.total - min(answered, r.total)
	return r
}

// banEnd returns when the last ban ends; zero if there was none.
func (r record) banEnd() time.Time {
	if r.bans == 0 {
		return time.Time{}
	}
	span := banTime
	for bans := r.bans; bans > 1 && span < maxBanTime; bans-- {
		span *= 2
	}
	return r.bannedAt.Add(min(span, maxBanTime))
}

// expiresAt returns until when the record is kept.
func (r record) expiresAt() time.Time {
	last := r.changedAt
	if end := r.banEnd(); end.After(last) {
		last = end
	}
	return last.Add(keptFor)
}

func (r record) verdict(now time.Time) Verdict {
	switch {
	case r.crashes < suspectCrashes:
		return Verdict{}
	case r.banEnd().After(now):
		return Verdict{
			Level:     Banned,
			Remaining: r.banEnd().Sub(now),
		}
	default:
		return Verdict{
			Level: Suspected,
		}
	}
}

// with returns the record with a report, and whether that was news.
func (r record) with(now time.Time, report Report) (record, bool) {
	known, ok := r.reports[report.Instance]
	merged := report
	if ok {
		merged = known.with(report)
	}
	if ok && merged == known {
		return r, false
	}
	if merged.Crashes > known.Crashes || merged.Bans > known.Bans {
		r.changedAt = now
	}
	if merged.Bans > known.Bans {
		r.bannedAt = now
	}
	r.reports = maps.Clone(r.reports)
	if r.reports == nil {
		r.reports = map[cyclam.InstanceName]Report{}
	}
	r.reports[report.Instance] = merged
	return r.sum(), true
}

// Table holds what is known of the requests that were lost with a process. The zero value is
// empty. It is immutable.
type Table struct {
	records map[Fingerprint]record
}

// Empty reports whether nothing is known of any request, so that none has to be identified.
func (t Table) Empty() bool { return len(t.records) == 0 }

// Verdict returns how a request is to be treated now.
func (t Table) Verdict(now time.Time, f Fingerprint) Verdict { return t.records[f].verdict(now) }

// Restricted returns the requests that are not allowed to run like others.
func (t Table) Restricted(now time.Time) map[Fingerprint]Verdict {
	restricted := map[Fingerprint]Verdict{}
	for f, r := range t.records {
		if v := r.verdict(now); v.Level != Allowed {
			restricted[f] = v
		}
	}
	return restricted
}

// WithCrash returns the table after a process of the instance's upstream has ended while it
// ran these requests, each named once. That proves nothing against any of them, not even
// against one that ran alone by chance: processes end for other reasons, too.
func (t Table) WithCrash(now time.Time, instance cyclam.InstanceName, running []Fingerprint) Table {
	var reports []Report
	for _, f := range running {
		reports = append(reports, t.crashed(instance, f))
	}
	next, _ := t.WithReports(now, reports...)
	return next
}

// WithTrialCrash returns the table after a process of the instance's upstream has ended in
// the trial of a request.
func (t Table) WithTrialCrash(now time.Time, instance cyclam.InstanceName, f Fingerprint) Table {
	report := t.crashed(instance, f)
	if t.records[f].crashes+1 >= banCrashes {
		report.Bans++
	}
	next, _ := t.WithReports(now, report)
	return next
}

// crashed returns the instance's report on a request after one more crash.
func (t Table) crashed(instance cyclam.InstanceName, f Fingerprint) Report {
	report := t.records[f].reports[instance]
	report.Instance, report.Fingerprint = instance, f
	report.Crashes++
	return report
}

// WithAnswer returns the table after the instance's upstream has answered a request, and
// whether it has changed.
func (t Table) WithAnswer(now time.Time, instance cyclam.InstanceName, f Fingerprint) (Table, bool) {
	known := t.records[f]
	if known.crashes == 0 {
		return t, false
	}
	report := known.reports[instance]
	report.Instance, report.Fingerprint = instance, f
	report.Answered = uint32(min(known.total, math.MaxUint32))
	next, changed := t.WithReports(now, report)
	return next, len(changed) > 0
}

// WithReports returns the table with the reports of any instances, and the fingerprints that
// have changed.
func (t Table) WithReports(now time.Time, reports ...Report) (Table, []Fingerprint) {
	var changed []Fingerprint
	records := t.records
	for _, report := range reports {
		next, news := records[report.Fingerprint].with(now, report)
		if !news {
			continue
		}
		if changed == nil {
			records = maps.Clone(records)
		}
		if records == nil {
			records = map[Fingerprint]record{}
		}
		records[report.Fingerprint] = next
		changed = append(changed, report.Fingerprint)
	}
	if changed == nil {
		return t, nil
	}
	evict(records)
	return Table{
		records: records,
	}, changed
}

// evict removes records beyond maxRecords: those with the fewest crashes, the oldest of them
// first.
func evict(records map[Fingerprint]record) {
	for len(records) > maxRecords {
		var last Fingerprint
		first := true
		for f, r := range records {
			if first || compare(r, records[last]) > 0 {
				last, first = f, false
			}
		}
		delete(records, last)
	}
}

// compare orders records by which matters most: banned ones, then those with the most
// crashes, then the latest.
func compare(a, b record) int {
	return cmp.Or(
		cmp.Compare(b.bans, a.bans),
		cmp.Compare(b.crashes, a.crashes),
		b.changedAt.Compare(a.changedAt),
	)
}

// WithoutExpired returns the table without the requests that have crashed nothing for long,
// and whether there were any.
func (t Table) WithoutExpired(now time.Time) (Table, bool) {
	records := maps.Clone(t.records)
	maps.DeleteFunc(records, func(_ Fingerprint, r record) bool { return now.After(r.expiresAt()) })
	return Table{
		records: records,
	}, len(records) < len(t.records)
}

// Own returns the reports of one instance on the requests that matter most, at most limit.
func (t Table) Own(instance cyclam.InstanceName, limit int) []Report {
	var reports []Report
	for _, f := range t.ranked() {
		if report, ok := t.records[f].reports[instance]; ok && len(reports) < limit {
			reports = append(reports, report)
		}
	}
	return reports
}

// Repeated returns the reports of all instances on requests that have been suspects, at most
// limit. What was lost once, with any process that has ended, is not among them.
func (t Table) Repeated(limit int) []Report {
	reports := slices.DeleteFunc(t.All(math.MaxInt), func(r Report) bool { return t.records[r.Fingerprint].total < suspectCrashes })
	return reports[:min(limit, len(reports))]
}

// All returns the reports of all instances on the requests that matter most, at most limit.
func (t Table) All(limit int) []Report {
	var reports []Report
	for _, f := range t.ranked() {
		for _, name := range slices.Sorted(maps.Keys(t.records[f].reports)) {
			if len(reports) == limit {
				return reports
			}
			reports = append(reports, t.records[f].reports[name])
		}
	}
	return reports
}

// ranked returns the fingerprints, those that matter most first.
func (t Table) ranked() []Fingerprint {
	return slices.SortedFunc(maps.Keys(t.records), func(a, b Fingerprint) int {
		return cmp.Or(compare(t.records[a], t.records[b]), cmp.Compare(a, b))
	})
}
