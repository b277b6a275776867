package cyclam

// TeamName is the name of a team.
type TeamName string

// Credential is the secret by which a caller proves which team it belongs to. It is formatted
// without its value, so that it does not get into logs.
type Credential string

// String returns a text that does not reveal the credential.
func (c Credential) String() string {
	if c == "" {
		return "none"
	}
	return "redacted"
}

// GoString is String.
func (c Credential) GoString() string { return c.String() }

// Team is a set of callers that share credentials, a rank and a quota.
type Team struct {
	Name        TeamName
	Credentials []Credential
	// Priority ranks the team's requests in place of the route's priority if Ranked is
	// set; 0 is the most urgent.
	Priority int
	Ranked   bool
	// Quota bounds the team's requests at all instances together.
	Quota Quota
}

// Quota is a rate in requests per second and the burst of requests that may exceed it. The
// zero value is no limit.
type Quota struct {
	Rate  float64
	Burst float64
}

// Limited reports whether the quota sets a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }
