// Package connector reaches the platform's table service, object store and host
// list over HTTP with JSON bodies. It is the one adapter that knows their
// protocol.
package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/web/caller"
)

// Paths of the platform's services.
const (
	CommitPath  = "/v1/Table/Commit"
	ReadPath    = "/v1/Table/Read"
	ScanPath    = "/v1/Table/Scan"
	ObjectsPath = "/v1/Objects/"
	HostsPath   = "/v1/Hosts"
)

// ScanRequest is the body of a scan.
type ScanRequest struct {
	Prefix cottonlanding.Key
	After  cottonlanding.Key
	Limit  int
}

// ReadRequest is the body of a read.
type ReadRequest struct {
	Keys []cottonlanding.Key
}

// RowsAnswer is the answer to a read or a scan.
type RowsAnswer struct {
	Rows []cottonlanding.Row
}

// Connector implements cottonlanding.Table, ObjectStore and HostList.
type Connector struct {
	caller  *caller.Caller
	address cottonlanding.Address
}

// New returns a connector to the platform at address.
func New(caller *caller.Caller, address cottonlanding.Address) *Connector {
	return &Connector{caller: caller, address: address}
}

// Commit implements cottonlanding.Table.
func (c *Connector) Commit(ctx context.Context, transaction cottonlanding.Transaction) (cottonlanding.Receipt, error) {
	var receipt cottonlanding.Receipt
	err := c.call(ctx, http.MethodPost, CommitPath, transaction, &receipt)
	return receipt, err
}

// Read implements cottonlanding.Table.
func (c *Connector) Read(ctx context.Context, keys ...cottonlanding.Key) ([]cottonlanding.Row, error) {
	var answer RowsAnswer
	err := c.call(ctx, http.MethodPost, ReadPath, ReadRequest{Keys: keys}, &answer)
	return answer.Rows, caller.ReadOnly(err)
}

// Scan implements cottonlanding.Table.
func (c *Connector) Scan(ctx context.Context, prefix, after cottonlanding.Key, limit int) ([]cottonlanding.Row, error) {
	var answer RowsAnswer
	err := c.call(ctx, http.MethodPost, ScanPath, ScanRequest{Prefix: prefix, After: after, Limit: limit}, &answer)
	return answer.Rows, caller.ReadOnly(err)
}

// Hosts implements cottonlanding.HostList.
func (c *Connector) Hosts(ctx context.Context, dataCentre cottonlanding.DataCentre) (cottonlanding.Hosts, error) {
	var hosts cottonlanding.Hosts
	path := HostsPath + "?DataCentre=" + url.QueryEscape(string(dataCentre))
	err := c.call(ctx, http.MethodGet, path, nil, &hosts)
	return hosts, caller.ReadOnly(err)
}

// Put implements cottonlanding.ObjectStore.
func (c *Connector) Put(ctx context.Context, name cottonlanding.ObjectName, data []byte) error {
	_, err := c.send(ctx, http.MethodPut, objectPath(name), data)
	return err
}

// Get implements cottonlanding.ObjectStore.
func (c *Connector) Get(ctx context.Context, name cottonlanding.ObjectName) ([]byte, error) {
	data, err := c.send(ctx, http.MethodGet, objectPath(name), nil)
	return data, caller.ReadOnly(err)
}

// Delete implements cottonlanding.ObjectStore.
func (c *Connector) Delete(ctx context.Context, name cottonlanding.ObjectName) error {
	_, err := c.send(ctx, http.MethodDelete, objectPath(name), nil)
	return err
}

func objectPath(name cottonlanding.ObjectName) string {
	return ObjectsPath + url.PathEscape(string(name))
}

func (c *Connector) call(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("encode %s: %w", path, err)
		}
	}
	answer, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return fmt.Errorf("%w: %s answered %q: %w", cottonlanding.ErrAmbiguous, path, clip(answer), err)
	}
	return nil
}

func (c *Connector) send(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(c.address)+path, reader(body))
	if err != nil {
		return nil, fmt.Errorf("build %s %s: %w", method, path, err)
	}
	response, err := c.caller.Do(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	return response.Body, statusError(method, path, response)
}

func reader(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return bytes.NewReader(body)
}

func statusError(method, path string, response caller.Response) error {
	switch response.Status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return fmt.Errorf("%w: %s", cottonlanding.ErrConflict, clip(response.Body))
	case http.StatusNotFound:
		return fmt.Errorf("%w: %s %s", cottonlanding.ErrNotFound, method, path)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return fmt.Errorf("%w: %s %s: %s", cottonlanding.ErrUnavailable, method, path, clip(response.Body))
	default:
		return fmt.Errorf("%w: %s %s: status %d", cottonlanding.ErrAmbiguous, method, path, response.Status)
	}
}

const clipLength = 200

func clip(text []byte) []byte {
	return text[:min(len(text), clipLength)]
}
