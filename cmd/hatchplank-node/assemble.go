package main

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/edge"
	"github.com/hatchplank/hatchplank/internal/exchange"
	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/forward"
	services "github.com/hatchplank/hatchplank/internal/platform"
	"github.com/hatchplank/hatchplank/platform"
)

const (
	// ownPrefix of the product's keys in the store.
	ownPrefix = "hatchplank/"
	// garbageShare of the heap that may be garbage, in percent: memory is dearer
	// than processor time.
	garbageShare = 40
	// assumedNodes share the retry budget until their number is known.
	assumedNodes = 12
	// tidyPeriod between removals of what is not needed any more.
	tidyPeriod = time.Second
)

// Connections to servers and to the store.
var (
	toServers = exchange.DialSettings{Timeout: 300 * time.Millisecond, Unacknowledged: time.Second}
	toStore   = exchange.DialSettings{Timeout: time.Second, Unacknowledged: 2 * time.Second}
)

// assemble binds the product's parts to the platform.
func assemble(settings edge.Settings, logger zerolog.Logger) (*edge.Process, error) {
	debug.SetGCPercent(garbageShare)
	view := fleet.NewView()
	servers := exchange.NewClient(toServers)
	store := platform.NewStore(settings.Store.Address, exchange.NewClient(toStore))
	forwarder := forward.New(forward.Config{
		View: view, Backend: &platform.Backend{Client: servers}, Zone: settings.Node.Zone, Nodes: assumedNodes,
		Budget: forward.BudgetLimits{
			Ratio: settings.Retries.Ratio, Slack: settings.Retries.Slack, Window: settings.Retries.Window,
		},
	})
	process := edge.NewProcess(settings, logger)
	feed := platform.NewFeed(store, view, ownPrefix, ignoredKeys{}, logger)
	process.Assemble(edge.Parts{
		Callers:   &platform.Ingress{Forwarder: forwarder, View: view, Closing: process.Stopping},
		Ready:     func() string { return notReady(view) },
		IdleLimit: func() time.Duration { return idleLimit(view) },
		Background: []func(context.Context){
			feed.Run,
			func(ctx context.Context) { tidy(ctx, forwarder, servers) },
		},
		HandOver: func() {},
	})
	return process, nil
}

type ignoredKeys struct{}

func (ignoredKeys) Replace([]services.KeyValue) {}

func (ignoredKeys) Change(services.WatchEvent) {}

// notReady tells why the node can't serve yet.
func notReady(view *fleet.View) string {
	if view.Load().Configuration == nil {
		return "no configuration yet"
	}
	return ""
}

func idleLimit(view *fleet.View) time.Duration {
	if configuration := view.Load().Configuration; configuration != nil {
		return configuration.Limits.IdleTimeout
	}
	return 0
}

// tidy forgets what is not needed any more.
func tidy(ctx context.Context, forwarder *forward.Forwarder, servers *exchange.Client) {
	ticker := time.NewTicker(tidyPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			forwarder.Tidy()
			servers.Tidy(now)
		}
	}
}
