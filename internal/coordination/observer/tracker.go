package observer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/registrar"
)

// endedSessionRetention is how long the tracker remembers an ended session after its row was deleted.
const endedSessionRetention = 60 * cottonlanding.Minute

// SessionTracker determines which sessions are alive from successive reads of
// their rows. It counts only time in which reads succeed, so that no session
// expires during an outage of the table.
type SessionTracker struct {
	ttl cottonlanding.Millis
	// maxGap is the longest time between two reads that counts in full.
	maxGap   cottonlanding.Millis
	lastRead cottonlanding.Millis
	started  bool
	// observedTime is the sum of the counted times between reads.
	observedTime cottonlanding.Millis
	sessions     map[cottonlanding.SessionID]*trackedSession
}

type trackedSession struct {
	session registrar.Session
	version cottonlanding.Version
	// versionSince is the tracker's observedTime when the version was first seen.
	versionSince cottonlanding.Millis
	ended        bool
	// endedAt is when the session was found to have ended, by the observer's clock.
	endedAt cottonlanding.Millis
}

// NewSessionTracker returns a tracker without sessions. A session lives for ttl
// after a renewal; of the time between two reads at most maxGap is counted.
func NewSessionTracker(ttl, maxGap cottonlanding.Millis) *SessionTracker {
	return &SessionTracker{ttl: ttl, maxGap: maxGap, sessions: make(map[cottonlanding.SessionID]*trackedSession)}
}

// Observe records a successful read of all session rows that was sent at sent and answered at now.
// It returns an error if a row can't be decoded.
func (r *SessionTracker) Observe(rows []cottonlanding.Row, sent, now cottonlanding.Millis) error {
	r.advance(sent)
	found := make(map[cottonlanding.SessionID]bool, len(rows))
	for _, row := range rows {
		var session registrar.Session
		if err := json.Unmarshal(row.Value, &session); err != nil {
			return fmt.Errorf("row %s: %w", row.Key, err)
		}
		found[session.ID] = true
		r.record(session, row.Version)
	}
	for id, m := range r.sessions {
		r.checkEnded(m, found[id], now)
		if m.ended && !found[id] && now-m.endedAt > endedSessionRetention {
			delete(r.sessions, id)
		}
	}
	return nil
}

func (r *SessionTracker) advance(sent cottonlanding.Millis) {
	if r.started {
		r.observedTime += min(max(0, sent-r.lastRead), r.maxGap)
	}
	r.started = true
	r.lastRead = sent
}

func (r *SessionTracker) record(session registrar.Session, version cottonlanding.Version) {
	m := r.sessions[session.ID]
	if m == nil {
		m = &trackedSession{}
		r.sessions[session.ID] = m
	}
	if m.version == version {
		return
	}
	*m = trackedSession{session: session, version: version, versionSince: r.observedTime}
}

func (r *SessionTracker) checkEnded(m *trackedSession, found bool, now cottonlanding.Millis) {
	if m.ended {
		return
	}
	if !found || r.observedTime-m.versionSince >= r.ttl {
		m.ended = true
		m.endedAt = now
	}
}

// ObservedTTL reports whether the sessions have been observed for their time to live.
func (r *SessionTracker) ObservedTTL() bool { return r.observedTime >= r.ttl }

// Live returns the sessions that haven't ended, ordered by id.
func (r *SessionTracker) Live() []registrar.Session {
	var out []registrar.Session
	for _, m := range r.sessions {
		if !m.ended {
			out = append(out, m.session)
		}
	}
	slices.SortFunc(out, func(a, b registrar.Session) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Alive reports whether a session is known and hasn't ended.
func (r *SessionTracker) Alive(id cottonlanding.SessionID) bool {
	m := r.sessions[id]
	return m != nil && !m.ended
}

// Ended returns when each ended session was found to have ended.
func (r *SessionTracker) Ended() map[cottonlanding.SessionID]cottonlanding.Millis {
	out := make(map[cottonlanding.SessionID]cottonlanding.Millis)
	for id, m := range r.sessions {
		if m.ended {
			out[id] = m.endedAt
		}
	}
	return out
}

// Stale returns the writes that delete the rows of sessions that ended at least age ago.
func (r *SessionTracker) Stale(age, now cottonlanding.Millis) []cottonlanding.Write {
	var out []cottonlanding.Write
	for id, m := range r.sessions {
		if m.ended && now-m.endedAt >= age {
			out = append(out, cottonlanding.Write{Key: registrar.SessionKey(id), Expect: m.version, Delete: true})
		}
	}
	return out
}
