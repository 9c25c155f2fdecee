package event

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// LinesPerSecond limits a process's lines below level warning, and separately its warnings and errors: 2,000 lines
	// of 300 bytes are 0.6 MB/s, 1% of the disk write rate of the instance that collects the logs.
	LinesPerSecond = 2000
	// queueCapacity is the number of lines queued for a slow reader of the log: one second of lines at the highest
	// rate.
	queueCapacity = 2 * LinesPerSecond
	// closeTimeout limits the wait for the reader of the log when the process ends.
	closeTimeout = 300 * time.Millisecond
	// reportInterval is the minimum time between two reports of dropped lines.
	reportInterval = time.Second
)

// Bounded is a log that never blocks its callers: it drops lines beyond its rate limit, and the oldest queued lines
// while the reader is slow, and reports how many. It is safe for concurrent use.
type Bounded struct {
	Log

	out            io.Writer
	queue          diode.Writer
	infoLimiter    *rate.Limiter
	warningLimiter *rate.Limiter
	dropped        atomic.Int64
	reportedAt     atomic.Int64
}

// NewBounded returns a log that writes JSON lines to out: at most perSecond lines a second below level warning, and as
// many warnings and errors.
func NewBounded(out io.Writer, perSecond int) *Bounded {
	b := &Bounded{
		out:            out,
		infoLimiter:    rate.NewLimiter(rate.Limit(perSecond), perSecond),
		warningLimiter: rate.NewLimiter(rate.Limit(perSecond), perSecond),
	}
	b.queue = diode.NewWriter(out, queueCapacity, 0, func(missed int) { b.dropped.Add(int64(missed)) })
	b.Log = *New(b.queue, true)
	b.admit = b.allow
	return b
}

// Close writes the queued lines and ends the log; it returns after 300 ms if the reader doesn't read them by then.
func (b *Bounded) Close() {
	b.report()
	done := make(chan struct{})
	go func() {
		_ = b.queue.Close()
		b.reportMissed()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(closeTimeout):
	}
}

// allow reports whether the rate limit lets a line of the level be written now; it counts a line that is not.
func (b *Bounded) allow(level logrus.Level) bool {
	limiter := b.warningLimiter
	if level > logrus.WarnLevel {
		limiter = b.infoLimiter
	}
	if !limiter.Allow() {
		b.dropped.Add(1)
		return false
	}
	now := time.Now().UnixNano()
	last := b.reportedAt.Load()
	if b.dropped.Load() > 0 && now-last > int64(reportInterval) && b.reportedAt.CompareAndSwap(last, now) {
		b.report()
	}
	return true
}

// report logs the number of lines dropped since the last report.
func (b *Bounded) report() {
	dropped := b.dropped.Swap(0)
	if dropped > 0 {
		b.write(LogLinesDropped, Fields{"lines": dropped})
	}
}

// reportMissed writes how many lines were dropped since the last report after the queue is closed: that some were
// overwritten there shows only when it is emptied.
func (b *Bounded) reportMissed() {
	missed := b.dropped.Swap(0)
	if missed > 0 {
		New(b.out, true).Write(LogLinesDropped, Fields{"lines": missed})
	}
}
