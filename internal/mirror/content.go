package mirror

import (
	"bytes"
	"compress/flate"
	"io"
	"math/rand/v2"
	"time"
)

const (
	// contentShare of the relay's link is what passing configurations on may take. One
	// that is written while that is used up waits for its turn, and replaces those that
	// waited, so that versions which come faster than the link bears don't queue up.
	contentShare = 0.5
	// contentPatienceShare of the time for changes is how long a node waits for a
	// configuration that the relay announced, before it reads it from the store; the
	// last quarter by chance, so that nodes don't do so at the same moment.
	contentPatienceShare = 0.25
	// largestContentBytes bounds what a packed configuration may expand to: the store
	// takes values of up to 1 MB.
	largestContentBytes = 4 << 20
)

// content is the newest configuration that this node can pass on.
type content struct {
	value    []byte
	revision int64
	// told is the revision that was passed on last, and freeAt when the link has borne it.
	told   int64
	freeAt time.Time
}

// set takes over a configuration's value. An empty one was not told.
func (c *content) set(value []byte, revision int64) {
	if len(value) > 0 && revision > c.revision {
		c.value, c.revision = value, revision
	}
}

// contentToTell returns the configuration if the subscribers have to be told it now. It
// must be called with the lock held.
func (m *Mirror) contentToTell(subscribers int, now time.Time) []byte {
	c := &m.content
	if c.revision <= c.told || c.revision < m.known.configuration || now.Before(c.freeAt) {
		return nil
	}
	c.told = c.revision
	if link := m.config.LinkBytesPerSecond; link > 0 {
		// The value is larger than what is sent, packed; by how much is not known here.
		c.freeAt = now.Add(time.Duration(float64(len(c.value)/usualPacking*subscribers) / (contentShare * link) * float64(time.Second)))
	}
	return c.value
}

// usualPacking is by how much a configuration shrinks at least, an estimate: an example of
// the users' platform shrinks from 39 KB to 4 KB.
const usualPacking = 6

// noteConfiguration takes over what the relay tells of the newest configuration. It must
// be called with the lock held.
func (m *Mirror) noteConfiguration(update Update, now time.Time) {
	if update.Configuration > m.known.configuration {
		patience := share(contentPatienceShare, m.config.Times.Changes)
		m.contentBy = now.Add(patience*3/4 + rand.N(patience/4))
	}
	m.known.configuration = max(m.known.configuration, update.Configuration)
	if len(update.Content) == 0 || update.Configuration <= m.configuration {
		return
	}
	value, err := unpacked(update.Content)
	if err != nil {
		m.config.Logger.Error().Err(err).Int64("revision", update.Configuration).Msg("packed configuration is not understood; it is read from the store")
		m.contentBy = now
		return
	}
	m.content.set(value, update.Configuration)
	m.takeConfiguration(m.config.Source.Decode(value, update.Configuration), update.Configuration)
}

// packed returns the value compressed; empty stays empty.
func packed(value []byte) []byte {
	if len(value) == 0 {
		return nil
	}
	var out bytes.Buffer
	// A buffer takes everything, and the level is a valid one.
	compressor, _ := flate.NewWriter(&out, flate.BestSpeed)
	_, _ = compressor.Write(value)
	_ = compressor.Close()
	return out.Bytes()
}

func unpacked(content []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(content)), largestContentBytes))
}
