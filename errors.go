package cottonlanding

import "errors"

// Errors that cross the interfaces of this package. Implementations wrap them with details; callers
// test them with errors.Is.
var (
	// ErrBadName reports a name that is not allowed.
	ErrBadName = errors.New("bad name")
	// ErrConflict reports a transaction that was refused because a row had another version than
	// expected. Nothing was written.
	ErrConflict = errors.New("conflict")
	// ErrUnavailable reports an operation that is known to have had no effect because the other side
	// could not be reached.
	ErrUnavailable = errors.New("unavailable")
	// ErrAmbiguous reports an operation whose effect is unknown because its answer was lost.
	ErrAmbiguous = errors.New("outcome unknown")
	// ErrNotFound reports a row, object or name that does not exist.
	ErrNotFound = errors.New("not found")
	// ErrStaleEpoch reports that a worker has seen a newer owner.
	ErrStaleEpoch = errors.New("stale epoch")
	// ErrRefused reports a command that a worker will never carry out.
	ErrRefused = errors.New("refused by the worker")
	// ErrCannotRun reports a job that fits no worker of the cell or exceeds its account's quota, or a
	// workflow that is inconsistent.
	ErrCannotRun = errors.New("fits no worker")
	// ErrBusy reports that a bounded queue is full.
	ErrBusy = errors.New("queue full")
	// ErrLate reports an order that arrived after its deadline.
	ErrLate = errors.New("too late")
	// ErrOtherLife reports that another life of a worker answered than the one addressed, so that
	// nothing of the one addressed runs any more.
	ErrOtherLife = errors.New("another life answered")
	// ErrNotOwner reports a call to a host that doesn't own the cell.
	ErrNotOwner = errors.New("not the owner of the cell")
	// ErrHistoryGone reports that a feed can't be continued from a version because the changes after
	// it are no longer available.
	ErrHistoryGone = errors.New("the store has forgotten that history")
)

// retryError is an error after which the operation may be tried again.
type retryError struct {
	err   error
	after Millis
}

// Error implements error.
func (e *retryError) Error() string { return e.err.Error() }

// Unwrap returns the error without its retry time.
func (e *retryError) Unwrap() error { return e.err }

// WithRetryAfter returns err with the time after which the operation should be tried again.
func WithRetryAfter(err error, after Millis) error { return &retryError{err, after} }

// RetryAfter returns the time after which an operation that failed with err should be tried again, and false if err
// has none.
func RetryAfter(err error) (Millis, bool) {
	var retry *retryError
	if !errors.As(err, &retry) {
		return 0, false
	}
	return retry.after, true
}
