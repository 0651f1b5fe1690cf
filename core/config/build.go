package config

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"pineturn/core/record"
)

// What a service has when its files don't say otherwise.
const (
	// DefaultTimeout is the limit of a request whose caller sets none.
	DefaultTimeout = time.Second
	// DefaultMaxTimeout bounds the limit that a caller may set.
	DefaultMaxTimeout = 10 * time.Second
	// DefaultMaxBody is the largest request body, in bytes.
	DefaultMaxBody = 1 << 20
	// DefaultQueue is how many requests may wait for one target.
	DefaultQueue = 200
	// DefaultMaxMoves is how many shards may change owner at once by choice.
	DefaultMaxMoves = 4
	// DefaultOnceWindow is how long the id of a request that must not be
	// repeated is remembered.
	DefaultOnceWindow = 5 * time.Minute
	// DefaultShards is the number of range shards of a group.
	DefaultShards = 64
	// DefaultOrder is the place of a group among those that match first.
	DefaultOrder = 100
	// DefaultUnavailable, DefaultChurn and DefaultImbalance are weights.
	DefaultUnavailable = 10
	DefaultChurn       = 3
	DefaultImbalance   = 1
)

// allKeys is the pattern of a group that holds every key, and allGroup the
// name of the one that a service has by itself.
const (
	allKeys  = "*"
	allGroup = "all"
)

// place is where a part of the configuration is written.
type place struct {
	file string
	line int
}

func placeOf(part *node) place { return place{file: part.file, line: part.line} }

// placeIn returns the place of a field, or of the whole when it is absent.
func placeIn(part *node, name string) place {
	if value := part.field(name); value != nil {
		return placeOf(value)
	}
	return placeOf(part)
}

// builder turns the merged content into a configuration.
type builder struct {
	faults    *faults
	addresses map[string]record.Target
}

func build(version uint64, root *node, found *faults) *Config {
	b := &builder{faults: found, addresses: map[string]record.Target{}}
	config := &Config{version: version, byName: map[string]*Service{}}
	services := root.field("services")
	for _, name := range sortedNames(services) {
		service := b.service(name, services.fields[name])
		config.services = append(config.services, service)
		config.byName[name] = service
	}
	return config
}

func sortedNames(part *node) []string {
	if part == nil {
		return nil
	}
	return slices.Sorted(slices.Values(part.names))
}

func (b *builder) service(name string, part *node) *Service {
	field := "services." + name
	service := &Service{
		name:        name,
		place:       placeOf(part),
		maxBody:     sizeIn(part, "max-body", DefaultMaxBody),
		queue:       integerIn(part, "queue", DefaultQueue),
		longRunning: booleanIn(part, "long-running"),
		maxMoves:    integerIn(part, "max-moves", DefaultMaxMoves),
		onceWindow:  durationIn(part, "once-window", DefaultOnceWindow),
	}
	b.timeouts(service, part, field)
	b.weights(service, part, field)
	b.once(service, part, field)
	b.targets(service, part, field)
	b.groups(service, part, field)
	return service
}

func (b *builder) timeouts(service *Service, part *node, field string) {
	service.maxTimeout = durationIn(part, "max-timeout", 0)
	service.timeout = durationIn(part, "timeout", 0)
	if service.timeout == 0 {
		service.timeout = DefaultTimeout
		if service.maxTimeout > 0 {
			service.timeout = min(DefaultTimeout, service.maxTimeout)
		}
	}
	if service.maxTimeout == 0 {
		service.maxTimeout = max(DefaultMaxTimeout, service.timeout)
	}
	if service.timeout > service.maxTimeout {
		b.faults.at(part.field("timeout"), field+".timeout",
			fmt.Sprintf("%v is above max-timeout %v; want at most that", service.timeout, service.maxTimeout))
	}
}

func (b *builder) weights(service *Service, part *node, field string) {
	weights := part.field("weights")
	service.weights = Weights{
		unavailable: weightIn(weights, "unavailable", DefaultUnavailable),
		churn:       weightIn(weights, "churn", DefaultChurn),
		imbalance:   weightIn(weights, "imbalance", DefaultImbalance),
	}
	if service.weights == (Weights{}) {
		b.faults.at(weights, field+".weights", "all are 0; want at least one above 0")
	}
}

