// Package registrar renews the session row by which other daemons see that this
// one is alive.
//
// The registrar counts the session's time to live from before it sent a
// renewal, so that the session expires in its own view before it does in any
// observer's.
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

// Prefix is the key prefix of the session rows.
const Prefix cottonlanding.Key = "Sessions/"

// renewalsPerTTL is the number of renewals of a session within its time to live.
const renewalsPerTTL = 4

// Session is the value of a session row.
type Session struct {
	ID          cottonlanding.SessionID
	DataCentre  cottonlanding.DataCentre
	HTTPAddress cottonlanding.Address
	PeerAddress cottonlanding.Address
	// Seat is the number of the process's share of the executors' slots in its
	// data centre, from 1; zero if it has none.
	Seat int
	// Starting is set while the process can't take over cells: it hasn't observed
	// the sessions for long enough to see that another one has ended, or lacks
	// its configuration or host list.
	Starting bool `json:",omitempty"`
	// Leaving is set once the process hands over its cells before it stops.
	Leaving bool
	// Beat changes with each renewal.
	Beat uint64
}

// SessionKey returns the key of a session's row.
func SessionKey(id cottonlanding.SessionID) cottonlanding.Key {
	return Prefix + cottonlanding.Key(id)
}

// NewID returns a new random id.
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

// State is a Registrar's state for diagnostics.
type State struct {
	Session Session
	// Remaining is the time until the session ends unless it is renewed.
	Remaining cottonlanding.Millis
	Renewals  int64
	Failures  int64
}

// New starts a Registrar that renews the session, whose time to live is ttl.
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

// Session returns the session with the latest local changes, which may not be written yet.
func (r *Registrar) Session() Session {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.session
}

// Valid reports whether the session is still alive for all observers.
func (r *Registrar) Valid() bool { return r.ValidUntil() > r.clock.Now() }

// ValidUntil returns when the session ends unless it is renewed.
func (r *Registrar) ValidUntil() cottonlanding.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.validUntil
}

// State returns the state for diagnostics.
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

// SetSeat changes the session's seat, zero to give it up, and renews the session at once.
func (r *Registrar) SetSeat(seat int) {
	r.change(func(s *Session) { s.Seat = seat })
}

// MarkStarted announces that this process can take over cells. Calls after the first have no effect.
func (r *Registrar) MarkStarted() {
	if r.Session().Starting {
		r.change(func(s *Session) { s.Starting = false })
	}
}

// Leave announces that this process is stopping and must be given no more cells.
func (r *Registrar) Leave() {
	r.change(func(s *Session) { s.Leaving = true })
}

func (r *Registrar) change(edit func(*Session)) {
	r.mu.Lock()
	edit(&r.session)
	r.mu.Unlock()
	r.renewNow.Wake()
}

// Close stops renewing and deletes the session row. It returns an error if the row couldn't be deleted;
// the session then ends after its time to live.
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

// renew sends one renewal. A failed renewal isn't retried: the next one follows
// soon, with the row's version as found by then.
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

// readVersion reads the row's version after a renewal whose effect is unknown.
// It doesn't extend the session.
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
