package cyclam

// Role is a control-plane role that one node at a time holds by a claim in the
// platform.
type Role string

// The control-plane roles, from the top of the distribution tree down.
const (
	// RoleRoot accepts configurations and distributes them to the regions.
	RoleRoot Role = "root"
	// RoleLead distributes configurations to the data centres of its region.
	RoleLead Role = "lead"
	// RoleHub distributes configurations to the nodes of its data centre.
	RoleHub Role = "hub"
)

// Claim is the value of a claim object.
type Claim struct {
	Holder Identity `json:"holder"`
	// Control is the holder's control address as host:port.
	Control string `json:"control"`
	// Renewals changes with each renewal, so that observers detect an expired
	// claim without a shared clock.
	Renewals uint64 `json:"beat"`
}

// ClaimName returns the name of the claim object of a role. The locality
// selects the region of a lead and the data centre of a hub.
func ClaimName(role Role, at Locality) string {
	switch role {
	case RoleLead:
		return "lead-" + string(at.Region)
	case RoleHub:
		return "hub-" + string(at.DataCentre)
	default:
		return string(RoleRoot)
	}
}

// Head is the value of the object that names the accepted configuration.
type Head struct {
	Version Version  `json:"version"`
	Writer  Identity `json:"writer"`
	// Result is the digest of the whole set in hex.
	Result string `json:"result"`
	// Chunks lists the names of the content-addressed chunks that make up the
	// set.
	Chunks []string `json:"chunks"`
}

// HeadName is the name of the only head object.
const HeadName = "accepted"
