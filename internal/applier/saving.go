package applier

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/planner"
)

// saveLocked saves the statistics once in a while, for the next owner.
func (o *Owner) saveLocked(now time.Time) {
	if o.config.Statistics == nil || o.saving || now.Before(o.nextSave) {
		return
	}
	o.nextSave = now.Add(o.config.Intervals.SaveStatistics)
	data, err := o.statistics.Encode()
	if err != nil {
		o.logger.Error().Err(err).Str("reason", "encode").Msg("statistics not saved")
		return
	}
	o.saving = true
	o.config.Statistics.Save(o.cell, o.epoch, data, o.statisticsSaved)
}

func (o *Owner) statisticsSaved(err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.saving = false
	if err != nil {
		o.logger.Warn().Err(err).Str("reason", "store").Msg("statistics not saved")
	}
}

func (o *Owner) statisticsLoaded(data []byte, err error) {
	if err == nil && data == nil {
		return
	}
	var earlier *planner.Statistics
	if err == nil {
		earlier, err = planner.DecodeStatistics(data)
	}
	if err != nil {
		o.logger.Warn().Err(err).Str("reason", "store").Msg("statistics not restored")
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.statistics.Restore(earlier)
}
