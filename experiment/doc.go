// Package experiment measures a cluster of real processes on one machine.
// Its tests need the build tag experiment; `make experiment` runs them. They
// assert no time: their reports are what they are for.
package experiment
