package cyclam

// LinkID identifies a link between two nodes at one of its ends.
type LinkID uint64

// Message is a message that nodes exchange over a link. The messages and their
// fields have the names of schema/wire.proto. Rosters and their buckets are those
// of package roster.
type Message interface {
	message()
}

// Hello asks the receiver to become the sender's parent in the distribution
// tree.
type Hello struct {
	Self Endpoint
	// Role is the highest control-plane role that the sender holds.
	Role Role
	// Want is the role that the receiver must hold; empty if any will do.
	Want    Role
	Version Version
	// Sums holds the checksums of the sender's roster buckets.
	Sums []uint64
}

// Welcome accepts a Hello.
type Welcome struct {
	Self Endpoint
	// Path lists the instances from the top of the tree down to the sender.
	Path    []InstanceName
	Version Version
	// Sums holds the checksums of the sender's roster buckets.
	Sums []uint64
}

// Redirect refuses a Hello, or ends a link, and names control addresses to try.
type Redirect struct {
	Try []string
}

// Beat is the heartbeat of a link.
type Beat struct {
	// Path lists the instances from the top of the tree down to the sender; it
	// is empty if the sender is the child.
	Path []InstanceName
	// Role is the highest control-plane role that the sender holds.
	Role    Role
	Version Version
	// Total is a checksum over the sender's roster.
	Total uint64
}

// Sums requests the endpoints in which the rosters of the two nodes differ. It
// holds the checksums of the sender's roster buckets.
type Sums struct {
	Sums []uint64
}

// News carries announcements of endpoints.
type News struct {
	Endpoints []Endpoint
}

// Deltas carries configuration changes in order.
type Deltas struct {
	Deltas []Delta
}

// Full carries a whole configuration.
type Full struct {
	Snapshot Snapshot
}

// Pull requests the changes that follow a version, or the whole configuration.
type Pull struct {
	Version Version
	Whole   bool
}

// Report counts the nodes at and below the sender by the version in force, for
// each data centre.
type Report struct {
	Centres []CentreReport
}

// CentreReport counts the nodes of one data centre by the version in force.
type CentreReport struct {
	DataCentre DataCentre
	Versions   []VersionCount
}

// VersionCount is the number of nodes that have a version in force.
type VersionCount struct {
	Version Version
	Nodes   int
}

func (Hello) message()    {}
func (Welcome) message()  {}
func (Redirect) message() {}
func (Beat) message()     {}
func (Sums) message()     {}
func (News) message()     {}
func (Deltas) message()   {}
func (Full) message()     {}
func (Pull) message()     {}
func (Report) message()   {}
