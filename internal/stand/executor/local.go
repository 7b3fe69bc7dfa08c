package executor

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/target/requester"
)

// Local implements cottonlanding.ExecutorClient for executors of this process.
type Local struct {
	executors map[cottonlanding.Address]*Executor
}

// NewLocal returns a client of the executors.
func NewLocal(executors ...*Executor) *Local {
	l := &Local{executors: make(map[cottonlanding.Address]*Executor)}
	for _, e := range executors {
		l.executors[e.info.Address] = e
	}
	return l
}

// Call implements cottonlanding.ExecutorClient.
func (l *Local) Call(ctx context.Context, address cottonlanding.Address, request cottonlanding.Request) (cottonlanding.Answer, error) {
	e := l.executors[address]
	if e == nil {
		return cottonlanding.Answer{}, fmt.Errorf("%w: no executor at %s", cottonlanding.ErrUnavailable, address)
	}
	in, err := http.NewRequestWithContext(ctx, request.Method, "/"+strings.TrimPrefix(request.Path, "/"), bytes.NewReader(request.Body))
	if err != nil {
		return cottonlanding.Answer{}, fmt.Errorf("%w: build request: %w", cottonlanding.ErrUnavailable, err)
	}
	if request.Header != nil {
		in.Header = http.Header(request.Header).Clone()
	}
	in.Header.Set(requester.RequestIDHeader, string(request.ID))
	recorder := httptest.NewRecorder()
	e.ServeHTTP(recorder, in)
	answer := cottonlanding.Answer{
		Status:  recorder.Code,
		Header:  cottonlanding.Header(recorder.Header()),
		Body:    recorder.Body.Bytes(),
		Leaving: recorder.Header().Get(requester.LeavingHeader) != "",
	}
	refused := recorder.Header().Get(requester.NotRunHeader) != ""
	for _, name := range []string{requester.RequestIDHeader, requester.LeavingHeader, requester.NotRunHeader} {
		delete(answer.Header, name)
	}
	if refused {
		return answer, fmt.Errorf("%w: %s did not run it", cottonlanding.ErrUnavailable, address)
	}
	return answer, nil
}
