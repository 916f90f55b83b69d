package credit

import (
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Clock returns the current time. Only differences of its times have a meaning.
type Clock func() time.Time

// NewBootClock returns a clock that is never set and includes the time in which the machine
// was suspended (CLOCK_BOOTTIME). It returns an error if the kernel has no such clock.
func NewBootClock() (Clock, error) {
	if _, err := bootTime(); err != nil {
		return nil, errors.Wrap(err, "read CLOCK_BOOTTIME")
	}
	return func() time.Time {
		now, err := bootTime()
		if err != nil {
			// The clock could be read before, so only the arguments could be wrong.
			panic(err)
		}
		return now
	}, nil
}

func bootTime() (time.Time, error) {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return time.Time{}, err
	}
	return time.Unix(0, spec.Nano()).UTC(), nil
}
