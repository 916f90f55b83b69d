package model

import "github.com/go-faster/errors"

// Class is the expected duration of a route's requests: short or long.
type Class uint8

// The request classes.
const (
	ClassShort Class = iota
	ClassLong
)

// String returns the name of the class as written in YAML.
func (c Class) String() string {
	if c == ClassLong {
		return "long"
	}
	return "short"
}

// MarshalText returns the name of the class.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText parses "short" or "long".
func (c *Class) UnmarshalText(text []byte) error {
	switch string(text) {
	case "short":
		*c = ClassShort
	case "long":
		*c = ClassLong
	default:
		return errors.Errorf("class %q is neither short nor long", text)
	}
	return nil
}
