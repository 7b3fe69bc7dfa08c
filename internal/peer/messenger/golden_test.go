package messenger_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/peer/messenger"
	"github.com/cottonlanding/cottonlanding/internal/peer/wire"
)

// TestGoldenCodes guards against another code for an error between processes.
func TestGoldenCodes(t *testing.T) {
	for _, one := range []struct {
		code   wire.Code
		number int32
		err    error
	}{
		{wire.Code_NOT_OWNER, 1, cottonlanding.ErrNotOwner},
		{wire.Code_CANNOT_RUN, 2, cottonlanding.ErrCannotRun},
		{wire.Code_BUSY, 3, cottonlanding.ErrBusy},
		{wire.Code_UNAVAILABLE, 4, cottonlanding.ErrUnavailable},
		{wire.Code_AMBIGUOUS, 5, cottonlanding.ErrAmbiguous},
		{wire.Code_NOT_FOUND, 6, cottonlanding.ErrNotFound},
		{wire.Code_CONFLICT, 7, cottonlanding.ErrConflict},
	} {
		require.Equal(t, one.number, int32(one.code), "%s", one.code)
		require.Equal(t, one.code, messenger.CodeOf(fmt.Errorf("why: %w", one.err)))
		err := messenger.ErrorOf(one.code, "why")
		require.ErrorIs(t, err, one.err)
		require.Equal(t, one.err.Error()+": why", err.Error())
	}
	require.Equal(t, wire.Code(0), messenger.CodeOf(nil))
	require.NoError(t, messenger.ErrorOf(wire.Code_OK, "why"))
	for _, other := range []error{
		cottonlanding.ErrBadName, cottonlanding.ErrStaleEpoch, cottonlanding.ErrRefused, cottonlanding.ErrLate,
		cottonlanding.ErrOtherLife, cottonlanding.ErrHistoryGone,
	} {
		require.Equal(t, wire.Code_AMBIGUOUS, messenger.CodeOf(other), "%s", other)
	}
	require.ErrorIs(t, messenger.ErrorOf(wire.Code(99), "why"), cottonlanding.ErrAmbiguous)
}
