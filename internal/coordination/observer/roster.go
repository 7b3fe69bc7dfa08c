package observer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/registrar"
)

// forgetAge is how long the roster remembers a session whose row is gone.
const forgetAge = 60 * cottonlanding.Minute

// Roster judges which sessions are alive from successive reads of their rows.
// It counts only time in which reads succeeded: while the table is out, no
// session expires.
type Roster struct {
	ttl cottonlanding.Millis
	// gap is the longest span between two reads that counts in full.
	gap      cottonlanding.Millis
	lastRead cottonlanding.Millis
	started  bool
	// observed is the time counted so far.
	observed cottonlanding.Millis
	members  map[cottonlanding.SessionID]*member
}

type member struct {
	session registrar.Session
	version cottonlanding.Version
	// since is the observed time at which the version was first seen.
	since cottonlanding.Millis
	ended bool
	// endedAt is the observer's clock when the session was found to have ended.
	endedAt cottonlanding.Millis
}

// NewRoster returns an empty roster. Sessions live for ttl after a renewal; of a
// span without a successful read at most gap is counted.
func NewRoster(ttl, gap cottonlanding.Millis) *Roster {
	return &Roster{ttl: ttl, gap: gap, members: make(map[cottonlanding.SessionID]*member)}
}

// Observe takes in a successful read of all session rows, sent at the instant
// sent and answered at now.
func (r *Roster) Observe(rows []cottonlanding.Row, sent, now cottonlanding.Millis) error {
	r.count(sent)
	found := make(map[cottonlanding.SessionID]bool, len(rows))
	for _, row := range rows {
		var session registrar.Session
		if err := json.Unmarshal(row.Value, &session); err != nil {
			return fmt.Errorf("row %s: %w", row.Key, err)
		}
		found[session.ID] = true
		r.note(session, row.Version)
	}
	for id, m := range r.members {
		r.judge(m, found[id], now)
		if m.ended && !found[id] && now-m.endedAt > forgetAge {
			delete(r.members, id)
		}
	}
	return nil
}

func (r *Roster) count(sent cottonlanding.Millis) {
	if r.started {
		r.observed += min(max(0, sent-r.lastRead), r.gap)
	}
	r.started = true
	r.lastRead = sent
}

func (r *Roster) note(session registrar.Session, version cottonlanding.Version) {
	m := r.members[session.ID]
	if m == nil {
		m = &member{}
		r.members[session.ID] = m
	}
	if m.version == version {
		return
	}
	*m = member{session: session, version: version, since: r.observed}
}

func (r *Roster) judge(m *member, found bool, now cottonlanding.Millis) {
	if m.ended {
		return
	}
	if !found || r.observed-m.since >= r.ttl {
		m.ended = true
		m.endedAt = now
	}
}

// Watched reports whether a session's time was counted since the first read.
func (r *Roster) Watched() bool { return r.observed >= r.ttl }

// Live returns the sessions that have not ended, in order of id.
func (r *Roster) Live() []registrar.Session {
	var out []registrar.Session
	for _, m := range r.members {
		if !m.ended {
			out = append(out, m.session)
		}
	}
	slices.SortFunc(out, func(a, b registrar.Session) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Alive reports whether a session has not ended.
func (r *Roster) Alive(id cottonlanding.SessionID) bool {
	m := r.members[id]
	return m != nil && !m.ended
}

// Ended returns when sessions were found to have ended.
func (r *Roster) Ended() map[cottonlanding.SessionID]cottonlanding.Millis {
	out := make(map[cottonlanding.SessionID]cottonlanding.Millis)
	for id, m := range r.members {
		if m.ended {
			out[id] = m.endedAt
		}
	}
	return out
}

// Stale returns the rows of sessions that ended at least age ago, to be deleted.
func (r *Roster) Stale(age, now cottonlanding.Millis) []cottonlanding.Write {
	var out []cottonlanding.Write
	for id, m := range r.members {
		if m.ended && now-m.endedAt >= age {
			out = append(out, cottonlanding.Write{Key: registrar.SessionKey(id), Expect: m.version, Delete: true})
		}
	}
	return out
}
