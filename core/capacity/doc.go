// Package capacity holds the benchmarks from which docs/CAPACITY.md works out
// the size to come. Each runs over sizes a decade apart, on the exported
// functions of the packages that decide.
package capacity
