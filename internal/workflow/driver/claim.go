package driver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"github.com/cottonlanding/cottonlanding"
)

// fenceRow is the row that every transaction of a cell checks. The owner of the cell is recorded in another partition,
// which a transaction can't check.
const fenceRow = "Fence"

// fence is the value of the fence row.
type fence struct {
	// Epoch is that of the owner that wrote the row.
	Epoch cottonlanding.Epoch
	// BoundsKeptSince is the first epoch from which all owners that wrote the row keep to the stored lease bounds: see
	// planner.Setup.
	BoundsKeptSince cottonlanding.Epoch `json:",omitempty"`
	// AdoptionsKeptSince is the same for the adopted leases.
	AdoptionsKeptSince cottonlanding.Epoch `json:",omitempty"`
}

// errSuperseded reports that a later owner has written the fence row.
var errSuperseded = errors.New("a later owner has claimed the cell")

// claim writes the fence row of this ownership, and retries until that succeeds. From then on no earlier owner can
// commit, so that the rows read afterwards don't change.
func (d *Driver) claim() (cottonlanding.Check, fence, error) {
	for {
		check, written, err := d.tryClaim()
		if err == nil || errors.Is(err, errSuperseded) || d.ctx.Err() != nil {
			return check, written, err
		}
		d.deps.Log.Warn("could not claim the cell yet", "Epoch", d.setup.Epoch, "Error", err)
		d.sleep(loadRetryInterval)
	}
}

func (d *Driver) tryClaim() (cottonlanding.Check, fence, error) {
	key := d.setup.Partition.Key(fenceRow)
	rows, err := d.read(key)
	if err != nil {
		return cottonlanding.Check{}, fence{}, err
	}
	next := fence{Epoch: d.setup.Epoch, BoundsKeptSince: d.setup.Epoch, AdoptionsKeptSince: d.setup.Epoch}
	write := cottonlanding.Write{Key: key}
	for _, row := range rows {
		var previous fence
		if err := json.Unmarshal(row.Value, &previous); err != nil {
			return cottonlanding.Check{}, fence{}, fmt.Errorf("row %s: %w", key, err)
		}
		if previous.Epoch == d.setup.Epoch {
			return cottonlanding.Check{Key: key, Expect: row.Version}, previous, nil // an earlier answer was lost
		}
		if previous.Epoch > d.setup.Epoch {
			return cottonlanding.Check{}, fence{}, fmt.Errorf("%w: epoch %d", errSuperseded, previous.Epoch)
		}
		write.Expect = row.Version
		if previous.BoundsKeptSince > 0 {
			next.BoundsKeptSince = previous.BoundsKeptSince
		}
		if previous.AdoptionsKeptSince > 0 {
			next.AdoptionsKeptSince = previous.AdoptionsKeptSince
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
		panic(fmt.Sprintf("encode fence: %v", err)) // no field of the type can fail to be encoded
	}
	return data
}
