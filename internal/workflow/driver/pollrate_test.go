package driver_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// immediateWorkers answer each look at once, whatever it allows them to wait, and count the looks.
type immediateWorkers struct {
	cottonlanding.RunClient
	polls atomic.Int64
}

func (p *immediateWorkers) Poll(ctx context.Context, worker cottonlanding.WorkerRef, poll cottonlanding.Poll) (cottonlanding.RunReport, error) {
	p.polls.Add(1)
	poll.Wait = 0
	return p.RunClient.Poll(ctx, worker, poll)
}

// TestPollRateIsBounded: an owner asked a worker that doesn't hold back its answers again
// as soon as it had answered. With 16 of them, one processor had so little time left for callers that
// cancellations weren't acknowledged within ten seconds.
func TestPollRateIsBounded(t *testing.T) {
	const workers = 16
	var immediate *immediateWorkers
	o := newOwner(t, setup{workers: workers, tasksPerWorker: 32, policy: spreadPlacement(), client: func(client cottonlanding.RunClient) cottonlanding.RunClient {
		immediate = &immediateWorkers{RunClient: client}
		return immediate
	}})
	defer o.driver.Close()
	o.submit("lasting", cottonlanding.Step{Tasks: workers, Lasting: true})
	o.eventually("all run", func() bool { return o.runner.Lasting() == workers })
	before := immediate.polls.Load()
	time.Sleep(time.Second)
	require.LessOrEqual(t, immediate.polls.Load()-before, int64(workers*30), "each is asked twenty times a second")
}
