package quota

import (
	"fmt"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
)

// Times of the replayed fleet: reports leave each instance at reportEvery and take wayTime.
const (
	replayStep  = 10 * time.Millisecond
	reportEvery = 200 * time.Millisecond
	wayTime     = 20 * time.Millisecond
)

var replayTuning = Tuning{
	Window:  5 * time.Second,
	Overage: 0.1,
	Slack:   20,
}

// fleet replays the ledgers of instances in two data centres.
type fleet struct {
	now   time.Time
	start time.Time
	teams []cyclam.Team
	nodes []*Ledger
	cut   map[int]bool
	// noticeAt is when instances notice which others are in reach; zero if they do at once.
	noticeAt time.Time
	admitted map[cyclam.TeamName][]time.Time
	mail     []mail
}

// mail is a report or a reply on its way.
type mail struct {
	at     time.Time
	from   int
	to     int
	report *Report
	reply  *Reply
	// processes are those of both ends: a message does not outlast them.
	processes [2]cyclam.Identity
}

func newFleet(size int, teams ...cyclam.Team) *fleet {
	f := &fleet{
		start:    time.Unix(1_000_000, 0),
		teams:    teams,
		nodes:    make([]*Ledger, size),
		cut:      map[int]bool{},
		admitted: map[cyclam.TeamName][]time.Time{},
	}
	f.now = f.start
	for i := range f.nodes {
		f.restart(i)
	}
	return f
}

func (f *fleet) name(i int) cyclam.InstanceName { return cyclam.InstanceName(fmt.Sprintf("i-%03d", i)) }

// restart replaces an instance's process by a new one.
func (f *fleet) restart(i int) {
	f.nodes[i] = &Ledger{
		Tuning:    replayTuning,
		StartedAt: f.now,
		Self: cyclam.Identity{
			Instance:    f.name(i),
			Incarnation: cyclam.Incarnation(f.now.UnixNano()),
		},
	}
	f.nodes[i].SetTeams(f.now, f.teams)
	f.elect(i)
}

// elect sets the relays as an instance sees them: the first one in reach of each data centre.
func (f *fleet) elect(i int) {
	first := [2]int{-1, -1}
	for j := range f.nodes {
		if first[j%2] < 0 && f.reaches(i, j) {
			first[j%2] = j
		}
	}
	relay, to := first[i%2] == i, first[i%2]
	if relay {
		to = first[1-i%2]
	}
	var names []cyclam.InstanceName
	if to >= 0 {
		names = append(names, f.name(to))
	}
	f.nodes[i].SetRelays(f.now, relay, names, len(f.nodes))
}

func (f *fleet) reaches(i, j int) bool { return i == j || !f.cut[i] && !f.cut[j] }

// ask lets requests of a team arrive at an instance and returns how many were admitted.
func (f *fleet) ask(i int, team cyclam.TeamName, count int) int {
	admitted := 0
	for range count {
		if ok, _ := f.nodes[i].Admit(f.now, team); ok {
			admitted++
			f.admitted[team] = append(f.admitted[team], f.now)
		}
	}
	if f.nodes[i].Urgent(team) {
		f.report(i)
	}
	return admitted
}

// step advances the time and carries what instances send each other.
func (f *fleet) step() {
	f.now = f.now.Add(replayStep)
	due := f.mail
	f.mail = nil
	for _, m := range due {
		switch {
		case m.at.After(f.now):
			f.mail = append(f.mail, m)
		case !f.reaches(m.from, m.to), m.processes != f.processes(m.from, m.to):
		case m.report != nil:
			reply := f.nodes[m.to].Receive(f.now, f.nodes[m.from].Self, *m.report)
			f.mail = append(f.mail, mail{
				at:        f.now.Add(wayTime),
				from:      m.to,
				to:        m.from,
				reply:     &reply,
				processes: f.processes(m.to, m.from),
			})
		default:
			f.nodes[m.to].Replied(f.now, f.name(m.from), *m.reply)
		}
	}
	for i, l := range f.nodes {
		if (f.now.Sub(f.start)+time.Duration(i)*replayStep)%reportEvery != 0 {
			continue
		}
		if !f.now.Before(f.noticeAt) {
			f.elect(i)
		}
		l.Tick(f.now)
		f.report(i)
	}
}

func (f *fleet) processes(from, to int) [2]cyclam.Identity {
	return [2]cyclam.Identity{f.nodes[from].Self, f.nodes[to].Self}
}

// report sends the next reports of an instance.
func (f *fleet) report(i int) {
	for j := range f.nodes {
		if report, ok := f.nodes[i].Report(f.now, f.name(j)); ok {
			f.mail = append(f.mail, mail{
				at:        f.now.Add(wayTime),
				from:      i,
				to:        j,
				report:    &report,
				processes: f.processes(i, j),
			})
		}
	}
}

// settle lets the instances hear of each other before the load begins.
func (f *fleet) settle() {
	for range 6 * int(time.Second/replayStep) {
		f.step()
	}
}

// worst returns the largest number of admitted requests in any window.
func (f *fleet) worst(team cyclam.TeamName) int {
	worst, first := 0, 0
	times := f.admitted[team]
	for last, at := range times {
		for at.Sub(times[first]) >= replayTuning.Window {
			first++
		}
		worst = max(worst, last-first+1)
	}
	return worst
}

// allowed returns how many requests all instances may admit in a window.
func allowed(q cyclam.Quota) int {
	return int((q.Rate*replayTuning.Window.Seconds()+q.Burst)*(1+replayTuning.Overage) + replayTuning.Slack)
}
