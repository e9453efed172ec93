// Package control implements the control logic of every process as a reducer: State
// applies typed events and returns effects as data, which a driver executes. It uses
// no clock, no random source and no map iteration order, so the same events always
// give the same effects.
package control
