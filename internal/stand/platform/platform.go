// Package platform serves a keeper over HTTP as the platform's stand-in.
package platform

import (
	"errors"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/platform/connector"
	"github.com/cottonlanding/cottonlanding/internal/platform/keeper"
	"github.com/cottonlanding/cottonlanding/internal/web/responder"
)

// Paths by which stand-in workers and executors list themselves, and by which
// tests read what the platform had to do.
const (
	WorkersPath   = "/stand/Workers"
	ExecutorsPath = "/stand/Executors"
	CountsPath    = "/stand/Counts"
)

// Platform is the HTTP face of a keeper.
type Platform struct {
	keeper *keeper.Keeper
	lag    cottonlanding.Millis
	mux    *http.ServeMux

	mu     sync.Mutex
	cached map[cottonlanding.DataCentre]cachedHosts
}

type cachedHosts struct {
	hosts cottonlanding.Hosts
	read  time.Time
}

// New returns a platform whose host list lags by lag.
func New(keeper *keeper.Keeper, lag cottonlanding.Millis) *Platform {
	p := &Platform{
		keeper: keeper,
		lag:    lag,
		mux:    http.NewServeMux(),
		cached: make(map[cottonlanding.DataCentre]cachedHosts),
	}
	p.mux.HandleFunc("POST "+connector.CommitPath, p.commit)
	p.mux.HandleFunc("POST "+connector.ReadPath, p.read)
	p.mux.HandleFunc("POST "+connector.ScanPath, p.scan)
	p.mux.HandleFunc(connector.ObjectsPath, p.object)
	p.mux.HandleFunc("GET "+connector.HostsPath, p.hosts)
	p.mux.HandleFunc("PUT "+WorkersPath, p.setWorker)
	p.mux.HandleFunc("PUT "+ExecutorsPath, p.setExecutor)
	p.mux.HandleFunc("GET "+CountsPath, p.counts)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var transaction cottonlanding.Transaction
	if !decode(w, r, &transaction) {
		return
	}
	receipt, err := p.keeper.Commit(r.Context(), transaction)
	answer(w, receipt, err)
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	var request connector.ReadRequest
	if !decode(w, r, &request) {
		return
	}
	rows, err := p.keeper.Read(r.Context(), request.Keys...)
	answer(w, connector.RowsAnswer{Rows: rows}, err)
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	var request connector.ScanRequest
	if !decode(w, r, &request) {
		return
	}
	rows, err := p.keeper.Scan(r.Context(), request.Prefix, request.After, request.Limit)
	answer(w, connector.RowsAnswer{Rows: rows}, err)
}

func (p *Platform) object(w http.ResponseWriter, r *http.Request) {
	name, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), connector.ObjectsPath))
	if err != nil {
		responder.Fail(w, http.StatusBadRequest, "BadName", err.Error())
		return
	}
	object := cottonlanding.ObjectName(name)
	switch r.Method {
	case http.MethodPut:
		data, err := responder.Body(r)
		if err == nil {
			err = p.keeper.Put(r.Context(), object, data)
		}
		answer(w, struct{}{}, err)
	case http.MethodDelete:
		answer(w, struct{}{}, p.keeper.Delete(r.Context(), object))
	default:
		p.getObject(w, r, object)
	}
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request, object cottonlanding.ObjectName) {
	data, err := p.keeper.Get(r.Context(), object)
	if err != nil {
		responder.Error(w, err)
		return
	}
	_, _ = w.Write(data) // the caller is gone if this fails
}

func (p *Platform) hosts(w http.ResponseWriter, r *http.Request) {
	dataCentre := cottonlanding.DataCentre(r.URL.Query().Get("DataCentre"))
	p.mu.Lock()
	defer p.mu.Unlock()
	cached, found := p.cached[dataCentre]
	if !found || time.Since(cached.read) >= p.lag.Duration() {
		hosts, err := p.keeper.Hosts(r.Context(), dataCentre)
		if err != nil {
			responder.Error(w, err)
			return
		}
		cached = cachedHosts{hosts: hosts, read: time.Now()}
		p.cached[dataCentre] = cached
	}
	responder.Write(w, http.StatusOK, cached.hosts)
}

func (p *Platform) setWorker(w http.ResponseWriter, r *http.Request) {
	var worker cottonlanding.WorkerInfo
	if decode(w, r, &worker) {
		p.keeper.SetWorker(worker)
		responder.Write(w, http.StatusOK, struct{}{})
	}
}

func (p *Platform) setExecutor(w http.ResponseWriter, r *http.Request) {
	var executor cottonlanding.ExecutorInfo
	if decode(w, r, &executor) {
		p.keeper.SetExecutor(executor)
		responder.Write(w, http.StatusOK, struct{}{})
	}
}

func (p *Platform) counts(w http.ResponseWriter, _ *http.Request) {
	responder.Write(w, http.StatusOK, p.keeper.Counts())
}

func decode(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := responder.Read(r, out); err != nil {
		responder.Fail(w, http.StatusBadRequest, "BadBody", err.Error())
		return false
	}
	return true
}

func answer(w http.ResponseWriter, body any, err error) {
	switch {
	case err == nil:
		responder.Write(w, http.StatusOK, body)
	case errors.Is(err, cottonlanding.ErrConflict):
		responder.Fail(w, http.StatusConflict, "Conflict", err.Error())
	default:
		responder.Error(w, err)
	}
}
