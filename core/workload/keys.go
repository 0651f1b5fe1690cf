package workload

import (
	"fmt"
	"math/rand/v2"
)

const (
	// zipfExponent is the skew of popularity over all keys of a service.
	zipfExponent = 1.05
	// zipfOffset flattens the head of the distribution.
	zipfOffset = 20
	// hotOffset flattens the head of the distribution within the hot set.
	hotOffset = 4
	// scatter spreads popularity ranks over the areas; it is coprime to the
	// number of keys.
	scatter = 7919
	// stride is how many areas the hot set moves at once.
	stride = 5
)

// keySpace is the keys of a service: a number of items in each area.
type keySpace struct {
	areas    int
	perArea  int
	area     string
	item     string
	hotItems int
}

// picker draws keys of one key space.
type picker struct {
	space    keySpace
	hotShare float64
	random   *rand.Rand
	all      *rand.Zipf
	hot      *rand.Zipf
}

func newPicker(space keySpace, hotShare float64, random *rand.Rand) *picker {
	total := uint64(space.areas * space.perArea)
	return &picker{
		space: space, hotShare: hotShare, random: random,
		all: rand.NewZipf(random, zipfExponent, zipfOffset, total-1),
		hot: rand.NewZipf(random, zipfExponent, hotOffset, uint64(space.hotItems-1)),
	}
}

// pick draws a key while the hot set has moved phase times.
func (p *picker) pick(phase int) string {
	if p.random.Float64() < p.hotShare {
		return p.space.key(p.space.hotArea(phase), int(p.hot.Uint64()))
	}
	total := p.space.areas * p.space.perArea
	rank := int(p.all.Uint64()) * scatter % total
	return p.space.key(rank%p.space.areas, rank/p.space.areas)
}

func (k keySpace) hotArea(phase int) int { return phase * stride % k.areas }

func (k keySpace) key(area, item int) string {
	return fmt.Sprintf("%s-%02d.%s-%04d", k.area, area, k.item, item)
}
