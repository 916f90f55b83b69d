package front

import "sync"

// interrupts are the functions that end what requests wait for when a stop ends.
type interrupts struct {
	mutex sync.Mutex
	ended bool
	funcs map[*func()]struct{}
}

// add registers a function, or calls it at once if all have been called. The returned
// function removes it and reports whether it had not been called.
func (i *interrupts) add(interrupt func()) (remove func() bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.ended {
		interrupt()
		return func() bool { return false }
	}
	if i.funcs == nil {
		i.funcs = make(map[*func()]struct{})
	}
	key := &interrupt
	i.funcs[key] = struct{}{}
	return func() bool {
		i.mutex.Lock()
		defer i.mutex.Unlock()
		delete(i.funcs, key)
		return !i.ended
	}
}

// callAll calls all functions, and each that is added later at once.
func (i *interrupts) callAll() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.ended = true
	for interrupt := range i.funcs {
		(*interrupt)()
	}
	i.funcs = nil
}
