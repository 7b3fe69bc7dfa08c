package driver

import (
	"log/slog"
	"sync"

	"github.com/cottonlanding/cottonlanding"
)

// statsLogInterval is how often the statistics of an owner are logged: often enough to distinguish an owner that lags
// behind from workers that don't answer.
const statsLogInterval = 2 * cottonlanding.Second

// Stats holds the statistics of an owner over one log interval.
type Stats struct {
	Turns int
	// Decide, Commit and Turn are the longest duration of each.
	Decide cottonlanding.Millis
	Commit cottonlanding.Millis
	Turn   cottonlanding.Millis
	// Pause is the longest time from the end of a recorded turn to the beginning of the next. It exceeds the tick after
	// long decisions (see pauseAfter), while the ownership isn't confirmed, and if the process gets too little processor
	// time.
	Pause cottonlanding.Millis
	// Orders counts the orders sent, OrderWait is the longest time that one waited for those before it, OrderCall the
	// longest call.
	Orders    int
	OrderWait cottonlanding.Millis
	OrderCall cottonlanding.Millis
	// Streams is the maximum number of streams with orders under way.
	Streams int
}

// Merge returns the maximum of each duration and of Streams, and the sums of the counters.
func (s Stats) Merge(other Stats) Stats {
	return Stats{
		Turns:     s.Turns + other.Turns,
		Decide:    max(s.Decide, other.Decide),
		Commit:    max(s.Commit, other.Commit),
		Turn:      max(s.Turn, other.Turn),
		Pause:     max(s.Pause, other.Pause),
		Orders:    s.Orders + other.Orders,
		OrderWait: max(s.OrderWait, other.OrderWait),
		OrderCall: max(s.OrderCall, other.OrderCall),
		Streams:   max(s.Streams, other.Streams),
	}
}

// meter collects the statistics of one driver.
type meter struct {
	log *slog.Logger

	mu          sync.Mutex
	current     Stats
	logged      Stats
	loggedAt    cottonlanding.Millis
	lastTurnEnd cottonlanding.Millis
}

func newMeter(log *slog.Logger) *meter { return &meter{log: log} }

// turnTimes holds the instants of one turn.
type turnTimes struct {
	began, decided, ended cottonlanding.Millis
}

// recordTurn records a turn, and logs the statistics once per interval.
func (m *meter) recordTurn(t turnTimes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current.Turns++
	m.current.Decide = max(m.current.Decide, t.decided-t.began)
	m.current.Commit = max(m.current.Commit, t.ended-t.decided)
	m.current.Turn = max(m.current.Turn, t.ended-t.began)
	if m.lastTurnEnd > 0 {
		m.current.Pause = max(m.current.Pause, t.began-m.lastTurnEnd)
	}
	m.lastTurnEnd = t.ended
	if t.ended-m.loggedAt < statsLogInterval {
		return
	}
	m.loggedAt, m.logged, m.current = t.ended, m.current, Stats{}
	s := m.logged
	m.log.Info("progress of the owner", "Turns", s.Turns, "LongestDecide", s.Decide, "LongestCommit", s.Commit,
		"LongestTurn", s.Turn, "LongestPause", s.Pause, "Orders", s.Orders, "LongestOrderWait", s.OrderWait,
		"LongestOrder", s.OrderCall, "MostStreams", s.Streams)
}

// recordStreams records how many streams have orders under way.
func (m *meter) recordStreams(streams int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current.Streams = max(m.current.Streams, streams)
}

// recordOrder records when an order was given out, sent and answered.
func (m *meter) recordOrder(given, sent, answered cottonlanding.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current.Orders++
	m.current.OrderWait = max(m.current.OrderWait, sent-given)
	m.current.OrderCall = max(m.current.OrderCall, answered-sent)
}

// stats returns the statistics that were logged last.
func (m *meter) stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.logged
}
