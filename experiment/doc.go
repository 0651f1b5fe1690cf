// Package experiment measures a cluster of real processes on one machine. Its
// tests need the build tag experiment; `make experiment` runs them. They assert no
// times; their results are the reports that they write.
package experiment
