// Package weights is the stand-in of the platform's weight store: it admits a
// limited number of loads a second and gives full speed to a limited number at
// once. It also offers the shared link that both the store and the engines'
// local disks are built on.
package weights

import "errors"

// ErrOutage means that the store was down when a fetch began or was running.
var ErrOutage = errors.New("weight store outage")

// Transfer is a fetch that was begun.
type Transfer interface {
	// Progress is the part already fetched, from 0 to 1.
	Progress() float64
	// Cancel ends the fetch; done is not called after Cancel returned, unless
	// it was already being called.
	Cancel()
}

// Fetcher gives out checkpoint bytes.
type Fetcher interface {
	// Fetch begins to fetch a number of bytes. Done is called once, never
	// before Fetch returned, with nil or the reason of the failure.
	Fetch(bytes int64, done func(error)) Transfer
}
