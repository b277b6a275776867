// Package tree keeps the nodes joined in one distribution tree, along which
// configuration and endpoint announcements travel, and repairs it after failures.
// Its reducer runs under "cyclamensaddle node", on each control-plane event of a
// node, ticks included. Under "cyclamensaddle sidecar", package fanout plans the
// distribution of the configuration.
//
// The top is the holder of the root claim. Below it are the leads of the
// regions, then the hubs of the data centres, then the other nodes, each of
// which has a bounded number of children. A node that searches for a parent
// reads the claim of the role above its own and descends from that holder by
// redirects. Each parent sends its path from the top, so that loops are detected.
package tree

import (
	"time"

	"github.com/benbjohnson/immutable"
	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/conf"
	"github.com/cyclamensaddle/cyclam/lease"
	"github.com/cyclamensaddle/cyclam/roster"
)

// Tuning holds the settings of the tree.
type Tuning struct {
	// FanOut is how many children without a control role a node accepts.
	FanOut int
	// Flush is how long news and reports are gathered before they are sent; a
	// longer time saves bytes. Configuration, and news of endpoints that accept no
	// more calls, are sent without this delay.
	Flush             time.Duration
	HeartbeatInterval time.Duration
	// LinkTimeout is the silence after which a link is closed.
	LinkTimeout time.Duration
	// Grace is how long a lost child may take to appear elsewhere before it is
	// declared gone.
	Grace time.Duration
	// Term is how long a claim stays valid without a change.
	Term time.Duration
	// PlatformRegion is the region of the platform; the root belongs there.
	PlatformRegion cyclam.Region
	// Seeds are control addresses to try when the platform does not reply.
	Seeds []string
}

// link is this node's end of a link to a peer.
type link struct {
	id   cyclam.LinkID
	peer cyclam.Endpoint
	role cyclam.Role
	// child is set if the peer opened the link, in order to join as a child.
	child bool
	// joined is set once Hello and Welcome have been exchanged.
	joined    bool
	lastHeard time.Time
	// version is the configuration that the peer holds or has been sent.
	version cyclam.Version
	// theirs and ours are the checksums of the two rosters at the last beat.
	theirs, ours uint64
	// mismatches counts consecutive beats in which the rosters differed without
	// either of them changing.
	mismatches int
	// lagging counts consecutive beats in which the peer reported an older version
	// than it was sent.
	lagging int
	// report is the peer's last report.
	report cyclam.Report
}

// pendingNews is a linked list of announcements to pass on, the latest first, each
// with the link it came from.
type pendingNews struct {
	endpoint cyclam.Endpoint
	from     cyclam.LinkID
	previous *pendingNews
}

// State is a node's position in the tree and the data received through it.
type State struct {
	Tuning Tuning
	Self   cyclam.Endpoint
	Conf   conf.State
	Roster roster.Roster

	claims       map[cyclam.Role]lease.Claim
	links        *immutable.SortedMap[cyclam.LinkID, link]
	parent       cyclam.LinkID
	path         []cyclam.InstanceName
	search       parentSearch
	lostChildren *immutable.SortedMap[string, lostChild]
	pending      *pendingNews
	// urgent is set while something is queued that must not wait for Flush.
	urgent bool
	// reported is the last report sent to the parent.
	reported   cyclam.Report
	rand       cyclam.Rand
	nextLink   cyclam.LinkID
	minVersion minVersion
	lastTick   time.Time
	lastBeat   time.Time
	lastFlush  time.Time
	lastPrune  time.Time
	leaving    bool
	// actingTop is set while this node is the top of a part of the tree without
	// holding the root claim, because the platform does not reply.
	actingTop bool
	// fallbackParent is set while the parent was chosen without the platform.
	fallbackParent bool
	// wantedRole is the role for which the parent was chosen; empty for a parent
	// that was named by another node.
	wantedRole cyclam.Role
	// superseded is set once another process runs under this instance name.
	superseded bool
}

// firstOwnLink is where the ids of the links that this node opens start; ids of
// accepted links are below it.
const firstOwnLink cyclam.LinkID = 1 << 32

// New returns the state of a node that has just started.
func New(self cyclam.Endpoint, tuning Tuning, now time.Time) State {
	s := State{
		Tuning:       tuning,
		Self:         self,
		Conf:         conf.NewState(),
		Roster:       roster.New(),
		claims:       map[cyclam.Role]lease.Claim{},
		links:        immutable.NewSortedMap[cyclam.LinkID, link](nil),
		lostChildren: immutable.NewSortedMap[string, lostChild](nil),
		rand:         cyclam.Rand(self.Incarnation),
		nextLink:     firstOwnLink,
		minVersion: minVersion{
			deadline: now.Add(minVersionTimeout),
		},
		lastTick: now,
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

// Holds reports whether this node holds a role as of its last platform call.
func (s State) Holds(role cyclam.Role) bool { return s.claims[role].Held() }

// Role returns the highest role held, or the empty role.
func (s State) Role() cyclam.Role {
	for _, role := range []cyclam.Role{cyclam.RoleRoot, cyclam.RoleLead, cyclam.RoleHub} {
		if s.Holds(role) {
			return role
		}
	}
	return ""
}

// Attached reports whether the node has a parent, or is itself the top.
func (s State) Attached() bool {
	return s.parent != 0 || s.Holds(cyclam.RoleRoot) || s.actingTop
}

// Path returns the instances from the top down to this node.
func (s State) Path() []cyclam.InstanceName {
	return append(s.path[:len(s.path):len(s.path)], s.Self.Instance)
}

// Children returns the number of joined children.
func (s State) Children() int {
	count := 0
	s.eachLink(func(l link) {
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

func (s State) eachLink(visit func(link)) {
	for it := s.links.Iterator(); !it.Done(); {
		_, l, _ := it.Next()
		visit(l)
	}
}

// joinedLinks returns the links that have been joined by both sides.
func (s State) joinedLinks() []link {
	var out []link
	s.eachLink(func(l link) {
		if l.joined {
			out = append(out, l)
		}
	})
	return out
}

func sendEffect(l link, messages ...cyclam.Message) cyclam.Effect {
	return cyclam.SendLink{
		Link:     l.id,
		Messages: messages,
	}
}

func logEffect(event string, fields ...any) cyclam.Effect {
	return cyclam.WriteLog{
		Event:  event,
		Fields: fields,
	}
}
