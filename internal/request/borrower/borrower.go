// Package borrower asks the lender of the data centre for slots, again and again.
package borrower

import (
	"context"
	"sync/atomic"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/repeater"
	"github.com/cottonlanding/cottonlanding/internal/request/lender"
)

const (
	interval    = 250 * cottonlanding.Millis(1)
	callTimeout = 500 * cottonlanding.Millis(1)
)

// Accounts are what is borrowed for.
type Accounts interface {
	Demands() []lender.Demand
	Granted(loans []lender.Loan, sent cottonlanding.Millis)
}

// Lenders reaches the lender of the data centre.
type Lenders interface {
	Borrow(ctx context.Context, report lender.Report) ([]lender.Loan, error)
}

// Borrower reports demand and takes in loans.
type Borrower struct {
	session  cottonlanding.SessionID
	clock    cottonlanding.Clock
	accounts Accounts
	lenders  Lenders
	reports  atomic.Int64
	failures atomic.Int64

	duty *repeater.Repeater
	// sequence is used by the duty only.
	sequence uint64
}

// State is a borrower's dump.
type State struct {
	Reports  int64
	Failures int64
}

// New starts to borrow for a session.
func New(session cottonlanding.SessionID, clock cottonlanding.Clock, accounts Accounts, lenders Lenders) *Borrower {
	b := &Borrower{session: session, clock: clock, accounts: accounts, lenders: lenders}
	b.duty = repeater.New(interval, b.report)
	return b
}

// State returns the dump.
func (b *Borrower) State() State {
	return State{Reports: b.reports.Load(), Failures: b.failures.Load()}
}

// Close stops asking; loans end by themselves.
func (b *Borrower) Close() { b.duty.Close() }

func (b *Borrower) report(ctx context.Context) {
	demands := b.accounts.Demands()
	if len(demands) == 0 {
		return
	}
	b.reports.Add(1)
	b.sequence++
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	sent := b.clock.Now()
	loans, err := b.lenders.Borrow(ctx, lender.Report{Session: b.session, Sequence: b.sequence, Demands: demands})
	if err != nil {
		b.failures.Add(1)
		return
	}
	b.accounts.Granted(loans, sent)
}
