package cyclam

// LinkID names one link between two nodes, at one of its ends.
type LinkID uint64

// Message is what nodes tell each other over a link.
type Message interface {
	message()
}

// Hello asks to be fed by the receiver.
type Hello struct {
	Self Endpoint
	// Role is the highest control role that the sender holds.
	Role Role
	// Want is the role that the receiver has to hold; empty where any will do.
	Want    Role
	Version Version
	Sums    []uint64
}

// Welcome accepts a Hello.
type Welcome struct {
	Self    Endpoint
	Path    []InstanceName
	Version Version
	Sums    []uint64
}

// Redirect refuses a Hello, or ends a link, and names control addresses to try.
type Redirect struct {
	Try []string
}

// Beat is the heartbeat of a link.
type Beat struct {
	// Path lists the instances from the top of the tree down to the sender;
	// it is empty when the sender is the child.
	Path []InstanceName
	// Role is the highest control role that the sender holds.
	Role    Role
	Version Version
	// Total is a checksum over the sender's roster.
	Total uint64
}

// Sums asks for the endpoints in which the two rosters differ.
type Sums struct {
	Sums []uint64
}

// News carries announcements of endpoints.
type News struct {
	Endpoints []Endpoint
}

// Deltas carries changes of configuration in order.
type Deltas struct {
	Deltas []Delta
}

// Full carries a whole configuration.
type Full struct {
	Snapshot Snapshot
}

// Pull asks for what follows a version, or for the whole configuration.
type Pull struct {
	Version Version
	Whole   bool
}

// Report counts the versions in force below the sender, for each data centre.
type Report struct {
	Centres []CentreReport
}

// CentreReport counts the versions in force in one data centre.
type CentreReport struct {
	DataCentre DataCentre
	Versions   []VersionCount
}

// VersionCount is how many nodes have a version in force.
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
