package cottonlanding

import (
	"fmt"
	"math"
	"time"
)

// Millis is an instant of a Clock, or a duration, in milliseconds.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
)

// Duration returns the duration as the standard library's type, or the longest of that type.
func (m Millis) Duration() time.Duration {
	const longest = Millis(math.MaxInt64 / time.Millisecond)
	return time.Duration(min(max(m, -longest), longest)) * time.Millisecond
}

// String returns the duration as it is written in settings, such as "1.5s".
func (m Millis) String() string { return m.Duration().String() }

// UnmarshalYAML reads a duration such as "250ms" or "3s". Negative ones are refused.
func (m *Millis) UnmarshalYAML(unmarshal func(any) error) error {
	var text string
	if err := unmarshal(&text); err != nil {
		return err
	}
	span, err := time.ParseDuration(text)
	if err != nil || span < 0 {
		return fmt.Errorf("%q is no span of time: write it like 250ms or 3s", text)
	}
	*m = FromDuration(span)
	return nil
}

// MarshalYAML writes the duration as text.
func (m Millis) MarshalYAML() (any, error) { return m.String(), nil }

// FromDuration rounds a standard duration down to whole milliseconds.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock tells monotonic time in milliseconds. Instants of two clocks can't be compared.
type Clock struct {
	now func() Millis
}

// NewClock returns a clock that starts near zero and follows the process's monotonic time, or within a
// synctest bubble the time of the bubble.
func NewClock() Clock {
	start := time.Now()
	return Clock{now: func() Millis { return FromDuration(time.Since(start)) }}
}

// ClockOf returns a clock that reads now; tests use it to control the time.
func ClockOf(now func() Millis) Clock { return Clock{now: now} }

// Now returns the current instant.
func (c Clock) Now() Millis { return c.now() }
