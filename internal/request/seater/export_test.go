package seater

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/registrar"
)

// Seat is the value of a seat's row, for tests of the format.
type Seat = seat

// SeatKey returns the key of a seat's row in the data centre without a name.
func SeatKey(number int) cottonlanding.Key {
	return (&Seater{registrar: &registrar.Registrar{}}).key(number)
}
