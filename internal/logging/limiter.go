package logging

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Limiter bounds the lines of each kind in a second. The next line that is
// written tells how many were left out before it.
type Limiter struct {
	perSecond int

	mutex sync.Mutex
	kinds map[string]*kindCount
}

type kindCount struct {
	second  int64
	written int
	leftOut int
}

// NewLimiter allows this many lines of each kind in a second.
func NewLimiter(perSecond int) *Limiter {
	return &Limiter{perSecond: perSecond, kinds: map[string]*kindCount{}}
}

// Allow reports whether a line of the kind may be written now, and how many
// lines of the kind were left out since the last one.
func (l *Limiter) Allow(kind string, now time.Time) (leftOut int, allowed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := l.kinds[kind]
	if count == nil {
		count = &kindCount{}
		l.kinds[kind] = count
	}
	if second := now.Unix(); second != count.second {
		count.second, count.written = second, 0
	}
	if count.written >= l.perSecond {
		count.leftOut++
		return 0, false
	}
	count.written++
	leftOut, count.leftOut = count.leftOut, 0
	return leftOut, true
}

// Event begins a line of the kind, or returns nil, to which nothing is written.
func (l *Limiter) Event(logger *zerolog.Logger, level zerolog.Level, kind string) *zerolog.Event {
	if logger.GetLevel() > level {
		return nil
	}
	leftOut, allowed := l.Allow(kind, time.Now())
	if !allowed {
		return nil
	}
	event := logger.WithLevel(level)
	if leftOut > 0 {
		event.Int("left_out", leftOut)
	}
	return event
}
