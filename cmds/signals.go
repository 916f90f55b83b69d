package cmds

import (
	"os"
	"os/signal"
	"syscall"
)

// notifySignals returns a channel that receives the given signals. It first removes
// the signal handlers that go-zero installs when it is linked in: they would shut
// down go-zero's own components early, and write dumps and profiles to files. A log
// whose reader is gone must not end the process, so it ignores SIGPIPE.
func notifySignals(wanted ...os.Signal) <-chan os.Signal {
	signal.Reset(syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGUSR2)
	signal.Ignore(syscall.SIGPIPE)
	received := make(chan os.Signal, len(wanted))
	signal.Notify(received, wanted...)
	return received
}
