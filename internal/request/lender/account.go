package lender

import "github.com/cottonlanding/cottonlanding"

// Account is a borrower's side of one service. Its owner reports again and
// again, one report at a time.
type Account struct {
	units int
	until cottonlanding.Millis
}

// Units returns how many units may be used now.
func (a *Account) Units(now cottonlanding.Millis) int {
	if now >= a.until {
		return 0
	}
	return a.units
}

// Demand makes the next report; inUse counts units that requests run on. Until
// the report is answered, no more than want is used.
func (a *Account) Demand(service cottonlanding.ServiceName, want, inUse int, now cottonlanding.Millis) Demand {
	a.units = min(a.Units(now), want)
	return Demand{Service: service, Want: want, Using: max(a.units, inUse)}
}

// Granted takes in the answer to the report that was sent at sent.
func (a *Account) Granted(units int, sent cottonlanding.Millis) {
	a.units, a.until = units, sent+Term
}
