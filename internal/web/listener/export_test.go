package listener

import (
	"net/http"
	"time"

	"github.com/cottonlanding/cottonlanding"
)

// NewIdle is New with a time-out of its own for connections without a request.
func NewIdle(handler http.Handler, idle time.Duration, address cottonlanding.Address) (*Listener, error) {
	return serve(handler, Limits{}, cottonlanding.FromDuration(idle), []cottonlanding.Address{address})
}
