package keyvalue_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
)

// attempt is one compare-and-swap made by a client and what it was told.
type attempt struct {
	token  string
	ended  int
	result outside.TransactionResult
	err    error
}

// replica follows the store by range and watch, as clients do.
type replica struct {
	service  *keyvalue.Simulated
	process  *simulation.Process
	values   map[string]string
	revision int64
	fault    string
}

func (r *replica) refresh() {
	r.service.Range("key/", timeout, func(result outside.RangeResult, err error) {
		if err != nil {
			r.process.AfterFunc(timeout, r.refresh)
			return
		}
		r.values = map[string]string{}
		for _, keyValue := range result.KeyValues {
			r.values[keyValue.Key] = string(keyValue.Value)
		}
		r.revision = result.Revision
		r.service.Watch("key/", result.Revision, r)
	})
}

func (r *replica) Events(revision int64, events []outside.WatchEvent) {
	if revision <= r.revision {
		r.fault = fmt.Sprintf("revision %d after %d", revision, r.revision)
	}
	r.revision = revision
	for _, event := range events {
		r.values[event.KeyValue.Key] = string(event.KeyValue.Value)
	}
}

func (r *replica) Lost(error) { r.process.AfterFunc(timeout, r.refresh) }

// scenario runs clients that compare and swap under drawn faults.
type scenario struct {
	*world
	attempts []*attempt
	replicas []*replica
}

const (
	scenarioSteps = 60
	stepTime      = 200 * time.Millisecond
)

func runScenario(t *rapid.T) *scenario {
	s := &scenario{world: newWorld(rapid.Uint64().Draw(t, "seed"))}
	conditions := simulation.Conditions{
		Delay:       time.Millisecond,
		Jitter:      time.Duration(rapid.IntRange(0, 300).Draw(t, "jitter")) * time.Millisecond,
		Loss:        rapid.Float64Range(0, 0.3).Draw(t, "loss"),
		Duplication: rapid.Float64Range(0, 0.3).Draw(t, "duplication"),
	}
	s.network.ConditionsOf = func(string, string) simulation.Conditions { return conditions }
	for _, name := range []string{"first", "second"} {
		process, service := s.client(name)
		follower := &replica{service: service, process: process, values: map[string]string{}}
		follower.refresh()
		s.replicas = append(s.replicas, follower)
	}
	for range scenarioSteps {
		s.step(t)
	}
	conditions = simulation.Conditions{Delay: time.Millisecond}
	s.store.SetFaults(keyvalue.Faults{})
	s.loop.RunFor(time.Minute)
	return s
}

func (s *scenario) step(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
		s.store.SetFaults(drawFaults(t))
	}
	client := rapid.SampledFrom(s.replicas).Draw(t, "client")
	key := fmt.Sprintf("key/%d", rapid.IntRange(0, 2).Draw(t, "key"))
	client.service.Range(key, timeout, func(read outside.RangeResult, err error) {
		if err == nil {
			s.swap(client.service, key, read)
		}
	})
	s.loop.RunFor(stepTime)
}

func drawFaults(t *rapid.T) keyvalue.Faults {
	return keyvalue.Faults{
		Outage:              rapid.IntRange(0, 4).Draw(t, "outage") == 0,
		Delay:               time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay")) * time.Millisecond,
		LostReplies:         rapid.Float64Range(0, 0.5).Draw(t, "lost"),
		OperationsPerSecond: rapid.Float64Range(0, 20).Draw(t, "rate"),
		WatchGaps:           rapid.Float64Range(0, 0.2).Draw(t, "gaps"),
		WatchGapDelay:       time.Second,
	}
}

// swap writes a unique token if the key is still as read.
func (s *scenario) swap(service *keyvalue.Simulated, key string, read outside.RangeResult) {
	made := &attempt{token: fmt.Sprint("token ", len(s.attempts))}
	s.attempts = append(s.attempts, made)
	transaction := put(key, made.token)
	compare := outside.Compare{Key: key}
	if len(read.KeyValues) > 0 {
		compare.ModRevision = read.KeyValues[0].ModRevision
	}
	transaction.Compares = []outside.Compare{compare}
	service.Transact(transaction, timeout, func(result outside.TransactionResult, err error) {
		made.ended++
		made.result, made.err = result, err
	})
}

// trace describes all that clients were told and all that was written.
func (s *scenario) trace() string {
	var trace strings.Builder
	for _, made := range s.attempts {
		fmt.Fprintln(&trace, made.token, made.result, made.err)
	}
	for _, record := range s.store.Records(0) {
		fmt.Fprintln(&trace, record.Revision, record.Time, string(record.Events[0].KeyValue.Value))
	}
	return trace.String()
}

func TestClientsAreToldTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := runScenario(t)
		written := map[string]int64{}
		for _, record := range s.store.Records(0) {
			token := string(record.Events[0].KeyValue.Value)
			if _, twice := written[token]; twice {
				t.Fatalf("%s was written twice", token)
			}
			written[token] = record.Revision
		}
		for _, made := range s.attempts {
			checkAttempt(t, made, written)
		}
	})
}

func checkAttempt(t *rapid.T, made *attempt, written map[string]int64) {
	revision, applied := written[made.token]
	switch {
	case made.ended != 1:
		t.Fatalf("%s ended %d times", made.token, made.ended)
	case errors.Is(made.err, outside.ErrNotApplied) && applied:
		t.Fatalf("%s was reported as not applied, and was", made.token)
	case made.err == nil && made.result.Succeeded != applied:
		t.Fatalf("%s: succeeded %v, applied %v", made.token, made.result.Succeeded, applied)
	case made.err == nil && applied && made.result.Revision != revision:
		t.Fatalf("%s: told revision %d, written at %d", made.token, made.result.Revision, revision)
	case made.err != nil && !errors.Is(made.err, outside.ErrNotApplied) && !errors.Is(made.err, outside.ErrAmbiguous):
		t.Fatalf("%s ended with %v", made.token, made.err)
	}
}

func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := runScenario(t)
		for _, follower := range s.replicas {
			if follower.fault != "" {
				t.Fatal(follower.fault)
			}
			stored := s.store.Range("key/").KeyValues
			if len(stored) != len(follower.values) {
				t.Fatalf("%d keys stored, %d followed", len(stored), len(follower.values))
			}
			for _, keyValue := range stored {
				if follower.values[keyValue.Key] != string(keyValue.Value) {
					t.Fatalf("%s: followed %q, stored %q", keyValue.Key, follower.values[keyValue.Key], keyValue.Value)
				}
			}
		}
	})
}

func TestSameSeedSameRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choices := rapid.Uint64().Draw(t, "choices")
		run := func() string {
			generator := rapid.Custom(func(t *rapid.T) string { return runScenario(t).trace() })
			return generator.Example(int(choices % 1000))
		}
		if first, second := run(), run(); first != second || first == "" {
			t.Fatal("two runs with the same choices differ, or did nothing")
		}
	})
}
