//go:build !linux

package api

import "net"

// acceptBacklog returns the listener unchanged: only on Linux can connections in the accept
// queue be kept when the listener is closed.
func acceptBacklog(listener net.Listener) net.Listener { return listener }
