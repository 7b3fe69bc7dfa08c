package cottonlanding

import (
	"context"
	"strings"
)

// Key names a row. Parts are joined with '/'. What stands before a ':' is the
// row's partition.
type Key string

// Partition names rows that one transaction can write together.
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

// Version numbers a row's states. It grows with each write and is never used
// again, also after the row was deleted. Zero means that the row is absent.
type Version uint64

// TransactionID identifies a transaction; the table stores it in every row that
// the transaction wrote, so that a writer whose answer was lost can look.
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

// Write replaces, creates or deletes a row that has the expected version, unless
// it is unchecked.
type Write struct {
	Key    Key
	Expect Version
	Value  []byte
	Delete bool
	// Unchecked writes whatever version the row has. It is for rows that only one
	// writer changes, whose transactions a check of another row keeps serial.
	Unchecked bool
}

// Transaction takes effect as a whole, or not at all. All its rows are of one
// partition.
type Transaction struct {
	ID     TransactionID
	Checks []Check
	Writes []Write
}

// Receipt tells the version that all rows written by one transaction have.
type Receipt struct {
	Version Version
}

// Table is the platform's transactional table service.
type Table interface {
	// Commit applies the transaction. It returns ErrConflict if a version was
	// not the expected one, ErrUnavailable if it certainly had no effect, and
	// ErrAmbiguous if that is unknown; the copy sent may then still take effect
	// at any later time.
	Commit(ctx context.Context, transaction Transaction) (Receipt, error)
	// Read returns the rows that exist among keys.
	Read(ctx context.Context, keys ...Key) ([]Row, error)
	// Scan returns up to limit rows whose keys start with prefix and lie after
	// the key after, in order.
	Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
}

// ObjectName names an object of the object store.
type ObjectName string

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Put stores an object whole, replacing an older one.
	Put(ctx context.Context, name ObjectName, data []byte) error
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, name ObjectName) ([]byte, error)
	// Delete removes an object; one that is absent is no error.
	Delete(ctx context.Context, name ObjectName) error
}
