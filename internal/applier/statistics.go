package applier

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/planner"
)

// syncStatistics reads the statistics of the previous owner, retrying until that succeeds, and from
// then on saves them periodically for the next owner.
func (o *Owner) syncStatistics(now time.Time) {
	if o.config.Statistics == nil || o.restoringStatistics || o.savingStatistics || now.Before(o.nextStatistics) {
		return
	}
	o.nextStatistics = now.Add(o.config.Intervals.SaveStatistics)
	if !o.statisticsRestored {
		o.restoringStatistics = true
		o.config.Statistics.Load(o.cell, o.statisticsLoaded)
		return
	}
	o.saveStatistics()
}

// statisticsLoaded merges the previous owner's statistics, or schedules another read.
func (o *Owner) statisticsLoaded(data []byte, err error) {
	var previous *planner.Statistics
	if err == nil && data != nil {
		previous, err = planner.DecodeStatistics(data)
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.restoringStatistics = false
	if err != nil {
		o.nextStatistics = o.config.Clock.Now().Add(o.config.Intervals.RestoreStatisticsRetry)
		o.logger.Warn().Err(err).Str("reason", "store").Msg("statistics not restored")
		return
	}
	o.statisticsRestored = true
	if previous != nil {
		o.statistics.Restore(previous)
	}
}

// saveStatistics saves the statistics unless nothing was observed since they were last saved.
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
	o.savingStatistics = true
	o.config.Statistics.Save(o.cell, o.epoch, data, func(err error) { o.statisticsSaved(observations, err) })
}

func (o *Owner) statisticsSaved(observations uint64, err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.savingStatistics = false
	if err != nil {
		o.logger.Warn().Err(err).Str("reason", "store").Msg("statistics not saved")
		return
	}
	o.savedObservations = observations
}
