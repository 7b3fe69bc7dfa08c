package cottonlanding

import "context"

// RequestID identifies one dispatch of a request; the executor returns it with the answer.
type RequestID string

// Header holds the header fields of a request or an answer by their canonical names.
type Header map[string][]string

// Request is a client's request to a service.
type Request struct {
	ID      RequestID
	Service ServiceName
	Team    Team
	Method  string
	Path    string
	Header  Header
	Body    []byte
}

// Answer is an executor's complete answer.
type Answer struct {
	Status int
	Header Header
	Body   []byte
	// Leaving says that the executor is about to end and takes no new requests.
	Leaving bool
}

// Outcome says whether a request was run. Ran and NotRun are reported only if they are certain.
type Outcome string

// The outcomes of a request.
const (
	// Ran means that the executor ran the request, and the answer is its own.
	Ran Outcome = "Ran"
	// NotRun means that no executor ran the request nor ever will.
	NotRun Outcome = "NotRun"
	// Unknown means that the request may have been run.
	Unknown Outcome = "Unknown"
)

// ExecutorClient sends requests to executors.
type ExecutorClient interface {
	// Call sends the request once. ErrUnavailable means that no byte of it was sent, or that the
	// executor reported that it did not run it; the answer may then say that the executor is leaving.
	// ErrAmbiguous means that it may have run.
	Call(ctx context.Context, executor Address, request Request) (Answer, error)
}
