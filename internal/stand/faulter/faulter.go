// Package faulter makes a stand-in fail on request.
package faulter

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/web/responder"
)

// Path is where the switches are read (GET) and set (PUT).
const Path = "/stand/Faults"

// hang is how long a caller that was cut off waits in vain.
const hang = 3 * time.Second

// Faults are the switches of one stand-in. The zero value works faultlessly.
type Faults struct {
	// Down refuses every call before it has an effect.
	Down bool
	// Delay is how long every call waits before it has an effect.
	Delay cottonlanding.Millis
	// LoseAnswers lets calls take effect and loses their answers, each Nth.
	LoseAnswers int
	// DelayWrites loses answers at once and lets each Nth call take effect only
	// after WriteDelay.
	DelayWrites int
	WriteDelay  cottonlanding.Millis
	// CutFrom lists the IP addresses whose calls get lost on the way.
	CutFrom []string
}

// Faulter wraps a handler with switches.
type Faulter struct {
	next http.Handler

	mu     sync.Mutex
	faults Faults
	calls  int
}

// New returns a faulter in front of next.
func New(next http.Handler) *Faulter { return &Faulter{next: next} }

// Set replaces the switches.
func (f *Faulter) Set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// fate is what becomes of one call.
type fate struct {
	faults  Faults
	cut     bool
	lose    bool
	delayed bool
}

func (f *Faulter) fate(remote string) fate {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		host = remote
	}
	return fate{
		faults:  f.faults,
		cut:     slices.Contains(f.faults.CutFrom, host),
		lose:    f.faults.LoseAnswers > 0 && f.calls%f.faults.LoseAnswers == 0,
		delayed: f.faults.DelayWrites > 0 && f.calls%f.faults.DelayWrites == 0,
	}
}

// ServeHTTP implements http.Handler.
func (f *Faulter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == Path {
		f.serveSwitches(w, r)
		return
	}
	fate := f.fate(r.RemoteAddr)
	switch {
	case fate.cut:
		time.Sleep(hang)
		responder.Fail(w, http.StatusServiceUnavailable, "Unavailable", "cut off")
		return
	case fate.faults.Down:
		responder.Fail(w, http.StatusServiceUnavailable, "Unavailable", "down")
		return
	}
	time.Sleep(fate.faults.Delay.Duration())
	switch {
	case fate.delayed:
		f.runLater(r, fate.faults.WriteDelay)
		responder.Fail(w, http.StatusGatewayTimeout, "Unknown", "answer lost")
	case fate.lose:
		f.next.ServeHTTP(httptest.NewRecorder(), r)
		responder.Fail(w, http.StatusGatewayTimeout, "Unknown", "answer lost")
	default:
		f.next.ServeHTTP(w, r)
	}
}

// runLater lets a call take effect after its connection's buffers are gone.
func (f *Faulter) runLater(r *http.Request, delay cottonlanding.Millis) {
	body, err := responder.Body(r)
	if err != nil {
		return // the call never arrived whole
	}
	later := r.Clone(context.Background())
	later.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(delay.Duration(), func() { f.next.ServeHTTP(httptest.NewRecorder(), later) })
}

func (f *Faulter) serveSwitches(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var faults Faults
		if err := responder.Read(r, &faults); err != nil {
			responder.Fail(w, http.StatusBadRequest, "BadBody", err.Error())
			return
		}
		f.Set(faults)
	}
	f.mu.Lock()
	faults := f.faults
	f.mu.Unlock()
	responder.Write(w, http.StatusOK, faults)
}
