package main

import (
	"cmp"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Figures of the store, as in the settings of a small deployment.
const (
	answerTime      = 4 * time.Millisecond
	transactionTime = 8 * time.Millisecond
	history         = 20 * time.Second
	maxEntries      = 100
	maxRowBytes     = 65_536
	maxCallBytes    = 1_000_000
	maxRows         = 500
	maxAnswerBytes  = 1_000_000
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type place struct{ table, part, key string }

func (r row) place() place { return place{r.Table, r.Part, r.Key} }

type change struct {
	row
	at time.Time
}

// store stands in for the platform's store: rows, transactions, and feeds with a history of 20 s.
type store struct {
	address string

	mu        sync.Mutex
	rows      map[place]row
	changes   []change
	ver       uint64
	forgotten uint64
	changed   chan struct{}
	locks     map[string]*sync.Mutex
	began     time.Time
}

func newStore() (*store, error) {
	s := &store{rows: make(map[place]row), ver: 1, changed: make(chan struct{}), locks: make(map[string]*sync.Mutex), began: time.Now()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

// put writes a row as the operator or an executor does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Value: data, Ver: s.ver})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Ver: s.ver, Deleted: true})
}

// apply records a change. The caller holds the lock.
func (s *store) apply(r row) {
	if r.Deleted {
		delete(s.rows, r.place())
	} else {
		s.rows[r.place()] = r
	}
	s.changes = append(s.changes, change{r, time.Now()})
	for len(s.changes) > 0 && time.Since(s.changes[0].at) > history {
		s.forgotten = s.changes[0].Ver
		s.changes = s.changes[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() }

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(answerTime / 2)
	status, answer := s.answer(r, body)
	time.Sleep(answerTime / 2)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func (s *store) answer(r *http.Request, body []byte) (int, any) {
	query := r.URL.Query()
	switch r.URL.Path {
	case wire.Transact:
		return s.transact(body)
	case wire.Get:
		return s.get(query.Get("table"), query.Get("part"), query.Get("fromRev"), query.Get("targetVersion"), query.Get("limit"))
	case wire.Parts:
		return s.parts(query.Get("table"))
	case wire.Feed:
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		return s.feed(r, query.Get("table"), after, time.Duration(wait)*time.Millisecond)
	}
	return http.StatusNotFound, nil
}

func (s *store) get(table, part, from, to, limit string) (int, any) {
	most, err := strconv.Atoi(limit)
	if err != nil || most > maxRows {
		most = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for at, r := range s.rows {
		if at.table == table && at.part == part && at.key >= from && (to == "" || at.key < to) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	rows, size := []row{}, 0
	for _, r := range found {
		size += len(r.Value)*4/3 + 200
		if len(rows) == most || len(rows) > 0 && size > maxAnswerBytes {
			break
		}
		rows = append(rows, r)
	}
	return http.StatusOK, map[string]any{"rows": rows, "hasMore": len(rows) < len(found), "ver": s.ver, "nowMs": s.now()}
}

func (s *store) parts(table string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := []string{}
	for at := range s.rows {
		if at.table == table && !slices.Contains(parts, at.part) {
			parts = append(parts, at.part)
		}
	}
	slices.Sort(parts)
	return http.StatusOK, map[string]any{"parts": parts, "ver": s.ver, "nowMs": s.now()}
}

func (s *store) feed(r *http.Request, table string, after uint64, wait time.Duration) (int, any) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		if after < s.forgotten {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		rows, ver, size := []row{}, s.ver, 0
		for _, c := range s.changes {
			if c.Table != table || c.Ver <= after {
				continue
			}
			size += len(c.Value)*4/3 + 200
			if len(rows) >= maxRows || len(rows) > 0 && size > maxAnswerBytes {
				ver = rows[len(rows)-1].Ver
				break
			}
			rows = append(rows, c.row)
		}
		changed, now := s.changed, s.now()
		s.mu.Unlock()
		answer := map[string]any{"rows": rows, "ver": ver, "nowMs": now}
		if len(rows) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-deadline.C:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusOK, answer
		}
	}
}

// lock returns the lock of a part, whose transactions go one after another.
func (s *store) lock(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.locks[part] == nil {
		s.locks[part] = new(sync.Mutex)
	}
	return s.locks[part]
}

func (s *store) transact(body []byte) (int, any) {
	var call struct {
		Expected []row `json:"expectedRev"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return http.StatusBadRequest, nil
	}
	all := slices.Concat(call.Expected, call.Puts, call.Remove)
	if len(all) == 0 || len(all) > maxEntries || len(body) > maxCallBytes {
		return http.StatusBadRequest, nil
	}
	for _, r := range all {
		if r.Part != all[0].Part || len(r.Value) > maxRowBytes || len(r.Key) > 200 {
			return http.StatusBadRequest, nil
		}
	}
	for _, r := range slices.Concat(call.Puts, call.Remove) {
		if r.Table == "servers" {
			return http.StatusForbidden, nil
		}
	}
	lock := s.lock(all[0].Part)
	lock.Lock()
	defer lock.Unlock()
	time.Sleep(transactionTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	held, current := true, []row{}
	for _, r := range call.Expected {
		now := s.rows[r.place()]
		if now.Ver != r.Ver {
			held = false
		}
		if now.Ver != 0 {
			current = append(current, now)
		}
	}
	if !held {
		return http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver, "nowMs": s.now()}
	}
	s.ver++
	for _, r := range call.Puts {
		s.apply(row{Table: r.Table, Part: r.Part, Key: r.Key, Value: r.Value, Ver: s.ver})
	}
	for _, r := range call.Remove {
		s.apply(row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Deleted: true})
	}
	return http.StatusOK, map[string]any{"ver": s.ver, "nowMs": s.now()}
}