func (b *builder) once(service *Service, part *node, field string) {
	rules := part.field("once")
	if rules == nil {
		return
	}
	for i, item := range rules.items {
		rule := OnceRule{method: textIn(item, "method"), pattern: textIn(item, "path")}
		if rule == (OnceRule{}) {
			b.faults.at(item, index(field+".once", i), "empty; want method, path or both ({path: \"*\"} does not match '/')")
			continue
		}
		if slices.Contains(service.once, rule) {
			b.faults.at(item, index(field+".once", i), "stands twice; keep one")
		}
		service.once = append(service.once, rule)
	}
}

func (b *builder) targets(service *Service, part *node, field string) {
	targets := part.field("targets")
	for _, name := range sortedNames(targets) {
		target := b.target(record.Target{Service: service.name, Name: name}, targets.fields[name],
			field+".targets."+name)
		service.targets = append(service.targets, target)
	}
	if len(service.targets) == 0 {
		b.faults.at(part, field+".targets", "a service without a target; want at least one, or remove the service")
	}
}

func (b *builder) target(id record.Target, part *node, field string) *Target {
	for _, required := range []string{"address", "domain", "slots", "connections"} {
		if part.field(required) == nil {
			b.faults.at(part, join(field, required), "missing; want "+targetSchema.fields[required].value.want)
		}
	}
	target := &Target{
		id:          id,
		address:     textIn(part, "address"),
		domain:      textIn(part, "domain"),
		labels:      textsIn(part.field("labels")),
		slots:       integerIn(part, "slots", 1),
		connections: integerIn(part, "connections", maxConnections),
		checked:     booleanIn(part, "checked"),
		drain:       booleanIn(part, "drain"),
	}
	if target.connections < target.slots {
		b.faults.at(part.field("connections"), field+".connections",
			fmt.Sprintf("%d is below slots %d; want at least as many", target.connections, target.slots))
	}
	b.address(target, part, field)
	return target
}

// address refuses two targets behind one address: each would take the
// other's grants for its own.
func (b *builder) address(target *Target, part *node, field string) {
	if target.address == "" {
		return
	}
	other, ok := b.addresses[target.address]
	if ok {
		b.faults.at(part.field("address"), field+".address",
			fmt.Sprintf("%s is the address of %s too; want one target an address", target.address, other))
		return
	}
	b.addresses[target.address] = target.id
}

func textIn(part *node, name string) string {
	if value := part.field(name); value != nil {
		return value.text
	}
	return ""
}

func textsIn(part *node) map[string]string {
	texts := map[string]string{}
	for _, name := range sortedNames(part) {
		texts[name] = part.fields[name].text
	}
	return texts
}

func booleanIn(part *node, name string) bool { return textIn(part, name) == "true" }

func integerIn(part *node, name string, otherwise int) int {
	value, err := strconv.Atoi(textIn(part, name))
	if err != nil {
		return otherwise
	}
	return value
}

func durationIn(part *node, name string, otherwise time.Duration) time.Duration {
	value, err := time.ParseDuration(textIn(part, name))
	if err != nil {
		return otherwise
	}
	return value
}

func sizeIn(part *node, name string, otherwise int64) int64 {
	if size, ok := parseSize(textIn(part, name)); ok {
		return size
	}
	return otherwise
}

func weightIn(part *node, name string, otherwise float64) float64 {
	if value, ok := parseWeight(textIn(part, name)); ok {
		return value
	}
	return otherwise
}

// itemsIn returns the texts of a list.
func itemsIn(part *node, name string) []string {
	var texts []string
	if items := part.field(name); items != nil {
		for _, item := range items.items {
			texts = append(texts, item.text)
		}
	}
	return texts
}

// inMatchOrder sorts groups: those that hold every key come last, the rest
// by order, then name.
func inMatchOrder(groups []*Group) {
	slices.SortFunc(groups, func(a, b *Group) int {
		return cmp.Or(
			cmp.Compare(lastOf(a), lastOf(b)),
			cmp.Compare(a.order, b.order),
			strings.Compare(a.name, b.name),
		)
	})
}

func lastOf(group *Group) int {
	if group.keys == allKeys {
		return 1
	}
	return 0
}
