package logging

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Limiter limits the log lines of each kind per second. The next line written
// after that carries the number of lines that were suppressed. It is safe for
// concurrent use.
type Limiter struct {
	perSecond int

	mutex sync.Mutex
	kinds map[string]*kindCount
}

type kindCount struct {
	second     int64
	written    int
	suppressed int
}

// NewLimiter returns a limiter that allows perSecond lines of each kind in each
// second.
func NewLimiter(perSecond int) *Limiter {
	return &Limiter{perSecond: perSecond, kinds: map[string]*kindCount{}}
}

// Allow reports whether a line of the kind may be written now, and how many lines
// of the kind were suppressed since the last one that was allowed.
func (l *Limiter) Allow(kind string, now time.Time) (suppressed int, allowed bool) {
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
		count.suppressed++
		return 0, false
	}
	count.written++
	suppressed, count.suppressed = count.suppressed, 0
	return suppressed, true
}

// Event begins a log line of the kind. It returns nil, which is valid and logs
// nothing, if the line is suppressed or the logger's level is higher.
func (l *Limiter) Event(logger *zerolog.Logger, level zerolog.Level, kind string) *zerolog.Event {
	if logger.GetLevel() > level {
		return nil
	}
	suppressed, allowed := l.Allow(kind, time.Now())
	if !allowed {
		return nil
	}
	event := logger.WithLevel(level)
	if suppressed > 0 {
		event.Int("left_out", suppressed)
	}
	return event
}
