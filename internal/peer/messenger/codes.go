package messenger

import (
	"errors"
	"fmt"
	"strings"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/peer/wire"
)

// dialFailure is how the library words a connection that could not be made, in
// capitals or not.
const dialFailure = "error while dialing"

func neverConnected(message string) bool {
	return strings.Contains(strings.ToLower(message), dialFailure)
}

// CodeOf returns the code that stands for an error in a reply.
func CodeOf(err error) wire.Code {
	if err == nil {
		return wire.Code_OK
	}
	for _, pair := range codeErrors {
		if errors.Is(err, pair.err) {
			return pair.code
		}
	}
	return wire.Code_AMBIGUOUS
}

// ErrorOf returns the error that a code and its detail stand for.
func ErrorOf(code wire.Code, detail string) error {
	if code == wire.Code_OK {
		return nil
	}
	for _, pair := range codeErrors {
		if pair.code == code {
			return fmt.Errorf("%w: %s", pair.err, detail)
		}
	}
	return fmt.Errorf("%w: code %d: %s", cottonlanding.ErrAmbiguous, code, detail)
}
