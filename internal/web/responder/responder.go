// Package responder writes JSON answers and reads JSON bodies.
package responder

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/cottonlanding/cottonlanding"
)

// Problem is the body of every answer that reports an error.
type Problem struct {
	// Error is a word for programs, such as "NotFound".
	Error string
	// Detail is a sentence for people.
	Detail string
}

// Write answers with a status and a JSON body.
func Write(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"Error":"Internal"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller is gone if this fails
}

// Fail answers with a problem.
func Fail(w http.ResponseWriter, status int, word, detail string) {
	Write(w, status, Problem{Error: word, Detail: detail})
}

// Read decodes a JSON body into out. Unknown fields are errors.
func Read(r *http.Request, out any) error {
	if r.Body == nil {
		return errors.New("the body is empty")
	}
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return fmt.Errorf("the body is no valid JSON of this kind: %w", err)
	}
	return nil
}

// Body returns a request's whole body.
func Body(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	return io.ReadAll(r.Body)
}

// kind pairs an error of the root package with its word and status.
type kind struct {
	err    error
	word   string
	status int
}

var kinds = []kind{
	{cottonlanding.ErrStaleEpoch, "StaleEpoch", http.StatusConflict},
	{cottonlanding.ErrConflict, "Conflict", http.StatusConflict},
	{cottonlanding.ErrRefused, "Refused", http.StatusUnprocessableEntity},
	{cottonlanding.ErrCannotRun, "CannotRun", http.StatusUnprocessableEntity},
	{cottonlanding.ErrNotFound, "NotFound", http.StatusNotFound},
	{cottonlanding.ErrBadName, "BadName", http.StatusBadRequest},
	{cottonlanding.ErrBusy, "Busy", http.StatusTooManyRequests},
	{cottonlanding.ErrAmbiguous, "Unknown", http.StatusGatewayTimeout},
	{cottonlanding.ErrNotOwner, "NotOwner", http.StatusServiceUnavailable},
	{cottonlanding.ErrUnavailable, "Unavailable", http.StatusServiceUnavailable},
}

// Error answers with the status and word of an error of the root package, and
// returns the status.
func Error(w http.ResponseWriter, err error) int {
	for _, k := range kinds {
		if errors.Is(err, k.err) {
			Fail(w, k.status, k.word, err.Error())
			return k.status
		}
	}
	Fail(w, http.StatusInternalServerError, "Internal", err.Error())
	return http.StatusInternalServerError
}

// ErrorOf returns the error of the root package that a problem's word names, or
// ErrAmbiguous for words that it doesn't know.
func ErrorOf(body []byte) error {
	var problem Problem
	if err := json.Unmarshal(body, &problem); err != nil {
		return fmt.Errorf("%w: the answer is no problem: %w", cottonlanding.ErrAmbiguous, err)
	}
	for _, k := range kinds {
		if k.word == problem.Error {
			return fmt.Errorf("%w: %s", k.err, problem.Detail)
		}
	}
	return fmt.Errorf("%w: %s: %s", cottonlanding.ErrAmbiguous, problem.Error, problem.Detail)
}
