package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and times of the store.
const (
	maxEntries   = 100
	maxTxBytes   = 1 << 20
	maxRowBytes  = 65_536
	maxRows      = 500
	answerDelay  = 4 * time.Millisecond
	changeDelay  = 8 * time.Millisecond
	historyKept  = 20 * time.Second
	silentBeats  = 3
	beatInterval = 1500 * time.Millisecond
)

// beatPath is where executors write their entries. The pages don't tell how executors reach the store.
const beatPath = "/stand/beat"

type storedRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

type change struct {
	row storedRow
	at  time.Time
}

// store stands in for the platform's store.
type store struct {
	began time.Time

	mu      sync.Mutex
	rows    map[rowKey]storedRow
	changes []change
	ver     uint64
	// forgotten is the version up to which the history is gone.
	forgotten uint64
	// changed is closed at each change.
	changed chan struct{}
	beats   map[string]time.Time
}

// newStore serves a store at an address until the process ends.
func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{began: time.Now(), rows: make(map[rowKey]storedRow), ver: 1, changed: make(chan struct{}), beats: make(map[string]time.Time)}
	go func() { _ = http.Serve(listener, s) }()
	go s.expireEntries()
	return s, nil
}

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() }

// write applies one transaction of changes. The caller holds the lock.
func (s *store) write(puts, removes []storedRow) {
	s.ver++
	for _, one := range puts {
		one.Ver, one.Deleted = s.ver, false
		s.rows[rowKey{one.Table, one.Part, one.Key}] = one
		s.changes = append(s.changes, change{one, time.Now()})
	}
	for _, one := range removes {
		if _, found := s.rows[rowKey{one.Table, one.Part, one.Key}]; !found {
			continue
		}
		delete(s.rows, rowKey{one.Table, one.Part, one.Key})
		s.changes = append(s.changes, change{storedRow{Table: one.Table, Part: one.Part, Key: one.Key, Ver: s.ver, Deleted: true}, time.Now()})
	}
	for len(s.changes) > 0 && time.Since(s.changes[0].at) > historyKept {
		s.forgotten = s.changes[0].row.Ver
		s.changes = s.changes[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]storedRow{{Table: table, Key: key, Value: data}}, nil)
}

// expireEntries removes the entries of executors after three heartbeats of silence.
func (s *store) expireEntries() {
	for ; ; time.Sleep(100 * time.Millisecond) {
		s.mu.Lock()
		for id, at := range s.beats {
			if time.Since(at) > silentBeats*beatInterval {
				delete(s.beats, id)
				s.write(nil, []storedRow{{Table: "servers", Key: id}})
			}
		}
		s.mu.Unlock()
	}
}

// beat takes the entry of an executor; the row changes only if the entry does.
func (s *store) beat(id string, entry []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats[id] = time.Now()
	if old, found := s.rows[rowKey{"servers", "", id}]; !found || withoutCounts(old.Value) != withoutCounts(entry) {
		s.write([]storedRow{{Table: "servers", Key: id, Value: entry}}, nil)
	}
}

// withoutCounts returns an entry without what changes with each heartbeat.
func withoutCounts(entry []byte) string {
	fields := make(map[string]any)
	_ = json.Unmarshal(entry, &fields) // written by our own executors
	delete(fields, "sequence")
	delete(fields, "clockMs")
	data, _ := json.Marshal(fields)
	return string(data)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	query := r.URL.Query()
	status, answer := http.StatusNotFound, map[string]any{}
	switch r.URL.Path {
	case beatPath:
		s.beat(query.Get("id"), body)
		status = http.StatusOK
	case names["transaction"]:
		time.Sleep(changeDelay)
		status, answer = s.transact(body)
	case names["rows"]:
		status, answer = s.read(query.Get("table"), query.Get("part"), query.Get(names["from"]), query.Get(names["to"]), query.Get("limit"))
	case names["partitions"]:
		status, answer = s.partitions(query.Get("table"))
	case names["feed"]:
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		status, answer = s.follow(r, query.Get("table"), after, time.Duration(wait)*time.Millisecond)
	}
	time.Sleep(answerDelay)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) transact(body []byte) (int, map[string]any) {
	var fields map[string]json.RawMessage
	var expected, puts, removes []storedRow
	err := json.Unmarshal(body, &fields)
	for name, list := range map[string]*[]storedRow{names["expected"]: &expected, "puts": &puts, "remove": &removes} {
		if err == nil && len(fields[name]) > 0 {
			err = json.Unmarshal(fields[name], list)
		}
	}
	parts := make(map[string]bool)
	for _, one := range slices.Concat(expected, puts, removes) {
		parts[one.Part] = true
	}
	large := slices.ContainsFunc(puts, func(one storedRow) bool { return len(one.Value) > maxRowBytes })
	if err != nil || len(parts) > 1 || len(expected)+len(puts)+len(removes) > maxEntries || large || len(body) > maxTxBytes {
		return http.StatusBadRequest, map[string]any{"error": fmt.Sprint(err)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []storedRow
	for _, one := range expected {
		if now := s.rows[rowKey{one.Table, one.Part, one.Key}]; now.Ver != one.Ver {
			conflicts = append(conflicts, storedRow{Table: one.Table, Part: one.Part, Key: one.Key, Value: now.Value, Ver: now.Ver})
		}
	}
	if len(conflicts) > 0 {
		return http.StatusPreconditionFailed, map[string]any{"rows": conflicts, "ver": s.ver, "nowMs": s.now()}
	}
	s.write(puts, removes)
	return http.StatusOK, map[string]any{"ver": s.ver, "nowMs": s.now()}
}

func (s *store) read(table, part, from, to, limit string) (int, map[string]any) {
	most, err := strconv.Atoi(limit)
	if err != nil || most > maxRows {
		most = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storedRow{}
	for at, one := range s.rows {
		if at.table == table && at.part == part && at.key >= from && (to == "" || at.key < to) {
			rows = append(rows, one)
		}
	}
	slices.SortFunc(rows, func(a, b storedRow) int { return strings.Compare(a.Key, b.Key) })
	size, count := 0, 0
	for count < len(rows) && count < most && (count == 0 || size < maxTxBytes/2) {
		size += len(rows[count].Value)
		count++
	}
	return http.StatusOK, map[string]any{"rows": rows[:count], "hasMore": count < len(rows), "ver": s.ver, "nowMs": s.now()}
}

func (s *store) partitions(table string) (int, map[string]any) {
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

// follow answers as soon as there is a change after a version, or after the wait.
func (s *store) follow(r *http.Request, table string, after uint64, wait time.Duration) (int, map[string]any) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		changed, ver, forgotten := s.changed, s.ver, s.forgotten
		rows := []storedRow{}
		for _, one := range s.changes {
			if one.row.Table == table && one.row.Ver > after && len(rows) < maxRows {
				rows = append(rows, one.row)
				ver = one.row.Ver
			}
		}
		if len(rows) < maxRows {
			ver = s.ver
		}
		s.mu.Unlock()
		if after < forgotten {
			return http.StatusGone, map[string]any{}
		}
		if len(rows) > 0 {
			return http.StatusOK, map[string]any{"rows": rows, "ver": ver, "nowMs": s.now()}
		}
		select {
		case <-changed:
		case <-deadline:
			return http.StatusOK, map[string]any{"rows": rows, "ver": ver, "nowMs": s.now()}
		case <-r.Context().Done():
			return http.StatusOK, map[string]any{}
		}
	}
}
