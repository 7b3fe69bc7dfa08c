// Package executor is a stand-in for a service's executors.
package executor

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/target/requester"
	"github.com/cottonlanding/cottonlanding/internal/web/responder"
)

// Paths for tests and oracles.
const (
	LedgerPath = "/stand/Ledger"
	FaultsPath = "/stand/ExecutorFaults"
)

// KeyHeader names the caller's idempotency key, which the ledger keeps.
const KeyHeader = "Idempotency-Key"

// Faults are an executor's own switches.
type Faults struct {
	// Slower multiplies the service time; zero means one.
	Slower int
	// FailEverything answers 500 after the service time.
	FailEverything bool
	// Leaving makes the executor say that it will end and refuse new requests.
	Leaving bool
}

// Run is one request in the ledger.
type Run struct {
	Request cottonlanding.RequestID
	Key     string
}

// Ledger is what an executor ever ran.
type Ledger struct {
	Executor cottonlanding.ExecutorID
	Runs     []Run
	// Peak is the most requests at a time, Refused those turned away beyond slots.
	Peak    int
	Refused int
}

// Executor answers requests after a service time, so many at a time.
type Executor struct {
	info        cottonlanding.ExecutorInfo
	slots       int
	serviceTime cottonlanding.Millis

	mu     sync.Mutex
	active int
	faults Faults
	ledger Ledger
}

// New returns an executor with so many slots.
func New(info cottonlanding.ExecutorInfo, slots int, serviceTime cottonlanding.Millis) *Executor {
	return &Executor{info: info, slots: slots, serviceTime: serviceTime, ledger: Ledger{Executor: info.ID}}
}

// Info returns how the executor is listed.
func (e *Executor) Info() cottonlanding.ExecutorInfo { return e.info }

// SetFaults sets the switches.
func (e *Executor) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Ledger returns what ran so far.
func (e *Executor) Ledger() Ledger {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.ledger
	out.Runs = append([]Run(nil), e.ledger.Runs...)
	return out
}

// ServeHTTP implements http.Handler.
func (e *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case LedgerPath:
		responder.Write(w, http.StatusOK, e.Ledger())
	case FaultsPath:
		e.serveFaults(w, r)
	default:
		e.serve(w, r)
	}
}

func (e *Executor) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := responder.Read(r, &faults); err != nil {
		responder.Fail(w, http.StatusBadRequest, "BadBody", err.Error())
		return
	}
	e.SetFaults(faults)
	responder.Write(w, http.StatusOK, struct{}{})
}

func (e *Executor) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(requester.RequestIDHeader)
	w.Header().Set(requester.RequestIDHeader, id)
	faults, admitted := e.enter(Run{Request: cottonlanding.RequestID(id), Key: r.Header.Get(KeyHeader)})
	if faults.Leaving {
		w.Header().Set(requester.LeavingHeader, "true")
	}
	if !admitted {
		w.Header().Set(requester.NotRunHeader, "true")
		responder.Fail(w, http.StatusServiceUnavailable, "Full", "all slots are taken")
		return
	}
	defer e.leave()
	time.Sleep((e.serviceTime * cottonlanding.Millis(max(faults.Slower, 1))).Duration())
	if faults.FailEverything {
		responder.Fail(w, http.StatusInternalServerError, "Broken", "told to fail")
		return
	}
	body, err := responder.Body(r)
	if err != nil {
		responder.Fail(w, http.StatusBadRequest, "BadBody", err.Error())
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = fmt.Fprintf(w, "%s %s by %s: %s", r.Method, r.URL.Path, e.info.ID, body) // the caller is gone if this fails
}

// enter takes a slot if there is one.
func (e *Executor) enter(run Run) (Faults, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Leaving || e.active >= e.slots {
		e.ledger.Refused++
		return e.faults, false
	}
	e.active++
	e.ledger.Peak = max(e.ledger.Peak, e.active)
	e.ledger.Runs = append(e.ledger.Runs, run)
	return e.faults, true
}

func (e *Executor) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
}
