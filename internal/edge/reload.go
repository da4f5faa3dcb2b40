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

// settingsPollPeriod is the interval at which the settings file is checked for changes, since
// it may change without a signal.
const settingsPollPeriod = 5 * time.Second

// CatchSIGHUP catches SIGHUP until the process exits. The signal's default action would
// terminate a node that is still starting, or one that is stopping and no longer reloads.
func CatchSIGHUP() <-chan os.Signal {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	return hangUps
}

// WatchSettings reloads the settings file on SIGHUP and when it has changed, until ctx ends. The
// log level takes effect at once. Any other change needs a restart, which is logged.
func WatchSettings(ctx context.Context, hangUps <-chan os.Signal, file string, current Settings, logger zerolog.Logger) {
	ticker := time.NewTicker(settingsPollPeriod)
	defer ticker.Stop()
	content, _ := os.ReadFile(file)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
			signalled = true
		case <-ticker.C:
		}
		latest, err := os.ReadFile(file)
		if err == nil && bytes.Equal(latest, content) && !signalled {
			continue
		}
		content = latest
		current = reload(latest, err, current, logger)
	}
}

// reload parses content and applies its log level. It returns the new settings, or current if
// the content could not be read or is invalid.
func reload(content []byte, err error, current Settings, logger zerolog.Logger) Settings {
	var next Settings
	if err == nil {
		next, err = LoadSettings(content)
	}
	if err != nil {
		logger.Error().Err(err).Msg("settings not reloaded; keeping the previous ones")
		return current
	}
	previousLevel, withNewLevel := current.Log.Level, current
	withNewLevel.Log.Level = next.Log.Level
	if level, err := zerolog.ParseLevel(next.Log.Level); err == nil {
		zerolog.SetGlobalLevel(level)
	}
	logger.Info().Str("level_before", previousLevel).Str("level", next.Log.Level).
		Bool("needs_restart", withNewLevel != next).Msg("settings reloaded")
	return next
}
