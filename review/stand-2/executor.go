package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of executors, as in the settings of a small deployment.
const (
	maxHold       = 10 * time.Second
	maxWait       = 2 * time.Second
	stopTakes     = 20 * time.Millisecond
	heartbeat     = 1500 * time.Millisecond
	maxEndsAtOnce = 500
	executorTick  = 10 * time.Millisecond
)

type resources struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"memMb"`
	GPU    int64 `json:"gpu"`
}

func (r resources) plus(o resources) resources {
	return resources{r.CPU + o.CPU, r.Memory + o.Memory, r.GPU + o.GPU}
}

func (r resources) fits(o resources) bool {
	return r.CPU <= o.CPU && r.Memory <= o.Memory && r.GPU <= o.GPU
}

// work says what a task needs and how long it takes.
type work struct {
	needs resources
	takes time.Duration
}

// activeRun is a task that runs on an executor.
type activeRun struct {
	task  string
	run   int64
	work  work
	began time.Time
}

// end is [serial, task, run, how, saved].
type end struct {
	serial int64
	task   string
	run    int64
	how    string
}

// fleet holds all executors and what they ran.
type fleet struct {
	store  *store
	record *record
	// works gives the work of a task by its specification and name.
	works func(spec, task string) (work, bool)

	mu   sync.Mutex
	ends map[string][]string // how the runs of each task ended, also "crash" and "leaves"
	runs map[string]int      // how many runs of each task go
	// starts holds when runs of each job began.
	starts map[string][]time.Time
}

func newFleet(s *store, r *record, works func(spec, task string) (work, bool)) *fleet {
	return &fleet{store: s, record: r, works: works, ends: make(map[string][]string), runs: make(map[string]int), starts: make(map[string][]time.Time)}
}

// endsOf returns how the runs of a task have ended so far.
func (f *fleet) endsOf(task string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.ends[task])
}

// going counts the runs of a task that go.
func (f *fleet) going(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[task]
}

// startsAfter counts the runs of a job that began after an instant.
func (f *fleet) startsAfter(job string, instant time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, at := range f.starts[job] {
		if at.After(instant) {
			count++
		}
	}
	return count
}

func (f *fleet) began(e *executor, r *activeRun) {
	f.mu.Lock()
	f.runs[r.task]++
	going := f.runs[r.task]
	f.starts[jobOf(r.task)] = append(f.starts[jobOf(r.task)], r.began)
	f.mu.Unlock()
	f.record.line("run    %s#%d begins on %s (%s), runs of it that go: %d", r.task, r.run, e.name, e.id, going)
}

func (f *fleet) ended(e *executor, r *activeRun, how string) {
	f.mu.Lock()
	f.runs[r.task]--
	f.ends[r.task] = append(f.ends[r.task], how)
	f.mu.Unlock()
	f.record.line("run    %s#%d ends on %s (%s): %s after %d ms", r.task, r.run, e.name, e.id, how, time.Since(r.began).Milliseconds())
}

// executor is one machine that runs tasks, in its present life. A crash ends the life; the next one has another id
// at the same address.
type executor struct {
	fleet    *fleet
	name     string
	service  string
	zone     string
	labels   []string
	capacity resources
	address  string

	mu       sync.Mutex
	id       string
	life     int
	up       bool
	state    string
	sequence int64
	bornAt   time.Time
	token    int64
	leaseEnd time.Duration // on the executor's clock
	active   map[string]*activeRun
	ruled    map[string]int64
	listed   []end
	serial   int64
	server   *http.Server
	news     chan struct{}
	quit     chan struct{}
}

func (f *fleet) add(name, service, zone string, labels []string, capacity resources) (*executor, error) {
	e := &executor{fleet: f, name: name, service: service, zone: zone, labels: labels, capacity: capacity}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.address = listener.Addr().String()
	e.begin(listener)
	return e, nil
}

// begin starts a life.
func (e *executor) begin(listener net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.life++
	e.id = fmt.Sprintf("i-%s-%d", e.name, e.life)
	e.up, e.state, e.bornAt = true, "ready", time.Now()
	e.token, e.leaseEnd, e.serial, e.listed = 0, 0, 0, nil
	e.active, e.ruled = make(map[string]*activeRun), make(map[string]int64)
	e.news, e.quit = make(chan struct{}), make(chan struct{})
	e.server = &http.Server{Handler: e}
	go func(s *http.Server) { _ = s.Serve(listener) }(e.server)
	go e.live(e.quit)
	go e.beat(e.id, e.quit)
	e.fleet.record.line("exec   %s is up as %s at %s", e.name, e.id, e.address)
}

// crash ends the life at once: its runs are gone, and its connections are reset.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	e.up = false
	close(e.quit)
	_ = e.server.Close()
	e.fleet.record.line("exec   %s (%s) crashes", e.name, e.id)
	for _, r := range e.active {
		e.fleet.ended(e, r, "crash")
	}
	e.active = make(map[string]*activeRun)
	gone := e.id
	time.AfterFunc(3*heartbeat, func() { e.fleet.store.remove("servers", gone) })
}

// restart starts the next life after a crash.
func (e *executor) restart() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.begin(listener)
	return nil
}

// runs reports whether a task runs here.
func (e *executor) runs(task string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up && e.active[task] != nil
}

// beat writes the entry of a life into the store.
func (e *executor) beat(id string, quit chan struct{}) {
	for {
		e.mu.Lock()
		e.sequence++
		entry := map[string]any{
			"backend": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": e.state,
			"coldRemainingMs": 0, "capacity": e.capacity, "labels": e.labels, "clockMs": e.clock().Milliseconds(), "sequence": e.sequence,
		}
		up := e.up && e.id == id
		e.mu.Unlock()
		if !up {
			return
		}
		e.fleet.store.put("servers", id, entry)
		select {
		case <-quit:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (e *executor) clock() time.Duration { return time.Since(e.bornAt) }

// live ends the runs that are done or whose lease is over.
func (e *executor) live(quit chan struct{}) {
	for {
		select {
		case <-quit:
			return
		case <-time.After(executorTick):
		}
		e.mu.Lock()
		lapsed := e.clock() > e.leaseEnd
		for _, r := range e.active {
			switch {
			case lapsed:
				e.endRun(r, "lapsed")
			case time.Since(r.began) >= r.work.takes:
				e.endRun(r, "done")
			}
		}
		e.mu.Unlock()
	}
}

// endRun lists the end of a run. The caller holds the lock.
func (e *executor) endRun(r *activeRun, how string) {
	delete(e.active, r.task)
	e.ruled[r.task] = max(e.ruled[r.task], r.run)
	e.serial++
	e.listed = append(e.listed, end{e.serial, r.task, r.run, how})
	close(e.news)
	e.news = make(chan struct{})
	e.fleet.ended(e, r, how)
}

// order is the body of any call to an executor.
type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"runId"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Token    int64  `json:"token"`
	Seen     int64  `json:"seen"`
	Wait     int64  `json:"waitMs"`
}

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var o order
	if err := json.Unmarshal(fromWire(body), &o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, answer := e.take(r, o)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (e *executor) take(r *http.Request, o order) (int, any) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if intended := r.Header.Get(wire.Instance); intended != "" && intended != e.id {
		e.mu.Unlock()
		return http.StatusMisdirectedRequest, map[string]any{}
	}
	if o.Token < e.token {
		defer e.mu.Unlock()
		return e.refuse("fence")
	}
	e.token = o.Token
	if o.Deadline > 0 {
		e.leaseEnd = max(e.leaseEnd, min(time.Duration(o.Deadline)*time.Millisecond, e.clock()+maxHold))
	}
	switch r.URL.Path {
	case wire.Hold:
		return e.hold(o, r.Context().Done())
	case wire.Start:
		defer e.mu.Unlock()
		return e.start(o)
	case wire.Stop:
		defer e.mu.Unlock()
		e.ruled[o.Task] = max(e.ruled[o.Task], o.Run)
		if running := e.active[o.Task]; running != nil && running.run == o.Run {
			time.AfterFunc(stopTakes, func() {
				e.mu.Lock()
				defer e.mu.Unlock()
				if e.active[o.Task] == running {
					e.endRun(running, "stopped")
				}
			})
		}
	case wire.Pace:
		defer e.mu.Unlock()
	default:
		defer e.mu.Unlock()
		return http.StatusNotFound, map[string]any{}
	}
	return http.StatusOK, map[string]any{"clockMs": e.clock().Milliseconds()}
}

func (e *executor) refuse(reason string) (int, any) {
	return http.StatusConflict, map[string]any{"clockMs": e.clock().Milliseconds(), "reason": reason}
}

// start begins a run. The caller holds the lock.
func (e *executor) start(o order) (int, any) {
	running := e.active[o.Task]
	if running != nil && running.run == o.Run {
		return http.StatusOK, map[string]any{"clockMs": e.clock().Milliseconds()}
	}
	work, known := e.fleet.works(o.Spec, o.Task)
	if !known {
		e.fleet.record.line("start  of %s#%d, which no client sent", o.Task, o.Run)
		return http.StatusBadRequest, map[string]any{}
	}
	used := work.needs
	for _, r := range e.active {
		used = used.plus(r.work.needs)
	}
	switch {
	case running != nil || o.Run <= e.ruled[o.Task]:
		return e.refuse("old")
	case time.Duration(o.Deadline)*time.Millisecond <= e.clock():
		return e.refuse("late")
	case !used.fits(e.capacity):
		return e.refuse("room")
	}
	r := &activeRun{task: o.Task, run: o.Run, work: work, began: time.Now()}
	e.active[o.Task] = r
	e.fleet.began(e, r)
	return http.StatusOK, map[string]any{"clockMs": e.clock().Milliseconds()}
}

// hold answers with both lists, after a wait for an end. The caller has locked the executor.
func (e *executor) hold(o order, gone <-chan struct{}) (int, any) {
	e.listed = slices.DeleteFunc(e.listed, func(x end) bool { return x.serial <= o.Seen })
	deadline := time.NewTimer(min(time.Duration(o.Wait)*time.Millisecond, maxWait))
	defer deadline.Stop()
	for waits := o.Wait > 0; waits && len(e.listed) == 0; {
		news, quit := e.news, e.quit
		e.mu.Unlock()
		select {
		case <-news:
		case <-deadline.C:
			waits = false
		case <-quit:
			panic(http.ErrAbortHandler)
		case <-gone:
			panic(http.ErrAbortHandler)
		}
		e.mu.Lock()
	}
	defer e.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, task := range slices.Sorted(maps.Keys(e.active)) {
		r := e.active[task]
		percent := min(99, int(100*time.Since(r.began)/max(r.work.takes, 1)))
		running = append(running, []any{r.task, r.run, "", percent, r.work.needs.CPU})
	}
	for _, x := range e.listed[:min(len(e.listed), maxEndsAtOnce)] {
		ended = append(ended, []any{x.serial, x.task, x.run, x.how, ""})
	}
	return http.StatusOK, map[string]any{"clockMs": e.clock().Milliseconds(), "running": running, "ended": ended}
}

// jobOf returns the job that a task belongs to.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}
