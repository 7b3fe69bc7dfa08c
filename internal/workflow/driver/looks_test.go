package driver_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
)

// promptWorkers answer each look at once, whatever it allows them to wait, and count the looks.
type promptWorkers struct {
	cottonlanding.RunClient
	looks atomic.Int64
}

func (p *promptWorkers) Poll(ctx context.Context, worker cottonlanding.WorkerRef, look cottonlanding.Poll) (cottonlanding.RunReport, error) {
	p.looks.Add(1)
	look.Wait = 0
	return p.RunClient.Poll(ctx, worker, look)
}

// TestWorkersThatAnswerAtOnceAreNotAskedWithoutEnd: an owner asked a worker that doesn't hold back its answers again
// as soon as it had answered. With 16 of them, one processor had so little time left for callers that
// cancellations weren't acknowledged within ten seconds.
func TestWorkersThatAnswerAtOnceAreNotAskedWithoutEnd(t *testing.T) {
	const workers = 16
	var prompt *promptWorkers
	o := newOwner(t, setup{workers: workers, room: 32, policy: spread(), client: func(client cottonlanding.RunClient) cottonlanding.RunClient {
		prompt = &promptWorkers{RunClient: client}
		return prompt
	}})
	defer o.driver.Close()
	o.submit("lasting", cottonlanding.Step{Tasks: workers, Lasting: true})
	o.eventually("all run", func() bool { return o.runner.Lasting() == workers })
	before := prompt.looks.Load()
	time.Sleep(time.Second)
	require.LessOrEqual(t, prompt.looks.Load()-before, int64(workers*30), "each is asked twenty times a second")
}
