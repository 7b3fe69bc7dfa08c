package messenger

import (
	"context"
	"strconv"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"github.com/cottonlanding/cottonlanding"
)

// retryAfterKey is the key of the trailer that holds the retry time of an error, in milliseconds. Replies have no field
// for it, so that processes of older versions need no change.
const retryAfterKey = "retry-after-ms"

// maxRetryAfter is the largest retry time that is taken from a trailer. Others are ignored.
const maxRetryAfter = cottonlanding.Minute

// SetRetryAfter sends the retry time of the error that a call is answered with, if it has one. ctx is that of the
// call's handler.
func SetRetryAfter(ctx context.Context, err error) {
	after, found := cottonlanding.RetryAfter(err)
	if !found {
		return
	}
	_ = grpc.SetTrailer(ctx, metadata.Pairs(retryAfterKey, strconv.FormatInt(int64(after), 10))) // fails only outside of a call
}

// WithRetryAfter returns the error that a reply stands for with the retry time in the trailer of the call, if there is
// one.
func WithRetryAfter(err error, trailer metadata.MD) error {
	values := trailer.Get(retryAfterKey)
	if err == nil || len(values) == 0 {
		return err
	}
	after, parseErr := strconv.ParseInt(values[0], 10, 64)
	if parseErr != nil || after <= 0 || cottonlanding.Millis(after) > maxRetryAfter {
		return err
	}
	return cottonlanding.WithRetryAfter(err, cottonlanding.Millis(after))
}
