// Package capacity contains the benchmarks from which docs/CAPACITY.md
// extrapolates to larger deployments. Each benchmark runs at several sizes, a
// factor of about 10 apart, and calls exported functions of the packages that
// contain the decision logic.
package capacity
