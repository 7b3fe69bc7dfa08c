// Package keeper keeps the platform's table, objects and host list in memory,
// for the embedded default, the stand-ins and tests.
package keeper

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/cottonlanding/cottonlanding"
)

// Keeper implements cottonlanding.Table, ObjectStore and HostList.
type Keeper struct {
	mu      sync.Mutex
	version cottonlanding.Version
	rows    map[cottonlanding.Key]cottonlanding.Row
	keys    []cottonlanding.Key // sorted
	objects map[cottonlanding.ObjectName][]byte
	hosts   hostTable
	counts  Counts
	// written is closed with the next commit.
	written chan struct{}
}

// Counts tells how much the platform was used.
type Counts struct {
	Commits   int64
	Conflicts int64
	RowWrites int64
	Reads     int64
	Scans     int64
	Objects   int64
}

// New returns an empty keeper.
func New() *Keeper {
	return &Keeper{
		rows:    make(map[cottonlanding.Key]cottonlanding.Row),
		objects: make(map[cottonlanding.ObjectName][]byte),
		hosts:   newHostTable(),
		version: 1, // a feed takes zero for the whole table
		written: make(chan struct{}),
	}
}

// Commit implements cottonlanding.Table.
func (k *Keeper) Commit(ctx context.Context, transaction cottonlanding.Transaction) (cottonlanding.Receipt, error) {
	if err := ctx.Err(); err != nil {
		return cottonlanding.Receipt{}, fmt.Errorf("%w: %w", cottonlanding.ErrUnavailable, err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.verify(transaction); err != nil {
		k.counts.Conflicts++
		return cottonlanding.Receipt{}, err
	}
	k.version++
	for _, write := range transaction.Writes {
		k.apply(transaction.ID, write)
	}
	close(k.written)
	k.written = make(chan struct{})
	k.counts.Commits++
	k.counts.RowWrites += int64(len(transaction.Writes))
	return cottonlanding.Receipt{Version: k.version}, nil
}

func (k *Keeper) verify(transaction cottonlanding.Transaction) error {
	for _, check := range transaction.Checks {
		if err := k.expect(check.Key, check.Expect); err != nil {
			return err
		}
	}
	for _, write := range transaction.Writes {
		if write.Unchecked {
			continue
		}
		if err := k.expect(write.Key, write.Expect); err != nil {
			return err
		}
	}
	return nil
}

func (k *Keeper) expect(key cottonlanding.Key, version cottonlanding.Version) error {
	if found := k.rows[key].Version; found != version {
		return fmt.Errorf("%w: %s has version %d, expected %d", cottonlanding.ErrConflict, key, found, version)
	}
	return nil
}

func (k *Keeper) apply(id cottonlanding.TransactionID, write cottonlanding.Write) {
	at, found := slices.BinarySearch(k.keys, write.Key)
	if write.Delete {
		if found {
			k.keys = slices.Delete(k.keys, at, at+1)
			delete(k.rows, write.Key)
		}
		return
	}
	if !found {
		k.keys = slices.Insert(k.keys, at, write.Key)
	}
	k.rows[write.Key] = cottonlanding.Row{
		Key: write.Key, Version: k.version, Transaction: id, Value: slices.Clone(write.Value),
	}
}

// Read implements cottonlanding.Table.
func (k *Keeper) Read(ctx context.Context, keys ...cottonlanding.Key) ([]cottonlanding.Row, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", cottonlanding.ErrUnavailable, err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Reads++
	var out []cottonlanding.Row
	for _, key := range keys {
		if row, found := k.rows[key]; found {
			out = append(out, row)
		}
	}
	return out, nil
}

// Scan implements cottonlanding.Table.
func (k *Keeper) Scan(ctx context.Context, prefix, after cottonlanding.Key, limit int) ([]cottonlanding.Row, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", cottonlanding.ErrUnavailable, err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Scans++
	start := sort.Search(len(k.keys), func(i int) bool { return k.keys[i] >= prefix && k.keys[i] > after })
	var out []cottonlanding.Row
	for _, key := range k.keys[start:] {
		if !strings.HasPrefix(string(key), string(prefix)) || len(out) == limit {
			break
		}
		out = append(out, k.rows[key])
	}
	return out, nil
}

// Put implements cottonlanding.ObjectStore.
func (k *Keeper) Put(_ context.Context, name cottonlanding.ObjectName, data []byte) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Objects++
	k.objects[name] = slices.Clone(data)
	return nil
}

// Get implements cottonlanding.ObjectStore.
func (k *Keeper) Get(_ context.Context, name cottonlanding.ObjectName) ([]byte, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	data, found := k.objects[name]
	if !found {
		return nil, fmt.Errorf("object %s: %w", name, cottonlanding.ErrNotFound)
	}
	return slices.Clone(data), nil
}

// Delete implements cottonlanding.ObjectStore.
func (k *Keeper) Delete(_ context.Context, name cottonlanding.ObjectName) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.objects, name)
	return nil
}

// Counts returns the use so far.
func (k *Keeper) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}
