package mirror

import (
	"bytes"
	"compress/flate"
	"io"
	"math/rand/v2"
	"time"
)

const (
	// contentLinkShare of the relay's link is available for pushing configurations. One that is
	// written while that share is used up is deferred, and replaces any deferred before it, so that
	// versions don't queue up when they are written faster than the link can carry them.
	contentLinkShare = 0.5
	// contentWaitShare of Times.Changes is how long a node waits for a configuration that the relay
	// announced before it reads it from the store. The last quarter is random, so that nodes don't
	// read at the same moment.
	contentWaitShare = 0.25
	// maxContentBytes bounds the decompressed size of a configuration: the store accepts values of
	// up to 1 MB.
	maxContentBytes = 4 << 20
)

// content is the newest configuration that this node can push to subscribers.
type content struct {
	value    []byte
	revision int64
	// pushedRevision is the revision that was pushed last, and linkFreeAt when the link will have
	// carried it.
	pushedRevision int64
	linkFreeAt     time.Time
}

// set takes over a configuration's value. An empty value means that it was not sent.
func (c *content) set(value []byte, revision int64) {
	if len(value) > 0 && revision > c.revision {
		c.value, c.revision = value, revision
	}
}

// contentToPush returns the configuration if it is due to be pushed to the subscribers now;
// otherwise nil. It must be called with the lock held.
func (m *Mirror) contentToPush(subscribers int, now time.Time) []byte {
	c := &m.content
	if c.revision <= c.pushedRevision || c.revision < m.state.configuration || now.Before(c.linkFreeAt) {
		return nil
	}
	c.pushedRevision = c.revision
	if link := m.config.LinkBytesPerSecond; link > 0 {
		// The compressed size is not known here, so it is estimated from the value's.
		c.linkFreeAt = now.Add(time.Duration(float64(len(c.value)/minCompressionRatio*subscribers) / (contentLinkShare * link) * float64(time.Second)))
	}
	return c.value
}

// minCompressionRatio is an estimate of how much a configuration shrinks at least: an example of
// the users' platform shrinks from 39 KB to 4 KB.
const minCompressionRatio = 6

// applyConfigurationUpdate applies what the relay's update says of the newest configuration. It
// must be called with the lock held.
func (m *Mirror) applyConfigurationUpdate(update Update, now time.Time) {
	if update.Configuration > m.state.configuration {
		wait := share(contentWaitShare, m.config.Times.Changes)
		m.contentDeadline = now.Add(wait*3/4 + rand.N(wait/4))
	}
	m.state.configuration = max(m.state.configuration, update.Configuration)
	if len(update.Content) == 0 || update.Configuration <= m.configurationRevision {
		return
	}
	value, err := decompress(update.Content)
	if err != nil {
		m.config.Logger.Error().Err(err).Int64("revision", update.Configuration).Msg("packed configuration is not understood; it is read from the store")
		m.contentDeadline = now
		return
	}
	m.content.set(value, update.Configuration)
	m.setConfiguration(m.config.Source.Decode(value, update.Configuration), update.Configuration)
}

// compress returns the value compressed; nil for an empty one.
func compress(value []byte) []byte {
	if len(value) == 0 {
		return nil
	}
	var out bytes.Buffer
	// Writing to a buffer can't fail, and the compression level is valid.
	compressor, _ := flate.NewWriter(&out, flate.BestSpeed)
	_, _ = compressor.Write(value)
	_ = compressor.Close()
	return out.Bytes()
}

// decompress is the inverse of compress, up to maxContentBytes.
func decompress(content []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(content)), maxContentBytes))
}
