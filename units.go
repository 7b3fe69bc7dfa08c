package cottonlanding

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Millicores is processor capacity in thousandths of a core.
type Millicores int64

// Bytes is an amount of memory or data.
type Bytes int64

// Accelerators is a number of whole accelerators.
type Accelerators int64

// Core is one whole processor core.
const Core Millicores = 1000

// Units of Bytes.
const (
	Megabyte Bytes = 1_000_000
	Gigabyte       = 1000 * Megabyte
)

var byteUnits = []struct {
	suffix string
	size   Bytes
}{
	{"GB", Gigabyte},
	{"MB", Megabyte},
	{"KB", 1000},
	{"B", 1},
}

// UnmarshalYAML reads a number of cores such as 4 or 0.25.
func (m *Millicores) UnmarshalYAML(unmarshal func(any) error) error {
	var cores float64
	if err := unmarshal(&cores); err != nil {
		return fmt.Errorf("processor capacity is a number of cores, such as 4 or 0.25")
	}
	if cores < 0 || cores > 1e6 || math.IsNaN(cores) {
		return fmt.Errorf("%v cores: must lie between 0 and a million", cores)
	}
	*m = Millicores(math.Round(cores * float64(Core)))
	return nil
}

// MarshalYAML writes the capacity as a number of cores.
func (m Millicores) MarshalYAML() (any, error) { return float64(m) / float64(Core), nil }

// UnmarshalYAML reads an amount such as 512MB or 125GB.
func (b *Bytes) UnmarshalYAML(unmarshal func(any) error) error {
	var text string
	if err := unmarshal(&text); err != nil {
		return err
	}
	amount, err := ParseBytes(text)
	if err != nil {
		return err
	}
	*b = amount
	return nil
}

// MarshalYAML writes the amount with its unit.
func (b Bytes) MarshalYAML() (any, error) { return b.String(), nil }

// String returns the amount in the largest unit that divides it.
func (b Bytes) String() string {
	for _, unit := range byteUnits {
		if b%unit.size == 0 && b >= unit.size {
			return fmt.Sprintf("%d%s", b/unit.size, unit.suffix)
		}
	}
	return fmt.Sprintf("%dB", int64(b))
}

// ParseBytes reads an amount such as 512MB or 125GB.
func ParseBytes(text string) (Bytes, error) {
	for _, unit := range byteUnits {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		count, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || count < 0 || count > math.MaxInt64/int64(unit.size) {
			break
		}
		return Bytes(count) * unit.size, nil
	}
	return 0, fmt.Errorf("%q is no amount of memory: write it like 512MB or 125GB", text)
}

// Resources is the capacity of a worker, or the demand of a task.
type Resources struct {
	CPU          Millicores   `yaml:"CPU"`
	Memory       Bytes        `yaml:"Memory"`
	Accelerators Accelerators `yaml:"Accelerators,omitempty"`
}

// Plus returns the sum of each field.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Minus returns the difference of each field, which may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

// Fits reports whether each field of r is at most that of free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// Times returns each field multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: Millicores(n) * r.CPU, Memory: Bytes(n) * r.Memory, Accelerators: Accelerators(n) * r.Accelerators}
}

// Max returns the larger of each field.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), Memory: max(r.Memory, o.Memory), Accelerators: max(r.Accelerators, o.Accelerators)}
}

// Megabits is the capacity of a link, in millions of bits a second.
type Megabits float64
