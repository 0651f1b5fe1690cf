package config

import (
	"fmt"
	"slices"
	"strings"
)

// groups adds a service's groups in the order in which they are matched.
func (b *builder) groups(service *Service, part *node, field string) {
	groups := part.field("groups")
	patterns := map[string]string{}
	for _, name := range sortedNames(groups) {
		group := b.group(service, name, groups.fields[name], field+".groups."+name)
		b.pattern(group, patterns, field+".groups."+name)
		service.groups = append(service.groups, group)
	}
	if _, ok := patterns[allKeys]; !ok {
		b.implied(service, part, field)
	}
	inMatchOrder(service.groups)
}

// implied adds the group that holds every key which no other group holds.
func (b *builder) implied(service *Service, part *node, field string) {
	if other, ok := service.GroupNamed(allGroup); ok {
		b.faults.in(other.keysAt, field+".groups.all.keys",
			"the group all holds the keys that no other group holds; want keys \"*\" or another name")
		return
	}
	group := &Group{
		name:     allGroup,
		place:    service.place,
		keysAt:   service.place,
		shardsAt: service.place,
		keys:     allKeys,
		shards:   DefaultShards,
		order:    DefaultOrder,
		targets:  service.targets,
	}
	service.groups = append(service.groups, group)
	if len(service.targets) > 0 && allDrain(service.targets) {
		b.faults.at(part, field+".targets", "every target drains; want one with drain: false, or remove the service")
	}
}

func (b *builder) group(service *Service, name string, part *node, field string) *Group {
	group := &Group{
		name:     name,
		keys:     textIn(part, "keys"),
		shards:   integerIn(part, "shards", DefaultShards),
		order:    integerIn(part, "order", DefaultOrder),
		place:    placeOf(part),
		keysAt:   placeIn(part, "keys"),
		shardsAt: placeIn(part, "shards"),
	}
	if group.keys == "" {
		b.faults.at(part, field+".keys", "missing; want "+patternValue.want)
	}
	rule := part.field("targets")
	found := len(b.faults.list)
	b.known(service, rule, field+".targets")
	for _, target := range service.targets {
		if selects(rule, target) {
			group.targets = append(group.targets, target)
		}
	}
	if len(b.faults.list) == found {
		b.eligible(group, part, rule, field+".targets")
	}
	return group
}

// pattern refuses two groups that hold the same keys.
func (b *builder) pattern(group *Group, patterns map[string]string, field string) {
	if group.keys == "" {
		return
	}
	if other, ok := patterns[group.keys]; ok {
		b.faults.in(group.keysAt, field+".keys",
			fmt.Sprintf("%q are the keys of group %s too; want one group for them", group.keys, other))
		return
	}
	patterns[group.keys] = group.name
}

// known refuses rules that name what no target of the service has.
func (b *builder) known(service *Service, rule *node, field string) {
	names := func(target *Target) string { return target.id.Name }
	domains := func(target *Target) string { return target.domain }
	b.knownItems(service, rule.field("names"), field+".names", names)
	b.knownItems(service, rule.field("domain"), field+".domain", domains)
	labels := rule.field("labels")
	for _, label := range sortedNames(labels) {
		value := labels.fields[label]
		of := func(target *Target) string { return target.labels[label] }
		b.knownValue(service, value, join(field+".labels", label), of)
	}
}

func (b *builder) knownItems(service *Service, items *node, field string, of func(*Target) string) {
	if items == nil {
		return
	}
	for i, item := range items.items {
		b.knownValue(service, item, index(field, i), of)
	}
}

func (b *builder) knownValue(service *Service, value *node, field string, of func(*Target) string) {
	var have []string
	for _, target := range service.targets {
		if text := of(target); text != "" {
			have = append(have, text)
		}
	}
	if slices.Contains(have, value.text) {
		return
	}
	slices.Sort(have)
	have = slices.Compact(have)
	b.faults.at(value, field, fmt.Sprintf("no target of %s has %q; there are: %s",
		service.name, value.text, strings.Join(have, ", ")))
}

// eligible refuses a group whose keys no target could own.
func (b *builder) eligible(group *Group, part, rule *node, field string) {
	at := part
	if rule != nil {
		at = rule
	}
	switch {
	case len(group.targets) == 0:
		b.faults.at(at, field, "no target fits domain, labels and names together; want at least one that does")
	case allDrain(group.targets):
		b.faults.at(at, field, "every target that fits drains; want one with drain: false")
	}
}

func allDrain(targets []*Target) bool {
	for _, target := range targets {
		if !target.drain {
			return false
		}
	}
	return true
}

// selects reports whether a rule admits a target. A part that is absent or
// empty admits all.
func selects(rule *node, target *Target) bool {
	if domains := itemsIn(rule, "domain"); len(domains) > 0 && !slices.Contains(domains, target.domain) {
		return false
	}
	if names := itemsIn(rule, "names"); len(names) > 0 && !slices.Contains(names, target.id.Name) {
		return false
	}
	for label, value := range textsIn(rule.field("labels")) {
		if target.labels[label] != value {
			return false
		}
	}
	return true
}
