package worker

import (
	"fmt"

	"github.com/cottonlanding/cottonlanding"
)

// admit checks a fence and takes note of its epoch.
func (w *Worker) admit(fence cottonlanding.Fence) error {
	w.advance()
	if w.cell != "" && w.cell != fence.Cell {
		if w.clock.Now() <= w.leaseEnd {
			return fmt.Errorf("%w: leased to cell %s", cottonlanding.ErrBusy, w.cell)
		}
		w.epoch = 0
	}
	if fence.Epoch < w.epoch {
		return fmt.Errorf("%w: %d, have seen %d", cottonlanding.ErrStaleEpoch, fence.Epoch, w.epoch)
	}
	w.cell, w.epoch = fence.Cell, fence.Epoch
	return nil
}

// fresh reports whether a fence is for this life and not too old.
func (w *Worker) fresh(fence cottonlanding.Fence) bool {
	return fence.Incarnation == w.incarnation && fence.Reading > 0 && w.clock.Now() <= expiry(fence)
}

func expiry(fence cottonlanding.Fence) cottonlanding.Millis {
	return cottonlanding.Millis(fence.Reading) + fence.TTL
}

// command checks a fence for a command; ErrBusy is for what may come again.
func (w *Worker) command(fence cottonlanding.Fence) error {
	if err := w.admit(fence); err != nil {
		return err
	}
	if !w.fresh(fence) {
		return fmt.Errorf("%w: the fence is too old or of another life", cottonlanding.ErrBusy)
	}
	return nil
}
