package edge

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// settingsPeriod between looks at the settings file, which may change without
// a signal.
const settingsPeriod = 5 * time.Second

// CatchHangUps catches SIGHUP for the rest of the process's life: a node that is
// starting, or is stopping and does not reload any more, must not be ended by it.
func CatchHangUps() <-chan os.Signal {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	return hangUps
}

// WatchSettings reads the settings file again at SIGHUP and when it changed. The
// log level is taken over at once; everything else at the next start, which the
// log says.
func WatchSettings(ctx context.Context, hangUps <-chan os.Signal, file string, current Settings, logger zerolog.Logger) {
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	content, _ := os.ReadFile(file)
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
			asked = true
		case <-ticker.C:
		}
		read, err := os.ReadFile(file)
		if err == nil && bytes.Equal(read, content) && !asked {
			continue
		}
		content = read
		current = reload(read, err, current, logger)
	}
}

func reload(content []byte, err error, current Settings, logger zerolog.Logger) Settings {
	var next Settings
	if err == nil {
		next, err = LoadSettings(content)
	}
	if err != nil {
		logger.Error().Err(err).Msg("settings not reloaded; the ones before stay")
		return current
	}
	levelBefore, restart := current.Log.Level, current
	restart.Log.Level = next.Log.Level
	if level, err := zerolog.ParseLevel(next.Log.Level); err == nil {
		zerolog.SetGlobalLevel(level)
	}
	logger.Info().Str("level_before", levelBefore).Str("level", next.Log.Level).
		Bool("needs_restart", restart != next).Msg("settings reloaded")
	return next
}
