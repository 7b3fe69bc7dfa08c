package dispatcher

import (
	"context"
	"net/http"

	"github.com/cottonlanding/cottonlanding"
)

// Call is a request as a caller sent it.
type Call struct {
	Request cottonlanding.Request
	// Key is the idempotency key, or empty.
	Key string
	// Remaining is the time for the answer; zero means the service's timeout.
	Remaining cottonlanding.Millis
	// Forwarded says that a peer sent the request; it is not sent on again.
	Forwarded bool
	// Claimed says that the peer has claimed the key.
	Claimed bool
}

// Reply is the final answer to a call.
type Reply struct {
	Outcome cottonlanding.Outcome
	// Answer is the executor's, for Ran.
	Answer cottonlanding.Answer
	// Status is for outcomes other than Ran.
	Status int
	// Word and Detail explain outcomes other than Ran.
	Word   string
	Detail string
	// RetryAfter tells when to come back; zero gives no advice.
	RetryAfter cottonlanding.Millis
}

func refuse(status int, word, detail string, retryAfter cottonlanding.Millis) *Reply {
	return &Reply{Outcome: cottonlanding.NotRun, Status: status, Word: word, Detail: detail, RetryAfter: retryAfter}
}

func unsettled(detail string) Reply {
	return Reply{
		Outcome:    cottonlanding.Unknown,
		Status:     http.StatusConflict,
		Word:       "Unsettled",
		Detail:     detail,
		RetryAfter: cottonlanding.Second,
	}
}

func unknown(detail string) Reply {
	return Reply{Outcome: cottonlanding.Unknown, Status: http.StatusGatewayTimeout, Word: "Unknown", Detail: detail}
}

// Forwarder sends a call to another daemon that may have executors for it. The
// error is ErrUnavailable if the call was surely not run, or ErrAmbiguous.
type Forwarder interface {
	Forward(ctx context.Context, call Call) (Reply, error)
}
