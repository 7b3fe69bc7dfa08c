// Package operator calls a daemon's API on an operator's behalf.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/api/server"
	"github.com/cottonlanding/cottonlanding/internal/web/caller"
	"github.com/cottonlanding/cottonlanding/internal/web/responder"
)

// Operator speaks to one daemon.
type Operator struct {
	caller  *caller.Caller
	address cottonlanding.Address
}

// New returns an operator of the daemon at address.
func New(caller *caller.Caller, address cottonlanding.Address) *Operator {
	return &Operator{caller: caller, address: address}
}

// Refusal is an answer that reports an error.
type Refusal struct {
	Status  int
	Problem responder.Problem
	Outcome cottonlanding.Outcome
	// RetryAfter is the header's value, in seconds, or empty.
	RetryAfter string
}

// Error implements error.
func (r *Refusal) Error() string {
	text := fmt.Sprintf("%s: %s", r.Problem.Error, r.Problem.Detail)
	if r.RetryAfter != "" {
		text += fmt.Sprintf(" (come back in %s s)", r.RetryAfter)
	}
	return text
}

// Config returns the configuration in force and its generation.
func (o *Operator) Config(ctx context.Context) ([]byte, cottonlanding.Generation, error) {
	response, err := o.do(ctx, http.MethodGet, "/v1/Config", nil, nil)
	if err != nil {
		return nil, 0, err
	}
	generation, err := strconv.ParseUint(response.Header.Get("ETag"), 10, 64)
	if err != nil {
		return nil, 0, fmt.Errorf("the answer's ETag is no generation: %w", err)
	}
	return response.Body, cottonlanding.Generation(generation), nil
}

// Apply puts a configuration in the place of the generation expected.
func (o *Operator) Apply(ctx context.Context, text []byte, expected cottonlanding.Generation, dryRun bool) (server.Applied, error) {
	path := "/v1/Config"
	if dryRun {
		path += "?DryRun=true"
	}
	header := http.Header{"If-Match": {strconv.FormatUint(uint64(expected), 10)}}
	var applied server.Applied
	err := o.decode(ctx, http.MethodPut, path, text, header, &applied)
	return applied, err
}

// Submit submits a job in YAML or JSON.
func (o *Operator) Submit(ctx context.Context, name cottonlanding.JobName, text []byte) (cottonlanding.JobStatus, error) {
	var status cottonlanding.JobStatus
	err := o.decode(ctx, http.MethodPut, "/v1/Jobs/"+string(name), text, nil, &status)
	return status, err
}

// Cancel cancels a job.
func (o *Operator) Cancel(ctx context.Context, name cottonlanding.JobName) (cottonlanding.JobStatus, error) {
	var status cottonlanding.JobStatus
	err := o.decode(ctx, http.MethodDelete, "/v1/Jobs/"+string(name), nil, nil, &status)
	return status, err
}

// Status returns a job with its tasks.
func (o *Operator) Status(ctx context.Context, name cottonlanding.JobName) (cottonlanding.JobStatus, error) {
	var status cottonlanding.JobStatus
	err := o.decode(ctx, http.MethodGet, "/v1/Jobs/"+string(name), nil, nil, &status)
	return status, err
}

// Drain begins a planned stop.
func (o *Operator) Drain(ctx context.Context) error {
	_, err := o.do(ctx, http.MethodPost, "/v1/Drain", nil, nil)
	return err
}

// State returns the dump in JSON.
func (o *Operator) State(ctx context.Context) ([]byte, error) {
	response, err := o.do(ctx, http.MethodGet, "/v1/State", nil, nil)
	return response.Body, err
}

func (o *Operator) decode(ctx context.Context, method, path string, body []byte, header http.Header, out any) error {
	response, err := o.do(ctx, method, path, body, header)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(response.Body, out); err != nil {
		return fmt.Errorf("decode the answer: %w", err)
	}
	return nil
}

func (o *Operator) do(ctx context.Context, method, path string, body []byte, header http.Header) (caller.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(o.address)+path, bytes.NewReader(body))
	if err != nil {
		return caller.Response{}, fmt.Errorf("build %s %s: %w", method, path, err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := o.caller.Do(ctx, request)
	if err != nil {
		return caller.Response{}, err
	}
	if response.Status >= http.StatusMultipleChoices {
		return response, refusal(response)
	}
	return response, nil
}

func refusal(response caller.Response) error {
	out := &Refusal{
		Status:     response.Status,
		Outcome:    cottonlanding.Outcome(response.Header.Get(server.OutcomeHeader)),
		RetryAfter: response.Header.Get(server.RetryAfterHeader),
	}
	if err := json.Unmarshal(response.Body, &out.Problem); err != nil {
		out.Problem = responder.Problem{Error: "BadAnswer", Detail: string(response.Body)}
	}
	return out
}
