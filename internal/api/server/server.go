// Package server is the HTTP face of a daemon, for callers and operators.
package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/coordination/follower"
	"github.com/cottonlanding/cottonlanding/internal/request/dispatcher"
	"github.com/cottonlanding/cottonlanding/internal/settings/loader"
	"github.com/cottonlanding/cottonlanding/internal/web/responder"
)

// Headers of the API.
const (
	TeamHeader        = "Cottonlanding-Team"
	KeyHeader         = "Idempotency-Key"
	DeadlineHeader    = "Cottonlanding-Deadline"
	OutcomeHeader     = "Cottonlanding-Outcome"
	RetryAfterHeader  = "Retry-After"
	RetryMillisHeader = "Cottonlanding-Retry-After-Millis"
)

const (
	// operationTimeout bounds operators' calls.
	operationTimeout = 5 * time.Second
	// retryLater is advised when the platform can't be reached.
	retryLater = 2 * cottonlanding.Second
)

// Jobs accepts and looks up jobs.
type Jobs interface {
	Submit(ctx context.Context, spec cottonlanding.JobSpec) error
	Cancel(ctx context.Context, name cottonlanding.JobName) error
	Status(ctx context.Context, name cottonlanding.JobName) (cottonlanding.JobStatus, error)
}

// Requests runs callers' requests.
type Requests interface {
	Handle(ctx context.Context, call dispatcher.Call) dispatcher.Reply
}

// Configurations keeps the operators' file.
type Configurations interface {
	Apply(ctx context.Context, text []byte, expected cottonlanding.Generation) (cottonlanding.Generation, error)
	Current() follower.Snapshot
}

// Metrics counts what the server answers.
type Metrics interface {
	Request(service cottonlanding.ServiceName, outcome cottonlanding.Outcome, latency time.Duration)
	Job(operation string, status int)
	Handler() http.Handler
}

// Dependencies are what a server works with.
type Dependencies struct {
	Jobs           Jobs
	Requests       Requests
	Configurations Configurations
	Metrics        Metrics
	// Ready reports whether the balancer should send callers here.
	Ready func() bool
	// Drain begins a planned stop.
	Drain func()
	// State returns the dump.
	State func() any
}

// Server serves the API.
type Server struct {
	deps Dependencies
	mux  *http.ServeMux
}

// New returns a server.
func New(deps Dependencies) *Server {
	s := &Server{deps: deps, mux: http.NewServeMux()}
	s.mux.HandleFunc("/v1/Services/{service}/Requests", s.request)
	s.mux.HandleFunc("/v1/Services/{service}/Requests/{path...}", s.request)
	s.mux.HandleFunc("/v1/Jobs/{job}", s.job)
	s.mux.HandleFunc("/v1/Config", s.config)
	s.mux.HandleFunc("/v1/Drain", s.drain)
	s.mux.HandleFunc("/v1/State", s.state)
	s.mux.HandleFunc("/healthz", s.health)
	s.mux.HandleFunc("/readyz", s.ready)
	s.mux.Handle("/metrics", deps.Metrics.Handler())
	s.mux.HandleFunc("/", s.unknown)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Server) unknown(w http.ResponseWriter, r *http.Request) {
	responder.Fail(w, http.StatusNotFound, "UnknownPath", fmt.Sprintf("there is nothing at %s; see docs/API.md", r.URL.Path))
}

// only reports whether the method is one of those allowed, and answers if not.
func only(w http.ResponseWriter, r *http.Request, methods ...string) bool {
	for _, method := range methods {
		if r.Method == method {
			return true
		}
	}
	allowed := strings.Join(methods, ", ")
	w.Header().Set("Allow", allowed)
	responder.Fail(w, http.StatusMethodNotAllowed, "WrongMethod", fmt.Sprintf("%s takes %s, not %s", r.URL.Path, allowed, r.Method))
	return false
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	responder.Write(w, http.StatusOK, struct{ Healthy bool }{true})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.deps.Ready() {
		responder.Fail(w, http.StatusServiceUnavailable, "NotReady", "this host is starting or leaving")
		return
	}
	responder.Write(w, http.StatusOK, struct{ Ready bool }{true})
}

func (s *Server) state(w http.ResponseWriter, r *http.Request) {
	if only(w, r, http.MethodGet) {
		responder.Write(w, http.StatusOK, s.deps.State())
	}
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	if only(w, r, http.MethodPost) {
		s.deps.Drain()
		responder.Write(w, http.StatusAccepted, struct{ Draining bool }{true})
	}
}

