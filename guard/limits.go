package guard

const (
	// reservedFiles are the descriptors that are kept for files.
	reservedFiles = 200
	// defaultDescriptors and defaultMemory apply if the machine's limits are not known.
	defaultDescriptors = 4096
	defaultMemory      = 1 << 30
	// connBytes is the memory of a connection between two requests: the server's buffers
	// and the stack of its goroutine.
	connBytes = 20 << 10
	// smallBodyBytes is the size up to which a body is small.
	smallBodyBytes = 64 << 10
	// headBytes and fieldBytes are the memory of a byte of a request's head and of a
	// field: as received, parsed, for forwarding, for an attempt, and encoded.
	headBytes  = 6
	fieldBytes = 400
	// freeHeadBytes is the memory of a head that is not counted.
	freeHeadBytes = 32 << 10
)

// Shares of the machine's memory; BodiesShare is that of large bodies.
const (
	BodiesShare      = 0.375
	smallBodiesShare = 0.05
	headsShare       = 0.1
	connsShare       = 0.125
	answersShare     = 0.1
)

// The most bytes of answers that are held, and the most connections of a small interface.
const (
	mostAnswers    = 32 << 20
	mostInterfaces = 32
)

// Limits are how much of the machine's memory and descriptors each use may take.
type Limits struct {
	// Callers is the number of callers' connections, Peers that of connections from other
	// nodes, and Interface that of each of the platform's interfaces.
	Callers   int
	Peers     int
	Interface int
	// Bodies, SmallBodies and Heads are for requests, and Answers is for answers, in bytes.
	Bodies      int64
	SmallBodies int64
	Heads       int64
	Answers     int64
}

// LimitsOf returns the limits of a machine with a memory in bytes and a number of descriptors.
// Zero means that a limit of the machine is not known.
func LimitsOf(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	// At least half of the descriptors are for sockets.
	sockets := max(descriptors-reservedFiles, descriptors/2)
	share := func(s float64) int64 { return int64(s * float64(memory)) }
	return Limits{
		Callers:     max(1, min(sockets/2, int(share(connsShare)/connBytes))),
		Peers:       max(1, sockets/5),
		Interface:   max(1, min(mostInterfaces, sockets/15)),
		Bodies:      share(BodiesShare),
		SmallBodies: share(smallBodiesShare),
		Heads:       share(headsShare),
		Answers:     min(mostAnswers, share(answersShare)),
	}
}

// HeadMemory returns the memory that counts for the head of a request, in bytes. Heads of
// usual size count nothing: each connection has room for one.
func HeadMemory(bytes, fields int) int64 {
	if m := int64(bytes)*headBytes + int64(fields)*fieldBytes; m > freeHeadBytes {
		return m
	}
	return 0
}

// IsSmallBody reports whether a body of a length is small.
func IsSmallBody(bytes int64) bool { return bytes <= smallBodyBytes }
