package engine

// Faults that can be switched at run time. The zero value is a healthy engine.
// Fields named by an event are its probability from 0 to 1.
type Faults struct {
	// SlowDown multiplies the time of prefill and decode; 1 or less: none.
	SlowDown float64 `json:"slow_down"`
	// LoadSlowDown multiplies the time of loads on this machine; 1 or less:
	// none.
	LoadSlowDown float64 `json:"load_slow_down"`
	// LoadFailure fails a load when its bytes are there.
	LoadFailure float64 `json:"load_failure"`
	// TruncateStream ends an attempt's stream without its end, after a random
	// number of chunks.
	TruncateStream float64 `json:"truncate_stream"`
	// DropAnswer runs an attempt to its end but sends nothing of it.
	DropAnswer float64 `json:"drop_answer"`
	// DuplicateChunk sends a chunk twice.
	DuplicateChunk float64 `json:"duplicate_chunk"`
	// Refuse refuses an attempt without running it.
	Refuse float64 `json:"refuse"`
	// LoseOrderReply applies an order but loses its reply; the transport asks
	// LosesOrderReply.
	LoseOrderReply float64 `json:"lose_order_reply"`
	// Hang: generations stand still, and the transport answers nothing; it
	// asks Responding.
	Hang bool `json:"hang"`
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(faults Faults) {
	e.exclusive(func() { e.setFaults(faults) })
}

func (e *Engine) setFaults(faults Faults) {
	hung := e.faults.Hang
	e.faults = faults
	e.disk.SetSlowDown(faults.LoadSlowDown)
	e.host.SetSlowDown(faults.LoadSlowDown)
	if e.ownRemote != nil {
		e.ownRemote.SetSlowDown(faults.LoadSlowDown)
	}
	if hung && !faults.Hang && e.alive {
		for _, replica := range e.replicas {
			e.beginStep(replica)
			e.noteLoad(replica)
		}
	}
}

// Faults returns the faults in force.
func (e *Engine) Faults() Faults {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.faults
}

// Responding reports whether the engine answers at all: it is neither killed
// nor hanging. A transport that gets false stays silent.
func (e *Engine) Responding() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.alive && !e.faults.Hang
}

// LosesOrderReply draws whether the transport shall lose the reply to an order
// that was just applied.
func (e *Engine) LosesOrderReply() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.happens(e.faults.LoseOrderReply)
}

func (e *Engine) happens(probability float64) bool {
	return probability > 0 && e.random.Float64() < probability
}