// request runs a caller's request.
func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	service := cottonlanding.ServiceName(r.PathValue("service"))
	call, err := s.call(r, service)
	if err != nil {
		writeReply(w, dispatcher.Reply{Outcome: cottonlanding.NotRun, Status: http.StatusBadRequest, Word: "BadRequest", Detail: err.Error()})
		return
	}
	reply := s.deps.Requests.Handle(context.Background(), call)
	if reply.Status != http.StatusNotFound { // an unknown name must not become a metric
		s.deps.Metrics.Request(service, reply.Outcome, time.Since(began))
	}
	writeReply(w, reply)
}

func (s *Server) call(r *http.Request, service cottonlanding.ServiceName) (dispatcher.Call, error) {
	remaining, err := deadline(r.Header.Get(DeadlineHeader))
	if err != nil {
		return dispatcher.Call{}, err
	}
	body, err := responder.Body(r)
	if err != nil {
		return dispatcher.Call{}, fmt.Errorf("read the body: %w", err)
	}
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return dispatcher.Call{
		Request: cottonlanding.Request{
			Service: service,
			Team:    cottonlanding.Team(r.Header.Get(TeamHeader)),
			Method:  r.Method,
			Path:    path,
			Header:  cottonlanding.Header(r.Header),
			Body:    body,
		},
		Key:       r.Header.Get(KeyHeader),
		Remaining: remaining,
	}, nil
}

func deadline(text string) (cottonlanding.Millis, error) {
	if text == "" {
		return 0, nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis <= 0 {
		return 0, fmt.Errorf("%s %q is no number of milliseconds above 0", DeadlineHeader, text)
	}
	return cottonlanding.Millis(millis), nil
}

func writeReply(w http.ResponseWriter, reply dispatcher.Reply) {
	w.Header().Set(OutcomeHeader, string(reply.Outcome))
	if reply.Outcome != cottonlanding.Ran {
		advise(w, reply.RetryAfter)
		responder.Fail(w, reply.Status, reply.Word, reply.Detail)
		return
	}
	for name, values := range reply.Answer.Header {
		w.Header()[name] = values
	}
	w.Header().Set(OutcomeHeader, string(reply.Outcome))
	w.WriteHeader(reply.Answer.Status)
	_, _ = w.Write(reply.Answer.Body) // the caller is gone if this fails
}

// advise tells when to come back, in whole seconds and in milliseconds.
func advise(w http.ResponseWriter, after cottonlanding.Millis) {
	if after <= 0 {
		return
	}
	seconds := (after + cottonlanding.Second - 1) / cottonlanding.Second
	w.Header().Set(RetryAfterHeader, strconv.FormatInt(int64(seconds), 10))
	w.Header().Set(RetryMillisHeader, strconv.FormatInt(int64(after), 10))
}

func (s *Server) job(w http.ResponseWriter, r *http.Request) {
	if !only(w, r, http.MethodPut, http.MethodGet, http.MethodDelete) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	name := cottonlanding.JobName(r.PathValue("job"))
	if err := cottonlanding.CheckName(string(name)); err != nil {
		s.failJob(w, r.Method, err)
		return
	}
	switch r.Method {
	case http.MethodPut:
		s.submit(ctx, w, r, name)
	case http.MethodDelete:
		if err := s.deps.Jobs.Cancel(ctx, name); err != nil {
			s.failJob(w, r.Method, err)
			return
		}
		s.answerJob(ctx, w, r.Method, name)
	default:
		s.answerJob(ctx, w, r.Method, name)
	}
}

func (s *Server) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, name cottonlanding.JobName) {
	configuration, err := s.configuration()
	if err != nil {
		s.failJob(w, r.Method, err)
		return
	}
	body, err := responder.Body(r)
	if err != nil {
		responder.Fail(w, http.StatusBadRequest, "BadBody", err.Error())
		return
	}
	spec, err := loader.ParseJob("job", body, configuration)
	if err == nil && spec.Name != name {
		err = fmt.Errorf("the job is named %q in the body, %q in the path", spec.Name, name)
	}
	if err != nil {
		w.Header().Set(OutcomeHeader, string(cottonlanding.NotRun))
		responder.Fail(w, http.StatusBadRequest, "BadJob", err.Error())
		s.deps.Metrics.Job(r.Method, http.StatusBadRequest)
		return
	}
	if err := s.deps.Jobs.Submit(ctx, spec); err != nil {
		s.failJob(w, r.Method, err)
		return
	}
	s.deps.Metrics.Job(r.Method, http.StatusOK)
	responder.Write(w, http.StatusOK, cottonlanding.JobStatus{Job: cottonlanding.Job{Spec: spec, State: cottonlanding.JobAccepted}})
}

