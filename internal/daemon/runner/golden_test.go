package runner_test

import (
	"testing"

	"github.com/cottonlanding/cottonlanding/internal/daemon/runner"
	"github.com/cottonlanding/cottonlanding/internal/golden/transcriber"
)

// TestGoldenState guards against another field of the dump that operators read.
func TestGoldenState(t *testing.T) { transcriber.RoundTrip[runner.State](t, "state") }
