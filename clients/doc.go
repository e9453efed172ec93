// Package clients tests routers and sidecars, as processes on loopback, with clients that
// keep to no limit. It has no code outside its tests.
package clients
