// Package seater holds a daemon's seat: the number that entitles it to a fixed
// share of the slots of every executor of its data centre.
//
// A seat outlives its holder's session by a grace, because a holder that is cut
// off from the table goes on using its share. A daemon that has the address of a
// former holder proves by that that the holder is gone.
package seater

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"

	"github.com/google/uuid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/observer"
	"github.com/cottonlanding/cottonlanding/internal/coordination/registrar"
	"github.com/cottonlanding/cottonlanding/internal/duty/repeater"
)

const (
	prefix      cottonlanding.Key = "Seats/"
	interval                      = 500 * cottonlanding.Millis(1)
	callTimeout                   = 2 * cottonlanding.Second
)

// seat is the value of a seat's row.
type seat struct {
	Holder  cottonlanding.SessionID
	Address cottonlanding.Address
}

// Views shows who is alive.
type Views interface {
	View() observer.View
}

// Seater claims and keeps a seat.
type Seater struct {
	table     cottonlanding.Table
	clock     cottonlanding.Clock
	registrar *registrar.Registrar
	views     Views
	seats     int
	grace     cottonlanding.Millis

	mu      sync.Mutex
	number  int
	version cottonlanding.Version
	// settling is the wait for the requests of a former holder to end.
	settling   cottonlanding.Millis
	usableFrom cottonlanding.Millis

	duty *repeater.Repeater
}

// State is a seater's dump.
type State struct {
	// Number is the seat, or zero.
	Number int
	Seats  int
	// Usable says that the share may be used.
	Usable bool
}

// New starts to claim one of the data centre's seats. A seat of a session that
// ended is free after grace.
func New(table cottonlanding.Table, clock cottonlanding.Clock, registrar *registrar.Registrar, views Views, seats int, grace cottonlanding.Millis) *Seater {
	s := &Seater{
		table:     table,
		clock:     clock,
		registrar: registrar,
		views:     views,
		seats:     seats,
		grace:     grace,
	}
	s.duty = repeater.New(interval, s.step)
	return s
}

// SetSettling sets how long the requests of a former holder may go on.
func (s *Seater) SetSettling(span cottonlanding.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settling = span
}

// Seated reports whether the share may be used now.
func (s *Seater) Seated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	return s.number > 0 && now >= s.usableFrom && now < s.registrar.ValidUntil()+s.grace
}

// State returns the dump.
func (s *Seater) State() State {
	usable := s.Seated()
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{Number: s.number, Seats: s.seats, Usable: usable}
}

// Close gives the seat back. Nothing may use the share any more.
func (s *Seater) Close(ctx context.Context) error {
	s.duty.Close()
	s.mu.Lock()
	number, version := s.number, s.version
	s.number = 0
	s.mu.Unlock()
	if number == 0 {
		return nil
	}
	write := cottonlanding.Write{Key: s.key(number), Expect: version, Delete: true}
	if _, err := s.table.Commit(ctx, transaction(write)); err != nil {
		return fmt.Errorf("give back seat %d: %w", number, err)
	}
	return nil
}

func (s *Seater) step(ctx context.Context) {
	if s.State().Number == 0 && s.registrar.Valid() && s.views.View().Read > 0 {
		s.claim(ctx)
	}
}

// claim takes the first seat that is free.
func (s *Seater) claim(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	keys := make([]cottonlanding.Key, s.seats)
	for i := range keys {
		keys[i] = s.key(i + 1)
	}
	rows, err := s.table.Read(ctx, keys...)
	if err != nil {
		return
	}
	taken := make(map[cottonlanding.Key]cottonlanding.Row, len(rows))
	for _, row := range rows {
		taken[row.Key] = row
	}
	for number := 1; number <= s.seats; number++ {
		row := taken[s.key(number)]
		if free, inherited := s.free(row); free && s.take(ctx, number, row.Version, inherited) {
			return
		}
	}
}

// free reports whether a seat can be taken, and whether a former holder's
// requests may still be under way.
func (s *Seater) free(row cottonlanding.Row) (free, inherited bool) {
	if row.Version == 0 {
		return true, false
	}
	var value seat
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return false, false
	}
	self := s.registrar.Session()
	if value.Holder == self.ID || value.Address == self.HTTPAddress {
		return true, value.Holder != self.ID
	}
	view := s.views.View()
	ended, known := view.Ended[value.Holder]
	return known && s.clock.Now() >= ended+s.grace, true
}

func (s *Seater) take(ctx context.Context, number int, version cottonlanding.Version, inherited bool) bool {
	self := s.registrar.Session()
	value, err := json.Marshal(seat{Holder: self.ID, Address: self.HTTPAddress})
	if err != nil {
		return false
	}
	write := cottonlanding.Write{Key: s.key(number), Expect: version, Value: value}
	receipt, err := s.table.Commit(ctx, transaction(write))
	if err != nil {
		return errors.Is(err, cottonlanding.ErrAmbiguous) // look again at the next tick, at no other seat now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number, s.version = number, receipt.Version
	s.usableFrom = s.clock.Now()
	if inherited {
		s.usableFrom += s.settling
	}
	s.registrar.SetSeat(number)
	return true
}

func (s *Seater) key(number int) cottonlanding.Key {
	return prefix + cottonlanding.Key(s.registrar.Session().DataCentre) + "/" + cottonlanding.Key(strconv.Itoa(number))
}

func transaction(write cottonlanding.Write) cottonlanding.Transaction {
	return cottonlanding.Transaction{
		ID:     cottonlanding.TransactionID(uuid.NewString()),
		Writes: []cottonlanding.Write{write},
	}
}
