// Package registrar keeps the session row by which other daemons see that this
// one is alive.
//
// The holder counts the session's time from before it sent a renewal, so that
// it never believes in its session for longer than any observer does.
package registrar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"github.com/google/uuid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/pauser"
	"github.com/cottonlanding/cottonlanding/internal/duty/waker"
)

// Prefix is where the session rows are.
const Prefix cottonlanding.Key = "Sessions/"

// renewalsPerTTL is how often a session is renewed within its time to live.
const renewalsPerTTL = 4

// Session is the value of a session row.
type Session struct {
	ID          cottonlanding.SessionID
	DataCentre  cottonlanding.DataCentre
	HTTPAddress cottonlanding.Address
	PeerAddress cottonlanding.Address
	// Seat numbers the holder's share of the executors' slots in its data
	// centre, from 1. Zero is none.
	Seat int
	// Starting tells that the holder can't take over yet: it has not watched for as
	// long as it takes to see that another session has ended, or lacks what it needs.
	Starting bool `json:",omitempty"`
	// Leaving tells that the holder hands over and will end.
	Leaving bool
	// Beat changes with each renewal.
	Beat uint64
}

// SessionKey returns the key of a session's row.
func SessionKey(id cottonlanding.SessionID) cottonlanding.Key {
	return Prefix + cottonlanding.Key(id)
}

// NewID returns an id that was never used.
func NewID() cottonlanding.SessionID {
	return cottonlanding.SessionID(uuid.NewString())
}

// Registrar renews one session.
type Registrar struct {
	table cottonlanding.Table
	clock cottonlanding.Clock
	ttl   cottonlanding.Millis

	mu         sync.Mutex
	session    Session
	version    cottonlanding.Version
	validUntil cottonlanding.Millis
	renewals   int64
	failures   int64

	renewNow waker.Waker
	ctx      context.Context
	cancel   context.CancelFunc
	ended    chan struct{}
}

// State is a registrar's dump.
type State struct {
	Session Session
	// Remaining is how long the session lasts without a further renewal.
	Remaining cottonlanding.Millis
	Renewals  int64
	Failures  int64
}

// New starts to renew the session with the time to live ttl.
func New(table cottonlanding.Table, clock cottonlanding.Clock, session Session, ttl cottonlanding.Millis) *Registrar {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Registrar{
		table:    table,
		clock:    clock,
		ttl:      ttl,
		session:  session,
		renewNow: waker.New(),
		ctx:      ctx,
		cancel:   cancel,
		ended:    make(chan struct{}),
	}
	go func() {
		defer close(r.ended)
		r.run()
	}()
	return r
}

// Session returns the session as last changed here.
func (r *Registrar) Session() Session {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.session
}

// Valid reports whether no observer can have seen the session end yet.
func (r *Registrar) Valid() bool { return r.ValidUntil() > r.clock.Now() }

// ValidUntil returns when the session ends unless it is renewed.
func (r *Registrar) ValidUntil() cottonlanding.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.validUntil
}

// State returns the dump.
func (r *Registrar) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{
		Session:   r.session,
		Remaining: max(0, r.validUntil-r.clock.Now()),
		Renewals:  r.renewals,
		Failures:  r.failures,
	}
}

// SetSeat takes or gives up a seat with the next renewal, which is sent at once.
func (r *Registrar) SetSeat(seat int) {
	r.change(func(s *Session) { s.Seat = seat })
}

// MarkStarted tells observers that this holder can take over, once.
func (r *Registrar) MarkStarted() {
	if r.Session().Starting {
		r.change(func(s *Session) { s.Starting = false })
	}
}

// Leave tells observers to give this holder nothing more.
func (r *Registrar) Leave() {
	r.change(func(s *Session) { s.Leaving = true })
}

func (r *Registrar) change(edit func(*Session)) {
	r.mu.Lock()
	edit(&r.session)
	r.mu.Unlock()
	r.renewNow.Wake()
}

// Close stops renewing and deletes the row if the table can be reached.
func (r *Registrar) Close(ctx context.Context) error {
	r.cancel()
	<-r.ended
	r.mu.Lock()
	write := cottonlanding.Write{Key: SessionKey(r.session.ID), Expect: r.version, Delete: true}
	r.validUntil = 0
	r.mu.Unlock()
	if write.Expect == 0 {
		return nil
	}
	transaction := cottonlanding.Transaction{ID: newTransactionID(), Writes: []cottonlanding.Write{write}}
	if _, err := r.table.Commit(ctx, transaction); err != nil {
		return fmt.Errorf("delete session: %w", err)
	}
	return nil
}

func (r *Registrar) run() {
	interval := r.ttl / renewalsPerTTL
	for r.ctx.Err() == nil {
		r.renew(interval)
		pauser.Wait(r.ctx, interval, r.renewNow)
	}
}

// renew sends one renewal. A renewal that failed is not repeated: the next one
// follows soon and expects the version that is found then.
func (r *Registrar) renew(timeout cottonlanding.Millis) {
	ctx, cancel := context.WithTimeout(r.ctx, timeout.Duration())
	defer cancel()
	r.mu.Lock()
	r.session.Beat++
	session, version := r.session, r.version
	r.mu.Unlock()
	value, err := json.Marshal(session)
	if err != nil {
		panic(fmt.Sprintf("encode session: %v", err)) // the type has no field that can fail
	}
	sent := r.clock.Now()
	receipt, err := r.table.Commit(ctx, cottonlanding.Transaction{
		ID:     newTransactionID(),
		Writes: []cottonlanding.Write{{Key: SessionKey(session.ID), Expect: version, Value: value}},
	})
	if err == nil {
		r.recordRenewal(receipt.Version, sent)
		return
	}
	r.recordFailure()
	if errors.Is(err, cottonlanding.ErrConflict) || errors.Is(err, cottonlanding.ErrAmbiguous) {
		r.readVersion(ctx)
	}
}

func (r *Registrar) recordRenewal(version cottonlanding.Version, sent cottonlanding.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
	r.validUntil = sent + r.ttl
	r.renewals++
}

func (r *Registrar) recordFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures++
}

// readVersion learns the row's version after a renewal whose effect is unknown. The
// session's time is not extended by it.
func (r *Registrar) readVersion(ctx context.Context) {
	rows, err := r.table.Read(ctx, SessionKey(r.Session().ID))
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = 0
	if len(rows) == 1 {
		r.version = rows[0].Version
	}
}

func newTransactionID() cottonlanding.TransactionID {
	return cottonlanding.TransactionID(uuid.NewString())
}
