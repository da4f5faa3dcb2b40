package emulator

import (
	"fmt"
	"time"

	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/standin/backend"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// RetryPoint is what was measured while a share of all calls to a pool failed.
type RetryPoint struct {
	FailingShare float64 `json:"failing_share"`
	Requests     int     `json:"requests"`
	Served       int     `json:"served"`
	// Amplification is how many calls the back ends got per request.
	Amplification float64 `json:"amplification"`
}

// retryRate of requests a second to the failing pool.
const retryRate = 40

// RunRetries measures how many calls a back-end pool gets per request while a
// share of its calls is refused.
func RunRetries(seed uint64, failingShare float64) RetryPoint {
	w := newOverloadWorld(seed)
	for _, server := range w.BackEndServers {
		w.BackEnds[server].server.SetFaults(backend.Faults{RefuseShare: failingShare})
	}
	point := RetryPoint{FailingShare: failingShare}
	received := 0
	w.Record.Subscribe(func(event record.Event) {
		if event.Kind == record.KindBackEndReceived {
			received++
		}
	})
	w.calls.Ended = func(call EndedCall) {
		if call.Served {
			point.Served++
		}
	}
	until := w.Loop.Now().Add(overloadSpan)
	w.sendToPool(w.Loop.Fork().ExpFloat64, until, &point.Requests)
	w.Loop.RunUntil(until.Add(30 * time.Second))
	point.Amplification = shareOf(received, point.Requests)
	return point
}

// sendToPool sends requests with keys of their own to the back-end pool.
func (w *World) sendToPool(pause func() float64, until time.Time, sent *int) {
	w.Loop.AfterFunc(time.Duration(pause()/retryRate*float64(time.Second)), func() {
		if !w.Loop.Now().Before(until) {
			return
		}
		if target := w.pickNode(); target != nil {
			*sent++
			w.calls.send(target, gateway.Request{
				Tenant: OverloadTenants[0].Name, Pool: w.Options.Deployment.BackEndPool, Method: "POST",
				Path: "/v1/confirmations", ContentType: "application/json", Priority: lowPriority,
				Body: fmt.Appendf(nil, `{"seat":%d}`, *sent), Key: fmt.Sprintf("seat-%06d", *sent),
			}, 10*time.Second, nil)
		}
		w.sendToPool(pause, until, sent)
	})
}
