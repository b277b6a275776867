package cyclam

import "encoding/hex"

// Digest is a checksum over a set of resources; it does not depend on their
// order.
type Digest [16]byte

// String returns the digest in hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Delta is the difference between the set at version From and the set at
// version To.
type Delta struct {
	From    Version
	To      Version
	Upserts []Resource
	Deletes []Key
	// Result is the digest that the set must have once the delta is applied.
	Result Digest
}

// Snapshot is the whole set of resources at one version.
type Snapshot struct {
	Version   Version
	Resources []Resource
	// Result is the digest of the set.
	Result Digest
}
