// Package tree joins the nodes into one tree, along which configuration and
// endpoint news travel, and repairs it.
//
// The top is the holder of the root claim. Below it are the leads of the
// regions, then the hubs of the data centres, then the other nodes, each of
// which feeds a bounded number of children. A node that looks for a parent
// reads the claim of the role above its own and descends from that holder by
// redirects. Each parent tells its path from the top, so that loops are seen.
package tree

import (
	"time"

	"github.com/benbjohnson/immutable"
	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/cyclamensaddle/cyclam/lease"
	"github.com/cyclamensaddle/cyclam/roster"
)

// Tuning holds the knobs of distribution.
type Tuning struct {
	// FanOut is how many children without a control role a node feeds.
	FanOut int
	// Flush is how long news and reports are gathered before they are sent;
	// longer saves bytes. Configuration, and news of endpoints that take no more
	// calls, do not wait for it.
	Flush time.Duration
	// HeartbeatInterval is the interval of heartbeats.
	HeartbeatInterval time.Duration
	// LinkTimeout is the silence after which a link is given up.
	LinkTimeout time.Duration
	// Grace is how long a lost child may take to appear elsewhere.
	Grace time.Duration
	// Term is how long an unchanged claim stays valid.
	Term time.Duration
	// PlatformRegion is where the platform stands; the root belongs there.
	PlatformRegion cyclam.Region
	// Seeds are control addresses to try when the platform does not answer.
	Seeds []string
}

// link is one end of a link to another node.
type link struct {
	id     cyclam.LinkID
	peer   cyclam.Endpoint
	role   cyclam.Role
	child  bool
	joined bool
	heard  time.Time
	// version is what the peer holds or has been sent.
	version cyclam.Version
	// theirs and ours are the rosters' checksums at the last beat.
	theirs, ours uint64
	// differs counts beats in a row in which rosters at rest differed.
	differs int
	// behind counts beats in a row in which the peer held an older version.
	behind int
	report cyclam.Report
}

// news is a list of announcements to pass on, the latest first, each with the
// link it came from.
type news struct {
	endpoint cyclam.Endpoint
	from     cyclam.LinkID
	earlier  *news
}

// State is a node's place in the tree and what it has learnt through it.
type State struct {
	Tuning Tuning
	Self   cyclam.Endpoint
	Conf   conf.State
	Roster roster.Roster

	claims  map[cyclam.Role]lease.Claim
	links   *immutable.SortedMap[cyclam.LinkID, link]
	parent  cyclam.LinkID
	path    []cyclam.InstanceName
	seek    seek
	lost    *immutable.SortedMap[string, loss]
	pending *news
	// urgent is set while something waits that must not be gathered any longer.
	urgent   bool
	reported cyclam.Report
	rand     cyclam.Rand
	nextLink cyclam.LinkID
	floor    floor
	ticked   time.Time
	beaten   time.Time
	flushed  time.Time
	pruned   time.Time
	leaving  bool
	// acting is set while this node heads a part of the tree without a claim.
	acting bool
	// makeshift is set while the parent was chosen without the platform.
	makeshift bool
	// want is the role for which the parent was chosen; empty for a parent that
	// was named by another node.
	want cyclam.Role
	// superseded is set once another process runs under this instance name.
	superseded bool
}

// firstOwnLink separates the links that this node opens from those it accepts.
const firstOwnLink cyclam.LinkID = 1 << 32

// New returns the state of a node that has just started.
func New(self cyclam.Endpoint, tuning Tuning, now time.Time) State {
	s := State{
		Tuning:   tuning,
		Self:     self,
		Conf:     conf.NewState(),
		Roster:   roster.New(),
		claims:   map[cyclam.Role]lease.Claim{},
		links:    immutable.NewSortedMap[cyclam.LinkID, link](nil),
		lost:     immutable.NewSortedMap[string, loss](nil),
		rand:     cyclam.Rand(self.Incarnation),
		nextLink: firstOwnLink,
		floor: floor{
			until: now.Add(floorWait),
		},
		ticked: now,
	}
	for _, role := range []cyclam.Role{cyclam.RoleHub, cyclam.RoleLead, cyclam.RoleRoot} {
		s.claims[role] = lease.Claim{
			Name: cyclam.ClaimName(role, self.Locality),
			Term: tuning.Term,
			Self: cyclam.Claim{
				Holder:  self.Identity,
				Control: self.Control,
			},
		}
	}
	s.Roster, _ = s.Roster.With(now, self)
	return s
}

// Holds reports whether this node believes that it holds a role.
func (s State) Holds(role cyclam.Role) bool { return s.claims[role].Held() }

// Role returns the highest role held, or the empty one.
func (s State) Role() cyclam.Role {
	for _, role := range []cyclam.Role{cyclam.RoleRoot, cyclam.RoleLead, cyclam.RoleHub} {
		if s.Holds(role) {
			return role
		}
	}
	return ""
}

// Attached reports whether the node is fed, or is itself the top.
func (s State) Attached() bool {
	return s.parent != 0 || s.Holds(cyclam.RoleRoot) || s.acting
}

// Path returns the instances from the top down to this node.
func (s State) Path() []cyclam.InstanceName {
	return append(s.path[:len(s.path):len(s.path)], s.Self.Instance)
}

// Children returns how many nodes this one feeds.
func (s State) Children() int {
	count := 0
	s.each(func(l link) {
		if l.child && l.joined {
			count++
		}
	})
	return count
}

// Superseded reports whether another process runs under this instance name.
func (s State) Superseded() bool { return s.superseded }

func (s State) withClaim(role cyclam.Role, claim lease.Claim) State {
	claims := make(map[cyclam.Role]lease.Claim, len(s.claims))
	for r, c := range s.claims {
		claims[r] = c
	}
	claims[role] = claim
	s.claims = claims
	return s
}

func (s State) withLink(l link) State {
	s.links = s.links.Set(l.id, l)
	return s
}

func (s State) each(visit func(link)) {
	for it := s.links.Iterator(); !it.Done(); {
		_, l, _ := it.Next()
		visit(l)
	}
}

// joinedLinks returns the links on which both sides have agreed.
func (s State) joinedLinks() []link {
	var out []link
	s.each(func(l link) {
		if l.joined {
			out = append(out, l)
		}
	})
	return out
}

func send(l link, messages ...cyclam.Message) cyclam.Effect {
	return cyclam.SendLink{
		Link:     l.id,
		Messages: messages,
	}
}

func note(event string, fields ...any) cyclam.Effect {
	return cyclam.WriteLog{
		Event:  event,
		Fields: fields,
	}
}
