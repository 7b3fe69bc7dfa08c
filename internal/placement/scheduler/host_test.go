package scheduler_test

import (
	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/stand/worker"
)

// host is a stand-in worker whose clock runs fast or slow.
type host struct {
	*worker.Worker
	// perMille is how much faster the clock runs.
	perMille cottonlanding.Millis
}

func (h host) local(now cottonlanding.Millis) cottonlanding.Millis {
	return now + now*h.perMille/1000
}

// earliest returns the first instant at which the worker's clock shows local.
func (h host) earliest(local cottonlanding.Millis) float64 {
	return float64(local) * 1000 / float64(1000+h.perMille)
}
