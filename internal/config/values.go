package config

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/apimachinery/pkg/labels"
)

// Duration is a duration written with its unit, such as 250ms or 5s.
type Duration time.Duration

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration; write a number with its unit, such as 250ms or 5s", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText writes the duration in the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Size is a number of bytes written with its unit, such as 64KiB or 10MiB.
type Size int64

// sizeUnit is a unit in which a Size can be written.
type sizeUnit struct {
	suffix string
	bytes  int64
}

var sizeUnits = []sizeUnit{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"kB", 1_000},
	{"MB", 1_000_000},
	{"GB", 1_000_000_000},
	{"B", 1},
}

// UnmarshalText reads a size. A unit is required.
func (s *Size) UnmarshalText(text []byte) error {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(string(text), unit.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/unit.bytes {
			break
		}
		*s = Size(n * unit.bytes)
		return nil
	}
	return errors.Errorf("%q is not a size; write a whole number with its unit, such as 64KiB or 10MiB", text)
}

// MarshalText writes the size in the form that UnmarshalText reads.
func (s Size) MarshalText() ([]byte, error) {
	for _, unit := range []sizeUnit{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}} {
		if s > 0 && int64(s)%unit.bytes == 0 {
			return []byte(strconv.FormatInt(int64(s)/unit.bytes, 10) + unit.suffix), nil
		}
	}
	return []byte(strconv.FormatInt(int64(s), 10) + "B"), nil
}

// Selector chooses documents or targets by their labels: equality (size=large,
// size!=large), set (zone in (kl,putrajaya), zone notin (kl)) and exists (size,
// !size), joined by commas.
type Selector struct {
	text   string
	parsed labels.Selector
}

// UnmarshalText reads a selector.
func (s *Selector) UnmarshalText(text []byte) error {
	parsed, err := labels.Parse(string(text))
	if err != nil {
		return errors.Errorf("%q is not a selector: %v", text, err)
	}
	s.text = parsed.String()
	s.parsed = parsed
	return nil
}

// MarshalText writes the selector in its canonical form.
func (s Selector) MarshalText() ([]byte, error) {
	return []byte(s.text), nil
}

// String returns the selector in its canonical form.
func (s Selector) String() string {
	return s.text
}

// Empty reports whether the selector has no requirements.
func (s Selector) Empty() bool {
	return s.parsed == nil || s.parsed.Empty()
}

// Matches reports whether the labels satisfy the selector. An empty selector matches everything.
func (s Selector) Matches(set labels.Set) bool {
	return s.parsed == nil || s.parsed.Matches(set)
}

// Labels returns the selector as a type of the Kubernetes labels package.
func (s Selector) Labels() labels.Selector {
	if s.parsed == nil {
		return labels.Everything()
	}
	return s.parsed
}
