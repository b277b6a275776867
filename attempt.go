package cyclam

import (
	"strconv"
	"strings"
)

// CallID identifies a call among those that entered the mesh at the same
// process.
type CallID uint64

// AttemptID identifies one attempt to send a call to one upstream; it is unique
// across the fleet.
type AttemptID struct {
	// Sender is the process that sent the attempt.
	Sender Identity
	// Number increases with each attempt of the sender.
	Number uint64
}

// String returns instance/incarnation/number.
func (a AttemptID) String() string {
	return string(a.Sender.Instance) + "/" +
		strconv.FormatUint(uint64(a.Sender.Incarnation), 10) + "/" +
		strconv.FormatUint(a.Number, 10)
}

// ParseAttemptID parses the form that String returns. It reports false if the
// text is malformed.
func ParseAttemptID(s string) (AttemptID, bool) {
	parts := strings.Split(s, "/")
	if len(parts) != 3 || parts[0] == "" {
		return AttemptID{}, false
	}
	incarnation, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return AttemptID{}, false
	}
	number, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return AttemptID{}, false
	}
	sender := Identity{
		Instance:    InstanceName(parts[0]),
		Incarnation: Incarnation(incarnation),
	}
	return AttemptID{
		Sender: sender,
		Number: number,
	}, true
}
