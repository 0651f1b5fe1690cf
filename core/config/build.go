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

// Default settings of a service and its groups.
const (
	// DefaultTimeout is the timeout of a request whose caller sets none.
	DefaultTimeout = time.Second
	// DefaultMaxTimeout is the largest timeout that a caller may set.
	DefaultMaxTimeout = 10 * time.Second
	// DefaultMaxBody is the maximum size of a request body in bytes.
	DefaultMaxBody = 1 << 20
	// DefaultQueue is the maximum number of requests that wait for one target.
	DefaultQueue = 200
	// DefaultMaxMoves is the maximum number of concurrent shard moves that are
	// made for a better assignment rather than to replace a lost owner.
	DefaultMaxMoves = 4
	// DefaultOnceWindow is the retention of the ids of requests that must not
	// be repeated.
	DefaultOnceWindow = 5 * time.Minute
	// DefaultShards is the number of range shards of a group.
	DefaultShards = 64
	// DefaultOrder is the match order of a group. Groups with lower values are
	// matched first.
	DefaultOrder = 100
	// DefaultUnavailable, DefaultChurn and DefaultImbalance are the weights of
	// the costs that the assignment of shards minimizes.
	DefaultUnavailable = 10
	DefaultChurn       = 3
	DefaultImbalance   = 1
)

// allKeys is the pattern that matches every key. defaultGroup is the name of
// the group that a service has if no configured group matches every key.
const (
	allKeys      = "*"
	defaultGroup = "all"
)

// position is the source position of a part of the configuration.
type position struct {
	file string
	line int
}

func positionOf(part *node) position { return position{file: part.file, line: part.line} }

// fieldPosition returns the position of a field of part, or the position of
// part if the field is absent.
func fieldPosition(part *node, name string) position {
	if value := part.field(name); value != nil {
		return positionOf(value)
	}
	return positionOf(part)
}

// builder converts the merged tree to a Config.
type builder struct {
	faults *faults
	// addresses maps each address to the first target that has it.
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
		position:    positionOf(part),
		maxBody:     sizeField(part, "max-body", DefaultMaxBody),
		queue:       intField(part, "queue", DefaultQueue),
		longRunning: boolField(part, "long-running"),
		maxMoves:    intField(part, "max-moves", DefaultMaxMoves),
		onceWindow:  durationField(part, "once-window", DefaultOnceWindow),
	}
	b.timeouts(service, part, field)
	b.weights(service, part, field)
	b.once(service, part, field)
	b.targets(service, part, field)
	b.groups(service, part, field)
	return service
}

func (b *builder) timeouts(service *Service, part *node, field string) {
	service.maxTimeout = durationField(part, "max-timeout", 0)
	service.timeout = durationField(part, "timeout", 0)
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
		b.faults.addAt(part.field("timeout"), field+".timeout",
			fmt.Sprintf("%v is above max-timeout %v; want at most max-timeout", service.timeout, service.maxTimeout))
	}
}

func (b *builder) weights(service *Service, part *node, field string) {
	weights := part.field("weights")
	service.weights = Weights{
		unavailable: weightField(weights, "unavailable", DefaultUnavailable),
		churn:       weightField(weights, "churn", DefaultChurn),
		imbalance:   weightField(weights, "imbalance", DefaultImbalance),
	}
	if service.weights == (Weights{}) {
		b.faults.addAt(weights, field+".weights", "all weights are 0; want at least one above 0")
	}
}

func (b *builder) once(service *Service, part *node, field string) {
	rules := part.field("once")
	if rules == nil {
		return
	}
	for i, item := range rules.items {
		rule := OnceRule{method: textField(item, "method"), pattern: textField(item, "path")}
		if rule == (OnceRule{}) {
			b.faults.addAt(item, index(field+".once", i), "empty rule; want method, path or both ({path: \"*\"} matches all requests)")
			continue
		}
		if slices.Contains(service.once, rule) {
			b.faults.addAt(item, index(field+".once", i), "duplicate rule; remove one of them")
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
		b.faults.addAt(part, field+".targets", "the service has no targets; add at least one or remove the service")
	}
}

func (b *builder) target(id record.Target, part *node, field string) *Target {
	for _, required := range []string{"address", "domain", "slots", "connections"} {
		if part.field(required) == nil {
			b.faults.addAt(part, join(field, required), "missing; want "+targetSchema.fields[required].value.description)
		}
	}
	target := &Target{
		id:          id,
		address:     textField(part, "address"),
		domain:      textField(part, "domain"),
		labels:      textMap(part.field("labels")),
		slots:       intField(part, "slots", 1),
		connections: intField(part, "connections", maxConnections),
		checked:     boolField(part, "checked"),
		drain:       boolField(part, "drain"),
	}
	if target.connections < target.slots {
		b.faults.addAt(part.field("connections"), field+".connections",
			fmt.Sprintf("%d is below slots %d; want at least the value of slots", target.connections, target.slots))
	}
	b.checkAddress(target, part, field)
	return target
}

// checkAddress rejects a second target with the same address: each of the two
// would accept the other's grants as its own.
func (b *builder) checkAddress(target *Target, part *node, field string) {
	if target.address == "" {
		return
	}
	other, ok := b.addresses[target.address]
	if ok {
		b.faults.addAt(part.field("address"), field+".address",
			fmt.Sprintf("%s is also the address of target %s; want a different address for each target", target.address, other))
		return
	}
	b.addresses[target.address] = target.id
}

func textField(part *node, name string) string {
	if value := part.field(name); value != nil {
		return value.text
	}
	return ""
}

func textMap(part *node) map[string]string {
	texts := map[string]string{}
	for _, name := range sortedNames(part) {
		texts[name] = part.fields[name].text
	}
	return texts
}

func boolField(part *node, name string) bool { return textField(part, name) == "true" }

func intField(part *node, name string, fallback int) int {
	value, err := strconv.Atoi(textField(part, name))
	if err != nil {
		return fallback
	}
	return value
}

func durationField(part *node, name string, fallback time.Duration) time.Duration {
	value, err := time.ParseDuration(textField(part, name))
	if err != nil {
		return fallback
	}
	return value
}

func sizeField(part *node, name string, fallback int64) int64 {
	if size, ok := parseSize(textField(part, name)); ok {
		return size
	}
	return fallback
}

func weightField(part *node, name string, fallback float64) float64 {
	if value, ok := parseWeight(textField(part, name)); ok {
		return value
	}
	return fallback
}

// listField returns the items of a list of single values.
func listField(part *node, name string) []string {
	var texts []string
	if items := part.field(name); items != nil {
		for _, item := range items.items {
			texts = append(texts, item.text)
		}
	}
	return texts
}

// sortByMatchOrder sorts groups by order and then by name. Groups that match
// every key come last.
func sortByMatchOrder(groups []*Group) {
	slices.SortFunc(groups, func(a, b *Group) int {
		return cmp.Or(
			cmp.Compare(matchRank(a), matchRank(b)),
			cmp.Compare(a.order, b.order),
			strings.Compare(a.name, b.name),
		)
	})
}

func matchRank(group *Group) int {
	if group.keys == allKeys {
		return 1
	}
	return 0
}
