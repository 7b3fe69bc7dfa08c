package cottonlanding

import (
	"context"
	"strings"
)

// Key identifies a row. Its parts are joined with '/'; what precedes a ':' is the row's partition.
type Key string

// Partition names a set of rows that one transaction can write together.
type Partition string

// Partition returns the partition of the row, which is empty for a key without ':'.
func (k Key) Partition() Partition {
	partition, _, found := strings.Cut(string(k), ":")
	if !found {
		return ""
	}
	return Partition(partition)
}

// Name returns the key within its partition.
func (k Key) Name() string {
	if _, name, found := strings.Cut(string(k), ":"); found {
		return name
	}
	return string(k)
}

// Key returns the key of a row of the partition.
func (p Partition) Key(name string) Key { return Key(string(p) + ":" + name) }

// Version numbers the states of a row. It grows with each write and is never reused, not even after a
// deletion. Zero means that the row is absent.
type Version uint64

// TransactionID identifies a transaction. The table stores it in every row that the transaction wrote,
// so that a writer whose answer was lost can find out whether the transaction took effect.
type TransactionID string

// Row is one row of the table.
type Row struct {
	Key         Key
	Version     Version
	Transaction TransactionID
	Value       []byte
}

// Check requires a row to have a version for the transaction to take effect.
type Check struct {
	Key    Key
	Expect Version
}

// Write replaces, creates or deletes a row that has the expected version, unless it is unchecked.
type Write struct {
	Key    Key
	Expect Version
	Value  []byte
	Delete bool
	// Unchecked writes the row whatever its version. It is for rows with a single writer whose
	// transactions are serialized by a check of another row.
	Unchecked bool
}

// Transaction takes effect atomically. All its rows are of one partition.
type Transaction struct {
	ID     TransactionID
	Checks []Check
	Writes []Write
}

// Receipt holds the version that all rows written by a transaction have.
type Receipt struct {
	Version Version
}

// Table is the platform's transactional table service.
type Table interface {
	// Commit applies the transaction. It returns ErrConflict if a version was not the expected one,
	// ErrUnavailable if the transaction is known to have had no effect, and ErrAmbiguous if that is
	// unknown; a copy under way may then still take effect at any later time.
	Commit(ctx context.Context, transaction Transaction) (Receipt, error)
	// Read returns those of the rows that exist.
	Read(ctx context.Context, keys ...Key) ([]Row, error)
	// Scan returns, in order, up to limit rows whose keys start with prefix and come after the key
	// after.
	Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
}

// ObjectName names an object of the object store.
type ObjectName string

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Put stores a complete object, replacing an older one.
	Put(ctx context.Context, name ObjectName, data []byte) error
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, name ObjectName) ([]byte, error)
	// Delete removes an object; it is no error if the object is absent.
	Delete(ctx context.Context, name ObjectName) error
}
