package settings

import "time"

// DefaultTenantWeight is the weight of a tenant without a weight in the file.
const DefaultTenantWeight = 1

// Default returns the default settings. They are not valid by themselves: settings
// without a default must be set in the file.
func Default() Settings {
	return Settings{
		Listen:    Listen{Callers: "127.0.0.1:8080", Peers: "127.0.0.1:7080"},
		Cluster:   Cluster{Membership: MembershipLease},
		Platform:  Platform{Timeout: 2 * time.Second},
		Limits:    defaultLimits(),
		Deadlines: Deadlines{Default: 2 * time.Minute, Margin: 50 * time.Millisecond},
		Intervals: Intervals{
			LeaseTTL:  10 * time.Second,
			Heartbeat: time.Second,
			Tick:      200 * time.Millisecond,
			Report:    time.Second,
		},
		Policy: Policy{
			Name:            "hatchplank",
			ColdStartWeight: 0.5,
			KeepAliveMax:    time.Hour,
		},
		Claims: Claims{Shards: 16, Retention: time.Hour},
		Retry:  Retry{Ratio: 0.1, Burst: 10},
		Log:    Log{Level: "info", Format: "json"},
	}
}

func defaultLimits() Limits {
	return Limits{
		BodyBytes:      4 << 20,
		HeaderBytes:    16 << 10,
		TotalBodyBytes: 512 << 20,
		QueuePerModel:  2000,
		Waiting:        20_000,
		WaitingBytes:   256 << 20,
	}
}

// applyDerivedDefaults sets the defaults that depend on other settings.
func applyDerivedDefaults(settings *Settings) {
	if settings.Node.Name == "" {
		settings.Node.Name = settings.Listen.Callers
	}
	for index := range settings.Tenants {
		if settings.Tenants[index].Weight == 0 {
			settings.Tenants[index].Weight = DefaultTenantWeight
		}
	}
	for index := range settings.Pools.BackEnds {
		if settings.Pools.BackEnds[index].TimeLimit == 0 {
			settings.Pools.BackEnds[index].TimeLimit = settings.Deadlines.Default
		}
	}
}
