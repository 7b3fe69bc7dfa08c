// Package lender lends the slots of executors that the division among seats
// leaves over.
//
// A unit is one slot on every executor of a service in the data centre. A loan
// lasts for a short term from when its borrower asked for it; the lender counts
// it until the term and any request begun within it have surely ended, or until
// the borrower reports that it uses it no more.
package lender

import (
	"sync"

	"github.com/cottonlanding/cottonlanding"
)

// Term is how long a loan may be used without being asked for again.
const Term = 2 * cottonlanding.Second

// driftDivisor bounds the drift of a borrower's clock by 1/50.
const driftDivisor = 50

// Demand is what a borrower says of one service.
type Demand struct {
	Service cottonlanding.ServiceName
	// Want is how many units the borrower would use. From this report on it uses
	// no more than that. Using is how many it may still use or has requests on.
	Want  int
	Using int
}

// Loan is what a borrower may use of one service.
type Loan struct {
	Service cottonlanding.ServiceName
	Units   int
}

// Report is a borrower's message.
type Report struct {
	Session cottonlanding.SessionID
	// Sequence orders the reports of a session; older ones are ignored.
	Sequence uint64
	Demands  []Demand
}

// Lender lends while its daemon is the lender of the data centre.
type Lender struct {
	// valid reports whether the daemon's session holds.
	valid func() bool

	mu        sync.Mutex
	seats     int
	services  map[cottonlanding.ServiceName]*book
	sequences map[cottonlanding.SessionID]uint64
	// since is when this daemon became the lender; zero while it isn't.
	since cottonlanding.Millis
	// longest is how long a request can go on at an executor.
	longest cottonlanding.Millis
}

// book holds the loans of one service.
type book struct {
	surplus int
	loans   map[cottonlanding.SessionID]*loan
}

type loan struct {
	units int
	want  int
	// until is when the loan has surely ended.
	until cottonlanding.Millis
}

// State is a lender's dump.
type State struct {
	Lending  bool
	Services []ServiceState
}

// ServiceState is the state of one service's surplus.
type ServiceState struct {
	Service   cottonlanding.ServiceName
	Surplus   int
	Lent      int
	Borrowers int
}

// New returns a lender for a data centre with so many seats. It lends only while
// valid reports that the daemon's session holds.
func New(seats int, valid func() bool) *Lender {
	return &Lender{
		valid:     valid,
		seats:     seats,
		services:  make(map[cottonlanding.ServiceName]*book),
		sequences: make(map[cottonlanding.SessionID]uint64),
	}
}

// SetServices takes in the services; longest bounds a request at an executor.
func (l *Lender) SetServices(services []cottonlanding.Service, longest cottonlanding.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.longest = longest
	for _, service := range services {
		b := l.services[service.Name]
		if b == nil {
			b = &book{loans: make(map[cottonlanding.SessionID]*loan)}
			l.services[service.Name] = b
		}
		b.surplus = service.Slots % l.seats
	}
}

// SetLending says whether this daemon is the lender at present.
func (l *Lender) SetLending(lending bool, now cottonlanding.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !lending:
		l.since = 0
	case l.since == 0:
		l.since = now
		for _, b := range l.services {
			clear(b.loans)
		}
	}
}

// span is how long a loan made now must be counted.
func (l *Lender) span() cottonlanding.Millis { return Term + Term/driftDivisor + l.longest }

// Borrow answers a report. The error is ErrNotOwner if this daemon isn't the
// lender, or not for long enough for a former lender's loans to have ended.
func (l *Lender) Borrow(report Report, now cottonlanding.Millis) ([]Loan, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since == 0 || now < l.since+l.span() || !l.valid() {
		return nil, cottonlanding.ErrNotOwner
	}
	if report.Sequence <= l.sequences[report.Session] {
		return nil, cottonlanding.ErrConflict
	}
	l.sequences[report.Session] = report.Sequence
	var out []Loan
	for _, demand := range report.Demands {
		if b := l.services[demand.Service]; b != nil {
			out = append(out, Loan{Service: demand.Service, Units: b.borrow(report.Session, demand, now, l.span())})
		}
	}
	return out, nil
}

// borrow grants what is free, and counts what the borrower can't give back yet
// until it reports less or the span is over.
func (b *book) borrow(session cottonlanding.SessionID, demand Demand, now, span cottonlanding.Millis) int {
	b.expire(now)
	mine := b.loans[session]
	if mine == nil {
		mine = &loan{}
		b.loans[session] = mine
	}
	mine.want = demand.Want
	free := b.surplus - (b.lent() - mine.units)
	granted := max(min(demand.Want, b.fair(), free), 0)
	mine.units = max(granted, demand.Using)
	mine.until = now + span
	return granted
}

// expire forgets loans that have surely ended.
func (b *book) expire(now cottonlanding.Millis) {
	for session, l := range b.loans {
		if now > l.until {
			delete(b.loans, session)
		}
	}
}

// fair is the most that one borrower gets while several want more than there is.
func (b *book) fair() int {
	wanting, total := 0, 0
	for _, l := range b.loans {
		if l.want > 0 {
			wanting++
			total += l.want
		}
	}
	if wanting == 0 || total <= b.surplus {
		return b.surplus
	}
	return (b.surplus + wanting - 1) / wanting
}

func (b *book) lent() int {
	sum := 0
	for _, l := range b.loans {
		sum += l.units
	}
	return sum
}

// State returns the dump.
func (l *Lender) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := State{Lending: l.since > 0}
	for name, b := range l.services {
		out.Services = append(out.Services, ServiceState{Service: name, Surplus: b.surplus, Lent: b.lent(), Borrowers: len(b.loans)})
	}
	return out
}
