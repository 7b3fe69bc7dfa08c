package driver_test

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// learntReads counts the reads of what other cells have learnt of images.
type learntReads struct {
	cottonlanding.Table
	count *atomic.Int64
}

func (l learntReads) Read(ctx context.Context, keys ...cottonlanding.Key) ([]cottonlanding.Row, error) {
	if slices.ContainsFunc(keys, func(key cottonlanding.Key) bool { return strings.HasPrefix(string(key), "Sibling") }) {
		l.count.Add(1)
	}
	return l.Table.Read(ctx, keys...)
}

// TestLearntReadsRequireImages guards against cells that read the rows of all others although they use no images.
func TestLearntReadsRequireImages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reads atomic.Int64
		var siblings []cottonlanding.Partition
		for range 23 {
			siblings = append(siblings, "Sibling")
		}
		o := newOwner(t, setup{workers: 1, tasksPerWorker: 2, policy: spreadPlacement(), siblings: siblings,
			table: func(table cottonlanding.Table) cottonlanding.Table { return learntReads{table, &reads} }})
		o.submit("plain", cottonlanding.Step{Tasks: 1})
		time.Sleep(10 * time.Second)
		require.Zero(t, reads.Load())
		o.submit("imaged", cottonlanding.Step{Tasks: 1, Image: "i"})
		time.Sleep(10 * time.Second)
		require.GreaterOrEqual(t, reads.Load(), int64(len(siblings)))
		o.driver.Close()
	})
}
