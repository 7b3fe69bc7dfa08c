// Package requester passes callers' requests to executors over HTTP. It is the
// one adapter that knows their protocol.
package requester

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/web/caller"
)

// Headers between an entry host and an executor.
const (
	// RequestIDHeader ties an answer to its request.
	RequestIDHeader = "Cottonlanding-Request-Id"
	// NotRunHeader marks an answer that says the request was not run.
	NotRunHeader = "Cottonlanding-Not-Run"
	// LeavingHeader marks an answer of an executor that will end.
	LeavingHeader = "Cottonlanding-Leaving"
)

// hopHeaders belong to one connection and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// Requester implements cottonlanding.ExecutorClient.
type Requester struct {
	caller *caller.Caller
}

// New returns a requester that sends through caller.
func New(caller *caller.Caller) *Requester { return &Requester{caller: caller} }

// Call implements cottonlanding.ExecutorClient.
func (r *Requester) Call(ctx context.Context, executor cottonlanding.Address, request cottonlanding.Request) (cottonlanding.Answer, error) {
	path := "/" + strings.TrimPrefix(request.Path, "/")
	out, err := http.NewRequestWithContext(ctx, request.Method, "http://"+string(executor)+path, bytes.NewReader(request.Body))
	if err != nil {
		return cottonlanding.Answer{}, fmt.Errorf("%w: build request: %w", cottonlanding.ErrUnavailable, err)
	}
	out.Header = passOn(http.Header(request.Header))
	out.Header.Set(RequestIDHeader, string(request.ID))
	response, err := r.caller.Do(ctx, out)
	if err != nil {
		return cottonlanding.Answer{}, err
	}
	return answer(executor, request.ID, response)
}

func answer(executor cottonlanding.Address, id cottonlanding.RequestID, response caller.Response) (cottonlanding.Answer, error) {
	if found := response.Header.Get(RequestIDHeader); found != string(id) {
		return cottonlanding.Answer{}, fmt.Errorf("%w: %s answered request %q, not %q", cottonlanding.ErrAmbiguous, executor, found, id)
	}
	out := cottonlanding.Answer{
		Status:  response.Status,
		Header:  cottonlanding.Header(passOn(response.Header)),
		Body:    response.Body,
		Leaving: response.Header.Get(LeavingHeader) != "",
	}
	for _, name := range []string{RequestIDHeader, LeavingHeader, NotRunHeader} {
		delete(out.Header, name)
	}
	if response.Header.Get(NotRunHeader) != "" {
		return out, fmt.Errorf("%w: %s did not run it: status %d", cottonlanding.ErrUnavailable, executor, response.Status)
	}
	return out, nil
}

func passOn(header http.Header) http.Header {
	out := header.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}
