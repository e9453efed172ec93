// Package control is the control core of every process: one reducer over typed
// events that returns effects as data. It reads no clock, no random source and
// no map order, so that the same events give the same effects.
package control
