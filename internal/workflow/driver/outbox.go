package driver

import (
	"sync"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/waker"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// streamKey names a stream of orders to one worker, each sent once the one before it was answered. Stops have a stream
// of their own: a start or a change of pace may take as long as callTimeout, and a stop must not wait for that.
type streamKey struct {
	worker cottonlanding.WorkerID
	stops  bool
}

func streamKeyOf(order planner.Order) streamKey {
	return streamKey{worker: order.Worker.Life.Worker, stops: order.Verb == planner.VerbStop}
}

// orderResult is the outcome of an order, with the time of the answer.
type orderResult struct {
	order   planner.Order
	reading cottonlanding.Reading
	err     error
	at      cottonlanding.Millis
}

// outbox holds the orders under way and their results. Its lock is only held briefly, so that orders follow each other
// while a decision holds the cell's lock.
type outbox struct {
	// resultsDue is woken when there are results.
	resultsDue waker.Waker

	mu      sync.Mutex
	streams map[streamKey][]planner.Order
	results []orderResult
}

func newOutbox() *outbox {
	return &outbox{resultsDue: waker.New(), streams: make(map[streamKey][]planner.Order)}
}

// add queues an order, and reports whether its stream has no sender yet.
func (o *outbox) add(order planner.Order) (streamKey, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := streamKeyOf(order)
	queued, running := o.streams[key]
	o.streams[key] = append(queued, order)
	return key, !running
}

// next removes and returns the next order of a stream; false means that the stream has ended.
func (o *outbox) next(key streamKey) (planner.Order, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	queued := o.streams[key]
	if len(queued) == 0 {
		delete(o.streams, key)
		return planner.Order{}, false
	}
	o.streams[key] = queued[1:]
	return queued[0], true
}

// recordResult keeps the result of an order until it is applied to the cell.
func (o *outbox) recordResult(result orderResult) {
	o.mu.Lock()
	o.results = append(o.results, result)
	o.mu.Unlock()
	o.resultsDue.Wake()
}

// takeResults removes and returns all results.
func (o *outbox) takeResults() []orderResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.results
	o.results = nil
	return out
}

// size counts the streams with orders under way.
func (o *outbox) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.streams)
}
