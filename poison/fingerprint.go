// Package poison decides which requests are kept from upstreams because they end the
// processes that run them. Instances report what they have seen of a request, add up the
// reports of all instances, and judge by the sum. Package proxy uses it under
// "cyclamensaddle sidecar".
//
// A process may end for any reason, and what runs beside the request that ends it is lost
// with it. A request is therefore banned only if it has been lost several times without
// ever being answered, and once more as the only one that was running. To make that
// possible, suspects run alone.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
)

// Fingerprint identifies what a request asks for. It is the same whoever sends the request,
// and at whichever instance.
type Fingerprint uint64

// fingerprintBase is the base of the text form.
const fingerprintBase = 16

// FingerprintOf returns the fingerprint of a request; target is the path and the query.
func FingerprintOf(method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{method, host, target} {
		// The length in front keeps the parts apart.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), fingerprintBase) }
