package driver_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// slowCommits delays each commit.
type slowCommits struct {
	cottonlanding.Table
	delay time.Duration
}

func (s *slowCommits) Commit(ctx context.Context, transaction cottonlanding.Transaction) (cottonlanding.Receipt, error) {
	time.Sleep(s.delay)
	return s.Table.Commit(ctx, transaction)
}

// TestLeaseRenewalDuringCommitLag guards against leases that expire because more changes come than commits can take:
// workers must be polled even if their ends are acknowledged only later.
func TestLeaseRenewalDuringCommitLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(t, setup{workers: 4, tasksPerWorker: 64, policy: spreadPlacement(), table: func(inner cottonlanding.Table) cottonlanding.Table {
			return &slowCommits{Table: inner, delay: 100 * time.Millisecond}
		}})
		defer o.driver.Close()
		o.submit("lasting", cottonlanding.Step{Tasks: 4, Lasting: true})
		o.eventually("the lasting tasks run", func() bool { return o.runner.Lasting() == 4 })
		for number := range 6000 {
			go o.submitOnce(cottonlanding.WorkflowID(fmt.Sprintf("w%d", number)), cottonlanding.Step{Tasks: 1})
			time.Sleep(2 * time.Millisecond)
		}
		counts := o.driver.Counts()
		t.Logf("ends: %v, lost: %d", counts.Ends, counts.Lost)
		require.Zero(t, counts.Ends[cottonlanding.EndLapsed], "runs whose lease expired on a responsive worker")
		require.Equal(t, 4, o.runner.Lasting())
	})
}
