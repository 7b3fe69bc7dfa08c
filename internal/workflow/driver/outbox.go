package driver

import (
	"sync"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/duty/waker"
	"github.com/cottonlanding/cottonlanding/internal/workflow/planner"
)

// stream is a queue of orders to one worker, each sent once the one before it was
// answered. Stops have a stream of their own: a start or a change of pace may take
// as long as a call may, and a stop must not wait for that.
type stream struct {
	worker cottonlanding.WorkerID
	stops  bool
}

func streamOf(order planner.Order) stream {
	return stream{worker: order.Worker.Life.Worker, stops: order.Verb == planner.VerbStop}
}

// answeredOrder is an order with what became of it, and when.
type answeredOrder struct {
	order   planner.Order
	reading cottonlanding.Reading
	err     error
	at      cottonlanding.Millis
}

// outbox holds the orders on their way and their answers. Its lock is held for
// moments only: orders follow each other also while the owner decides, which holds
// the cell's lock.
type outbox struct {
	// answersDue tells that there are answers.
	answersDue waker.Waker

	mu       sync.Mutex
	streams  map[stream][]planner.Order
	answered []answeredOrder
}

func newOutbox() *outbox {
	return &outbox{answersDue: waker.New(), streams: make(map[stream][]planner.Order)}
}

// add queues an order, and reports whether nobody sends the orders of its stream yet.
func (o *outbox) add(order planner.Order) (stream, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at := streamOf(order)
	queued, running := o.streams[at]
	o.streams[at] = append(queued, order)
	return at, !running
}

// next takes the next order of a stream; false means that the stream has ended.
func (o *outbox) next(at stream) (planner.Order, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	queued := o.streams[at]
	if len(queued) == 0 {
		delete(o.streams, at)
		return planner.Order{}, false
	}
	o.streams[at] = queued[1:]
	return queued[0], true
}

// answer keeps what became of an order until the cell is told.
func (o *outbox) answer(a answeredOrder) {
	o.mu.Lock()
	o.answered = append(o.answered, a)
	o.mu.Unlock()
	o.answersDue.Wake()
}

// answers takes the answers that came.
func (o *outbox) answers() []answeredOrder {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.answered
	o.answered = nil
	return out
}

// size counts the streams with orders under way.
func (o *outbox) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.streams)
}
