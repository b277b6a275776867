package cyclam

import "encoding/hex"

// Digest is a checksum over a whole set of resources, in any order.
type Digest [16]byte

// String returns the digest in hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Delta turns the set at version From into the set at version To.
type Delta struct {
	From    Version
	To      Version
	Upserts []Resource
	Deletes []Key
	// Result is the digest of the set that the delta must produce.
	Result Digest
}

// Snapshot is a whole set of resources at one version.
type Snapshot struct {
	Version   Version
	Resources []Resource
	Result    Digest
}