func (s *Server) configuration() (cottonlanding.Configuration, error) {
	current := s.deps.Configurations.Current()
	if current.Generation == 0 {
		return cottonlanding.Configuration{}, fmt.Errorf("no configuration is in force yet: %w", cottonlanding.ErrUnavailable)
	}
	return loader.ParseConfiguration("configuration", current.Text)
}

func (s *Server) answerJob(ctx context.Context, w http.ResponseWriter, method string, name cottonlanding.JobName) {
	status, err := s.deps.Jobs.Status(ctx, name)
	if err != nil {
		s.failJob(w, method, err)
		return
	}
	s.deps.Metrics.Job(method, http.StatusOK)
	responder.Write(w, http.StatusOK, status)
}

// failJob answers with an error; what was not done is NotRun, with advice when
// to come back where that can help.
func (s *Server) failJob(w http.ResponseWriter, method string, err error) {
	outcome := cottonlanding.NotRun
	if errors.Is(err, cottonlanding.ErrAmbiguous) {
		outcome = cottonlanding.Unknown
	}
	if retryable(err) {
		advise(w, retryLater)
	}
	w.Header().Set(OutcomeHeader, string(outcome))
	s.deps.Metrics.Job(method, responder.Error(w, err))
}

func retryable(err error) bool {
	for _, passing := range []error{cottonlanding.ErrUnavailable, cottonlanding.ErrBusy, cottonlanding.ErrNotOwner, cottonlanding.ErrAmbiguous} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// Applied answers an accepted configuration.
type Applied struct {
	Generation cottonlanding.Generation
	DryRun     bool
}

// Refused answers a configuration that lost against another.
type Refused struct {
	Error      string
	Detail     string
	Generation cottonlanding.Generation
	// Current is the text in force, for the operator to compare.
	Current string
}

func (s *Server) config(w http.ResponseWriter, r *http.Request) {
	if !only(w, r, http.MethodGet, http.MethodPut) {
		return
	}
	if r.Method == http.MethodPut {
		s.apply(w, r)
		return
	}
	current := s.deps.Configurations.Current()
	w.Header().Set("ETag", strconv.FormatUint(uint64(current.Generation), 10))
	w.Header().Set("Content-Type", "application/yaml")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(current.Text) // the caller is gone if this fails
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	body, err := responder.Body(r)
	if err != nil {
		responder.Fail(w, http.StatusBadRequest, "BadBody", err.Error())
		return
	}
	expected, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		responder.Fail(w, http.StatusPreconditionRequired, "NoIfMatch", "give the generation that the file replaces in If-Match, 0 for the first one")
		return
	}
	if _, err := loader.ParseConfiguration("configuration", body); err != nil {
		responder.Fail(w, http.StatusUnprocessableEntity, "BadConfiguration", err.Error())
		return
	}
	if r.URL.Query().Get("DryRun") == "true" {
		responder.Write(w, http.StatusOK, Applied{Generation: s.deps.Configurations.Current().Generation, DryRun: true})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	generation, err := s.deps.Configurations.Apply(ctx, body, cottonlanding.Generation(expected))
	var conflict *follower.Conflict
	switch {
	case err == nil:
		responder.Write(w, http.StatusOK, Applied{Generation: generation})
	case errors.As(err, &conflict):
		responder.Write(w, http.StatusConflict, Refused{
			Error: "Conflict", Detail: err.Error(), Generation: conflict.Current.Generation, Current: string(conflict.Current.Text),
		})
	default:
		advise(w, retryLater)
		responder.Error(w, err)
	}
}

// DecodeRefused returns the conflict that a body tells of.
func DecodeRefused(body []byte) (Refused, error) {
	var refused Refused
	if err := json.Unmarshal(body, &refused); err != nil {
		return Refused{}, fmt.Errorf("decode the refusal: %w", err)
	}
	return refused, nil
}
