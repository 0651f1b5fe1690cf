package workload

import (
	"fmt"
	"math/rand/v2"
)

const (
	// zipfExponent is the exponent of the Zipf distributions over all keys of a
	// service and over its hot set.
	zipfExponent = 1.05
	// zipfOffset flattens the head of the distribution over all keys.
	zipfOffset = 20
	// hotOffset flattens the head of the distribution within the hot set.
	hotOffset = 4
	// rankMultiplier spreads the popularity ranks over the areas. It is coprime to
	// the number of keys, so that distinct ranks map to distinct keys.
	rankMultiplier = 7919
	// hotAreaStep is the number of areas by which the hot set moves.
	hotAreaStep = 5
)

// keySpace is the set of keys of a service. Each area has the same number of
// items.
type keySpace struct {
	areas      int
	perArea    int
	areaPrefix string
	itemPrefix string
	hotItems   int
}

// keyPicker draws random keys of a key space.
type keyPicker struct {
	space    keySpace
	hotShare float64
	random   *rand.Rand
	all      *rand.Zipf
	hot      *rand.Zipf
}

func newKeyPicker(space keySpace, hotShare float64, random *rand.Rand) *keyPicker {
	total := uint64(space.areas * space.perArea)
	return &keyPicker{
		space: space, hotShare: hotShare, random: random,
		all: rand.NewZipf(random, zipfExponent, zipfOffset, total-1),
		hot: rand.NewZipf(random, zipfExponent, hotOffset, uint64(space.hotItems-1)),
	}
}

// pick draws a key. The hot set is that after phase moves.
func (p *keyPicker) pick(phase int) string {
	if p.random.Float64() < p.hotShare {
		return p.space.key(p.space.hotArea(phase), int(p.hot.Uint64()))
	}
	total := p.space.areas * p.space.perArea
	rank := int(p.all.Uint64()) * rankMultiplier % total
	return p.space.key(rank%p.space.areas, rank/p.space.areas)
}

func (k keySpace) hotArea(phase int) int { return phase * hotAreaStep % k.areas }

func (k keySpace) key(area, item int) string {
	return fmt.Sprintf("%s-%02d.%s-%04d", k.areaPrefix, area, k.itemPrefix, item)
}
