package responder_test

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/golden/transcriber"
	"github.com/cottonlanding/cottonlanding/internal/web/responder"
)

// TestGoldenProblems guards against another word or status for an error, or another field of a
// problem.
func TestGoldenProblems(t *testing.T) {
	out := ""
	for _, one := range []struct{ sent, read error }{
		{cottonlanding.ErrStaleEpoch, cottonlanding.ErrStaleEpoch},
		{cottonlanding.ErrConflict, cottonlanding.ErrConflict},
		{cottonlanding.ErrRefused, cottonlanding.ErrRefused},
		{cottonlanding.ErrCannotRun, cottonlanding.ErrCannotRun},
		{cottonlanding.ErrNotFound, cottonlanding.ErrNotFound},
		{cottonlanding.ErrBadName, cottonlanding.ErrBadName},
		{cottonlanding.ErrBusy, cottonlanding.ErrBusy},
		{cottonlanding.ErrAmbiguous, cottonlanding.ErrAmbiguous},
		{cottonlanding.ErrNotOwner, cottonlanding.ErrNotOwner},
		{cottonlanding.ErrUnavailable, cottonlanding.ErrUnavailable},
		{cottonlanding.ErrLate, cottonlanding.ErrAmbiguous},
		{cottonlanding.ErrOtherLife, cottonlanding.ErrAmbiguous},
		{cottonlanding.ErrHistoryGone, cottonlanding.ErrAmbiguous},
		{errors.New("other"), cottonlanding.ErrAmbiguous},
	} {
		recorded := httptest.NewRecorder()
		require.Equal(t, responder.Error(recorded, fmt.Errorf("why: %w", one.sent)), recorded.Code)
		require.ErrorIs(t, responder.ErrorOf(recorded.Body.Bytes()), one.read)
		out += transcriber.Response(recorded) + "\n"
	}
	recorded := httptest.NewRecorder()
	responder.Write(recorded, 200, make(chan int)) // nothing that JSON can hold
	transcriber.RequireFile(t, "problems.txt", out+transcriber.Response(recorded))
	transcriber.RoundTrip[responder.Problem](t, "problem")
}
