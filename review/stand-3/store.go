package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// row is a row of the store.
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

// store stands in for the platform's store.
type store struct {
	began   time.Time
	mu      sync.Mutex
	rows    map[place]row
	changes []row
	ver     uint64
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: make(map[place]row), changed: make(chan struct{}), ver: 1}
}

// apply writes rows under a new version. The caller holds the lock.
func (s *store) apply(puts, removes []row) {
	s.ver++
	for _, one := range puts {
		one.Ver, one.Deleted = s.ver, false
		s.rows[one.place()] = one
		s.changes = append(s.changes, one)
	}
	for _, one := range removes {
		if _, found := s.rows[one.place()]; !found {
			continue
		}
		delete(s.rows, one.place())
		s.changes = append(s.changes, row{Table: one.Table, Part: one.Part, Key: one.Key, Ver: s.ver, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: value}}, nil)
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
}

func (s *store) answer(w http.ResponseWriter, status int, fields map[string]any) {
	fields["ver"], fields["nowMs"] = s.ver, time.Since(s.began).Milliseconds()
	data, _ := json.Marshal(fields) // it holds nothing that can't be encoded
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	switch r.URL.Path {
	case names["transaction"]:
		s.transact(w, r)
	case names["read"]:
		s.read(w, r)
	case names["parts"]:
		s.parts(w, r)
	case names["feed"]:
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Conditions []row `json:"expectedRev"`
		Puts       []row `json:"puts"`
		Removes    []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || len(call.Conditions)+len(call.Puts)+len(call.Removes) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	present := []row{}
	for _, one := range call.Conditions {
		now := s.rows[one.place()]
		holds = holds && now.Ver == one.Ver
		if now.Ver > 0 {
			present = append(present, now)
		}
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": present})
		return
	}
	s.apply(call.Puts, call.Removes)
	s.answer(w, http.StatusOK, map[string]any{})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	from, to := query.Get("fromRev"), query.Get("targetVersion")
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []row{}
	for at, one := range s.rows {
		if at.table == query.Get("table") && at.part == query.Get("part") && at.key >= from && (to == "" || at.key < to) {
			out = append(out, one)
		}
	}
	slices.SortFunc(out, func(a, b row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	more := len(out) > limit
	s.answer(w, http.StatusOK, map[string]any{"rows": out[:min(len(out), limit)], "hasMore": more})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []string{}
	for at := range s.rows {
		if at.table == r.URL.Query().Get("table") && !slices.Contains(out, at.part) {
			out = append(out, at.part)
		}
	}
	slices.Sort(out)
	s.answer(w, http.StatusOK, map[string]any{"parts": out, "hasMore": false})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		out := []row{}
		for at := len(s.changes) - 1; at >= 0 && s.changes[at].Ver > after; at-- {
			if s.changes[at].Table == query.Get("table") {
				out = append(out, s.changes[at])
			}
		}
		changed := s.changed
		if len(out) > 0 || wait == 0 {
			slices.Reverse(out)
			s.answer(w, http.StatusOK, map[string]any{"rows": out})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}
