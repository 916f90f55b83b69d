package cmds

import (
	"context"
	"time"

	"dandeliondoor/kernel"
)

// backgroundEnd is how long a process that ends waits for what still runs in the
// background. A write whose reader has stalled may never return.
const backgroundEnd = 50 * time.Millisecond

// background runs functions that may block, one after another, so that the loop that
// handles signals doesn't.
type background struct {
	tasks  chan func()
	cancel context.CancelFunc
	ended  <-chan error
}

func newBackground(ctx context.Context) *background {
	ctx, cancel := context.WithCancel(ctx)
	b := &background{tasks: make(chan func(), 1), cancel: cancel}
	b.ended = kernel.Run(ctx, b.run)
	return b
}

func (b *background) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case task := <-b.tasks:
			task()
		}
	}
}

// do runs a function unless another one waits already.
func (b *background) do(task func()) {
	select {
	case b.tasks <- task:
	default:
	}
}

// close ends the background and waits a moment for the function that runs.
func (b *background) close() error {
	b.cancel()
	timer := time.NewTimer(backgroundEnd)
	defer timer.Stop()
	select {
	case err := <-b.ended:
		return err
	case <-timer.C:
		return nil
	}
}
