package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"time"
)

// Sizes and times of the scenario.
const (
	rolledDaemons = 8
	rolledServers = 24
	rolledAtOnce  = 2
	rollGap       = 1300 * time.Millisecond
	// writeDelay is how long after it was sent a write without an answer is done.
	writeDelay = 5 * time.Second
	lostFor    = 4500 * time.Millisecond
	rollWatch  = 40 * time.Second
)

// daemonTopic is the topic in which the daemons register themselves.
const daemonTopic = "keyed.daemons"

// runLateWrites restarts all daemons in turn while the store leaves a part of the writes without an
// answer and does them seconds later. Afterwards a client sends a request that crashes each server that
// runs it, again and again, each time to the next daemon.
func runLateWrites(ctx context.Context, l *lab, trouble bool) (bool, error) {
	l.onCrash = l.replaceCrashed()
	if err := l.publish(); err != nil {
		return false, err
	}
	if _, err := l.startUpstreams(rolledServers); err != nil {
		return false, err
	}
	if err := l.addDaemons(rolledDaemons); err != nil {
		return false, err
	}
	stop := l.startCallers(ctx, callerCount)
	time.Sleep(settleTime)
	if trouble {
		l.setLate(writeDelay)
		defer time.AfterFunc(lostFor, func() { l.setLate(0) }).Stop()
	}
	if err := l.roll(); err != nil {
		return false, err
	}
	if err := l.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(writeDelay + contactTime)
	touchedFrom := time.Now()
	for turn := 0; time.Since(touchedFrom) < rollWatch; turn++ {
		l.sendCrash(turn)
		time.Sleep(crashPause)
	}
	l.recordLost(touchedFrom, stop())
	return l.tooManyRetries(touchedFrom), nil
}

// roll restarts the daemons in turn, a few at a time.
func (l *lab) roll() error {
	var restarts sync.WaitGroup
	errs := make(chan error, len(l.daemons))
	for i := 0; i < len(l.daemons); i += rolledAtOnce {
		if i > 0 {
			time.Sleep(rollGap)
		}
		group := l.daemons[i:min(i+rolledAtOnce, len(l.daemons))]
		restarts.Go(func() { errs <- l.restart(group, syscall.SIGTERM) })
	}
	restarts.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// setLate sets how long after it was sent a write of the daemons is done that gets no answer, 0 if
// all get one.
func (l *lab) setLate(by time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lateBy = by
	l.log.printf("store leaves writes of registrations without an answer and does them after %s", by)
}

// withLateWrites leaves the writes of the daemons' registrations without an answer and does them later,
// while that is set.
func (l *lab) withLateWrites(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.mutex.Lock()
		by := l.lateBy
		l.mutex.Unlock()
		if by == 0 || r.Method != http.MethodPost || r.URL.Query().Get("topic") != daemonTopic {
			handler.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		l.log.printf("store: a write to %s gets no answer", daemonTopic)
		late := r.Clone(context.WithoutCancel(r.Context()))
		time.AfterFunc(by, func() {
			late.Body = io.NopCloser(bytes.NewReader(body))
			handler.ServeHTTP(httptest.NewRecorder(), late)
			l.log.printf("store: the write to %s is done", daemonTopic)
		})
		<-r.Context().Done()
	})
}
