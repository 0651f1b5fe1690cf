package peers

// linkRatePerCore is the rate of a link, in Mbit/s, below which a host's link is full of relayed requests before one of
// its processor cores is busy with them.
const linkRatePerCore = 60.

// RelayCapacity returns what a host may take of relayed requests, in processor cores: fewer than it has if its own link,
// with a rate in Mbit/s, would be full before. A rate of 0 is no limit.
func RelayCapacity(cores, linkRate float64) float64 {
	if linkRate <= 0 {
		return cores
	}
	return min(cores, linkRate/linkRatePerCore)
}
