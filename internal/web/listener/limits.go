package listener

import (
	"log/slog"

	"github.com/cottonlanding/cottonlanding"
)

// Defaults of Limits.
const (
	// MaxBody is the largest body of a request, in bytes.
	MaxBody = 8 << 20
	// maxHead is the largest head of a request with its request line, in bytes.
	maxHead            = 64 << 10
	defaultConnections = 4096
	defaultMemory      = 64 * cottonlanding.Megabyte
)

// Limits bounds what clients can make a process hold. A field that is zero has its default.
type Limits struct {
	// Connections is the largest number of open connections. When it is reached, a connection whose request isn't whole
	// gives way to a new one, then one whose answer isn't read, then an idle one, each time the oldest. If all requests
	// are whole, the new connection is answered with 503 and closed.
	Connections int
	// Memory bounds what requests hold from their first byte to their answer, by what is charged for them. When it is
	// used up, the oldest request that isn't whole gives way; if there is no other, a request is answered with 503.
	Memory cottonlanding.Bytes
	// Request returns the limits of a single request, which may change; nil leaves the defaults.
	Request func() RequestLimits
	// Log gets a line when clients were turned away, at most one a second; nil discards it.
	Log *slog.Logger
}

// RequestLimits bounds a single request, in bytes. A field that is zero has its default.
type RequestLimits struct {
	Head, Body int
}

// For returns the limits of a process that may use some memory and descriptors. Zero stands for the least that the
// project's deployments give a process.
func For(memory cottonlanding.Bytes, descriptors int) Limits {
	if memory == 0 {
		memory = leastMemory
	}
	if descriptors == 0 {
		descriptors = leastDescriptors
	}
	return Limits{
		Connections: max(1, min((descriptors-keptDescriptors)/descriptorDivisor, int(memory/memoryDivisor/connectionCost))),
		Memory:      memory / memoryDivisor,
	}
}

const (
	leastMemory      = 160 * cottonlanding.Megabyte
	leastDescriptors = 4096
	// keptDescriptors are kept for files. Of the others, and of the memory, clients get a fraction: 1/descriptorDivisor,
	// and 1/memoryDivisor each for connections and for requests.
	keptDescriptors   = 200
	descriptorDivisor = 2
	memoryDivisor     = 4
	// connectionCost is what a connection holds without a request: 30 KB of goroutines and buffers here, and kernelBuffer
	// twice in each direction, as the kernel counts it.
	connectionCost = 30_000 + 4*kernelBuffer
)

// Charges for requests against Limits.Memory.
const (
	// bodyCharge is how much is charged for a byte of a body: for the body, its copy while the buffer grows, and what it
	// is decoded into.
	bodyCharge = 4
	// headCharge is how much is charged for a byte of a head beyond freeHead: the shortest fields take that much as
	// entries of a map.
	headCharge = 32
	freeHead   = 2 << 10
)

func (l Limits) withDefaults() Limits {
	if l.Connections == 0 {
		l.Connections = defaultConnections
	}
	if l.Memory == 0 {
		l.Memory = defaultMemory
	}
	if l.Log == nil {
		l.Log = slog.New(slog.DiscardHandler)
	}
	if l.Request == nil {
		l.Request = func() RequestLimits { return RequestLimits{} }
	}
	return l
}

func (l RequestLimits) withDefaults() RequestLimits {
	if l.Head <= 0 || l.Head > maxHead {
		l.Head = maxHead
	}
	if l.Body <= 0 || l.Body > MaxBody {
		l.Body = MaxBody
	}
	return l
}
