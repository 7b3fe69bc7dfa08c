package driver

import "github.com/cottonlanding/cottonlanding"

// NextLeasesEnd returns by when the leases of the cell end if the next heartbeat says so, zero while the cell is not
// loaded or sets no limit.
func (d *Driver) NextLeasesEnd() cottonlanding.Millis {
	return cottonlanding.Millis(d.nextLeasesEnd.Load())
}

// limitLeases passes the limit of the last heartbeat to the cell. The caller holds the lock.
func (d *Driver) limitLeases(now cottonlanding.Millis) {
	if d.deps.LeasesEnd != nil {
		d.cell.SetLeasesEnd(d.deps.LeasesEnd())
	}
	d.updateNextLeasesEnd(now)
}

// updateNextLeasesEnd computes the limit for the next heartbeat. Answers of workers update it too, since a turn may wait
// for a slow commit. The caller holds the lock.
func (d *Driver) updateNextLeasesEnd(now cottonlanding.Millis) {
	if d.leasesEndAt > 0 && now-d.leasesEndAt < leasesEndInterval {
		return
	}
	d.leasesEndAt = now
	d.nextLeasesEnd.Store(int64(d.cell.NextLeasesEnd(now)))
}
