// Package commander speaks to workers over HTTP with JSON bodies. It is the one
// adapter that knows their protocol.
package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/web/caller"
	"github.com/cottonlanding/cottonlanding/internal/web/responder"
)

// Paths of a worker's operations.
const (
	RenewPath       = "/v1/Worker/Renew"
	StartPath       = "/v1/Worker/Start"
	StopPath        = "/v1/Worker/Stop"
	CheckpointPath  = "/v1/Worker/Checkpoint"
	ThrottlePath    = "/v1/Worker/Throttle"
	AcknowledgePath = "/v1/Worker/Acknowledge"
)

// Commander implements cottonlanding.WorkerClient.
type Commander struct {
	caller *caller.Caller
}

// New returns a commander that sends through caller.
func New(caller *caller.Caller) *Commander { return &Commander{caller: caller} }

// Renew implements cottonlanding.WorkerClient.
func (c *Commander) Renew(ctx context.Context, worker cottonlanding.Address, fence cottonlanding.Fence) (cottonlanding.Inventory, error) {
	var inventory cottonlanding.Inventory
	body, err := c.post(ctx, worker, RenewPath, fence)
	if err != nil {
		return inventory, err
	}
	if err := json.Unmarshal(body, &inventory); err != nil {
		return inventory, fmt.Errorf("%w: inventory of %s: %w", cottonlanding.ErrAmbiguous, worker, err)
	}
	return inventory, nil
}

// Start implements cottonlanding.WorkerClient.
func (c *Commander) Start(ctx context.Context, worker cottonlanding.Address, start cottonlanding.Start) error {
	_, err := c.post(ctx, worker, StartPath, start)
	return err
}

// Stop implements cottonlanding.WorkerClient.
func (c *Commander) Stop(ctx context.Context, worker cottonlanding.Address, command cottonlanding.Command) error {
	_, err := c.post(ctx, worker, StopPath, command)
	return err
}

// Checkpoint implements cottonlanding.WorkerClient.
func (c *Commander) Checkpoint(ctx context.Context, worker cottonlanding.Address, command cottonlanding.Command) error {
	_, err := c.post(ctx, worker, CheckpointPath, command)
	return err
}

// Throttle implements cottonlanding.WorkerClient.
func (c *Commander) Throttle(ctx context.Context, worker cottonlanding.Address, command cottonlanding.Command) error {
	_, err := c.post(ctx, worker, ThrottlePath, command)
	return err
}

// Acknowledge implements cottonlanding.WorkerClient.
func (c *Commander) Acknowledge(ctx context.Context, worker cottonlanding.Address, command cottonlanding.Command) error {
	_, err := c.post(ctx, worker, AcknowledgePath, command)
	return err
}

func (c *Commander) post(ctx context.Context, worker cottonlanding.Address, path string, message any) ([]byte, error) {
	data, err := json.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", path, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(worker)+path, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("build %s: %w", path, err)
	}
	response, err := c.caller.Do(ctx, request)
	if err != nil {
		return nil, err
	}
	if response.Status != http.StatusOK {
		return nil, responder.ErrorOf(response.Body)
	}
	return response.Body, nil
}
