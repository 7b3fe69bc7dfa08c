// Package seizer changes the owner of a cell. Each owner has a higher epoch than
// all owners before it, and the version of the owner row guards all its writes.
//
// It serves the cells of jobs, together with the packages registrar and observer;
// the cells of workflows use the package holder.
package seizer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/observer"
)

// Seizer writes owner rows.
type Seizer struct {
	table cottonlanding.Table
}

// New returns a Seizer that writes to table.
func New(table cottonlanding.Table) *Seizer { return &Seizer{table: table} }

// Seize makes session the owner in place of the one in row, which the caller
// knows to have ended or to have released the cell. For a cell that never had an
// owner, row has only its Cell set. The error is ErrConflict if another process
// changed the row first, ErrUnavailable, or ErrAmbiguous. After ErrAmbiguous the
// row may still come to name the session; its epoch must then be superseded by
// another Seize.
func (s *Seizer) Seize(ctx context.Context, row observer.OwnerRow, session cottonlanding.SessionID) (observer.OwnerRow, error) {
	next := observer.Ownership{Cell: row.Cell, Owner: session, Epoch: row.Epoch + 1}
	return s.replace(ctx, row, next)
}

// Release gives up a cell, so that another process can seize it without waiting
// for the session to end. Its errors are those of Seize.
func (s *Seizer) Release(ctx context.Context, row observer.OwnerRow) error {
	_, err := s.replace(ctx, row, observer.Ownership{Cell: row.Cell, Epoch: row.Epoch})
	return err
}

// Guard returns the check that fails once the owner row has changed, as when another owner seized the cell.
func Guard(row observer.OwnerRow) cottonlanding.Check {
	return cottonlanding.Check{Key: observer.OwnerKey(row.Cell), Expect: row.Version}
}

// replace writes an owner row. After a lost answer it reads the row back to see whether the write took
// effect.
func (s *Seizer) replace(ctx context.Context, row observer.OwnerRow, next observer.Ownership) (observer.OwnerRow, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return observer.OwnerRow{}, fmt.Errorf("encode owner row: %w", err)
	}
	key := observer.OwnerKey(next.Cell)
	transaction := cottonlanding.Transaction{
		ID:     cottonlanding.TransactionID(uuid.NewString()),
		Writes: []cottonlanding.Write{{Key: key, Expect: row.Version, Value: value}},
	}
	receipt, err := s.table.Commit(ctx, transaction)
	if err == nil {
		return observer.OwnerRow{Ownership: next, Version: receipt.Version}, nil
	}
	if !errors.Is(err, cottonlanding.ErrAmbiguous) {
		return observer.OwnerRow{}, err
	}
	rows, readErr := s.table.Read(ctx, key)
	if readErr == nil && len(rows) == 1 && rows[0].Transaction == transaction.ID {
		return observer.OwnerRow{Ownership: next, Version: rows[0].Version}, nil
	}
	return observer.OwnerRow{}, err
}
