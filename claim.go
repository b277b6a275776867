package cyclam

// Role is a control role that one node at a time claims in the platform.
type Role string

// The roles, by what their holder feeds.
const (
	// RoleRoot accepts configurations and feeds the regions.
	RoleRoot Role = "root"
	// RoleLead feeds the data centres of its region.
	RoleLead Role = "lead"
	// RoleHub feeds the nodes of its data centre.
	RoleHub Role = "hub"
)

// Claim is the value of a claim object.
type Claim struct {
	Holder  Identity `json:"holder"`
	Control string   `json:"control"`
	// Renewals changes with each renewal, so that observers need no shared clock.
	Renewals uint64 `json:"beat"`
}

// ClaimName returns the object name of a role's claim for a node at a place.
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
	// Result is the hex digest of the whole set.
	Result string `json:"result"`
	// Chunks lists the content-addressed chunk names that make up the set.
	Chunks []string `json:"chunks"`
}

// HeadName is the name of the one head object.
const HeadName = "accepted"
