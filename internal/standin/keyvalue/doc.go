// Package keyvalue is a stand-in for the platform's key-value service: a store
// with compare-and-swap, leases and watches, faults that can be switched while
// it runs, an HTTP server in the JSON form of etcd v3, and a simulated binding
// for virtual time.
package keyvalue
