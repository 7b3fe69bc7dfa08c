package cottonlanding

import "errors"

// Errors that cross the interfaces of this package. Implementations wrap them
// with what they know; callers test with errors.Is.
var (
	// ErrBadName reports a name that operators may not choose.
	ErrBadName = errors.New("bad name")
	// ErrConflict reports a transaction that was refused because a row had
	// another version than expected. Nothing was written.
	ErrConflict = errors.New("conflict")
	// ErrUnavailable reports an operation that certainly had no effect because
	// the other side could not be reached.
	ErrUnavailable = errors.New("unavailable")
	// ErrAmbiguous reports an operation whose effect is unknown because its
	// answer was lost.
	ErrAmbiguous = errors.New("outcome unknown")
	// ErrNotFound reports a row, object or name that does not exist.
	ErrNotFound = errors.New("not found")
	// ErrStaleEpoch reports that a worker has seen a newer owner.
	ErrStaleEpoch = errors.New("stale epoch")
	// ErrRefused reports a command that a worker will never carry out.
	ErrRefused = errors.New("refused by the worker")
	// ErrCannotRun reports a job that fits no worker of the cell.
	ErrCannotRun = errors.New("fits no worker")
	// ErrBusy reports that a bounded queue is full.
	ErrBusy = errors.New("queue full")
	// ErrLate reports an order whose time had passed when it arrived.
	ErrLate = errors.New("too late")
	// ErrOtherLife reports that another life answered than the one addressed, so
	// that nothing of the one addressed goes on.
	ErrOtherLife = errors.New("another life answered")
	// ErrNotOwner reports a call that reached a host that doesn't own the cell.
	ErrNotOwner = errors.New("not the owner of the cell")
	// ErrHistoryGone reports a feed that can't be continued from a version.
	ErrHistoryGone = errors.New("the store has forgotten that history")
)
