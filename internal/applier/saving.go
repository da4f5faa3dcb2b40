package applier

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/planner"
)

// keepStatistics reads the statistics of the owner before, tried again until
// that succeeds, and from then on saves them once in a while for the next owner.
func (o *Owner) keepStatistics(now time.Time) {
	if o.config.Statistics == nil || o.restoring || o.saving || now.Before(o.nextSave) {
		return
	}
	o.nextSave = now.Add(o.config.Intervals.SaveStatistics)
	if !o.restored {
		o.restoring = true
		o.config.Statistics.Load(o.cell, o.statisticsLoaded)
		return
	}
	o.saveStatistics()
}

func (o *Owner) statisticsLoaded(data []byte, err error) {
	var earlier *planner.Statistics
	if err == nil && data != nil {
		earlier, err = planner.DecodeStatistics(data)
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.restoring = false
	if err != nil {
		o.nextSave = o.config.Clock.Now().Add(o.config.Intervals.RestoreStatistics)
		o.logger.Warn().Err(err).Str("reason", "store").Msg("statistics not restored")
		return
	}
	o.restored = true
	if earlier != nil {
		o.statistics.Restore(earlier)
	}
}

func (o *Owner) saveStatistics() {
	observations := o.statistics.Observations()
	if observations == o.savedObservations {
		return
	}
	data, err := o.statistics.Encode()
	if err != nil {
		o.logger.Error().Err(err).Str("reason", "encode").Msg("statistics not saved")
		return
	}
	o.saving = true
	o.config.Statistics.Save(o.cell, o.epoch, data, func(err error) { o.statisticsSaved(observations, err) })
}

func (o *Owner) statisticsSaved(observations uint64, err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.saving = false
	if err != nil {
		o.logger.Warn().Err(err).Str("reason", "store").Msg("statistics not saved")
		return
	}
	o.savedObservations = observations
}
