// Package slopes measures how the cost of a node's control work grows with the
// size of a deployment. It runs many hollow nodes, which are the real parts of
// a node on virtual time and a simulated network, before hollow servers in one
// process. It counts messages, bytes and key-value operations by role,
// attributes processor time and memory to roles by profiles, fits lines over
// the size, and compares their extrapolation with the limits.
package slopes
