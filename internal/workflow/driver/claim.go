package driver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"github.com/cottonlanding/cottonlanding"
)

// fenceRow is the row that every transaction of a cell checks. Who owns the cell stands
// in another partition, which a transaction can't check.
const fenceRow = "Fence"

// fence is the value of that row.
type fence struct {
	// Epoch is that of the owner which wrote it.
	Epoch cottonlanding.Epoch
	// BoundsKeptSince is the epoch from which on all owners that have written the row keep to lease bounds.
	BoundsKeptSince cottonlanding.Epoch `json:",omitempty"`
}

// errSuperseded reports that a later owner has written the fence.
var errSuperseded = errors.New("a later owner has claimed the cell")

// claim writes the fence of this ownership, until that succeeds. From then on no owner
// before commits anything, so that what is read afterwards stays.
func (d *Driver) claim() (cottonlanding.Check, fence, error) {
	for {
		check, written, err := d.tryClaim()
		if err == nil || errors.Is(err, errSuperseded) || d.ctx.Err() != nil {
			return check, written, err
		}
		d.deps.Log.Warn("claim the cell", "Epoch", d.setup.Epoch, "Error", err)
		d.sleep(loadRetryInterval)
	}
}

func (d *Driver) tryClaim() (cottonlanding.Check, fence, error) {
	key := d.setup.Partition.Key(fenceRow)
	rows, err := d.read(key)
	if err != nil {
		return cottonlanding.Check{}, fence{}, err
	}
	next := fence{Epoch: d.setup.Epoch, BoundsKeptSince: d.setup.Epoch}
	write := cottonlanding.Write{Key: key}
	for _, row := range rows {
		var previous fence
		if err := json.Unmarshal(row.Value, &previous); err != nil {
			return cottonlanding.Check{}, fence{}, fmt.Errorf("row %s: %w", key, err)
		}
		if previous.Epoch == d.setup.Epoch {
			return cottonlanding.Check{Key: key, Expect: row.Version}, previous, nil // an answer was lost
		}
		if previous.Epoch > d.setup.Epoch {
			return cottonlanding.Check{}, fence{}, fmt.Errorf("%w: epoch %d", errSuperseded, previous.Epoch)
		}
		write.Expect = row.Version
		if previous.BoundsKeptSince > 0 {
			next.BoundsKeptSince = previous.BoundsKeptSince
		}
	}
	write.Value = encodeFence(next)
	ctx, cancel := context.WithTimeout(d.ctx, tableTimeout.Duration())
	defer cancel()
	receipt, err := d.deps.Table.Commit(ctx, cottonlanding.Transaction{
		ID:     cottonlanding.TransactionID(uuid.NewString()),
		Writes: []cottonlanding.Write{write},
	})
	return cottonlanding.Check{Key: key, Expect: receipt.Version}, next, err
}

func encodeFence(value fence) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode fence: %v", err)) // the type has no field that can fail
	}
	return data
}
