package config

import (
	"fmt"
	"slices"
	"strings"
)

// groups adds the groups of a service in match order.
func (b *builder) groups(service *Service, part *node, field string) {
	groups := part.field("groups")
	patterns := map[string]string{}
	for _, name := range sortedNames(groups) {
		group := b.group(service, name, groups.fields[name], field+".groups."+name)
		b.checkDuplicateKeys(group, patterns, field+".groups."+name)
		service.groups = append(service.groups, group)
	}
	if _, ok := patterns[allKeys]; !ok {
		b.addDefaultGroup(service, part, field)
	}
	sortByMatchOrder(service.groups)
}

// addDefaultGroup adds the group of all keys that match no other group.
func (b *builder) addDefaultGroup(service *Service, part *node, field string) {
	if other, ok := service.GroupNamed(defaultGroup); ok {
		b.faults.addAtPosition(other.keysPosition, field+".groups.all.keys",
			"the name all is reserved for the group of the keys that match no other group; want keys \"*\" or another name")
		return
	}
	group := &Group{
		name:           defaultGroup,
		position:       service.position,
		keysPosition:   service.position,
		shardsPosition: service.position,
		keys:           allKeys,
		shards:         DefaultShards,
		order:          DefaultOrder,
		targets:        service.targets,
	}
	service.groups = append(service.groups, group)
	if len(service.targets) > 0 && allDraining(service.targets) {
		b.faults.addAt(part, field+".targets", "every target is set to drain; want at least one with drain: false, or remove the service")
	}
}

func (b *builder) group(service *Service, name string, part *node, field string) *Group {
	group := &Group{
		name:           name,
		keys:           textField(part, "keys"),
		shards:         intField(part, "shards", DefaultShards),
		order:          intField(part, "order", DefaultOrder),
		position:       positionOf(part),
		keysPosition:   fieldPosition(part, "keys"),
		shardsPosition: fieldPosition(part, "shards"),
	}
	if group.keys == "" {
		b.faults.addAt(part, field+".keys", "missing; want "+patternValue.description)
	}
	selector := part.field("targets")
	faultsBefore := len(b.faults.list)
	b.checkSelector(service, selector, field+".targets")
	for _, target := range service.targets {
		if matchesSelector(selector, target) {
			group.targets = append(group.targets, target)
		}
	}
	if len(b.faults.list) == faultsBefore {
		b.checkEligible(group, part, selector, field+".targets")
	}
	return group
}

// checkDuplicateKeys rejects a second group with the same key pattern.
func (b *builder) checkDuplicateKeys(group *Group, patterns map[string]string, field string) {
	if group.keys == "" {
		return
	}
	if other, ok := patterns[group.keys]; ok {
		b.faults.addAtPosition(group.keysPosition, field+".keys",
			fmt.Sprintf("%q is also the key pattern of group %s; want one group for these keys", group.keys, other))
		return
	}
	patterns[group.keys] = group.name
}

// checkSelector rejects names, domains and labels that no target of the service
// has.
func (b *builder) checkSelector(service *Service, selector *node, field string) {
	names := func(target *Target) string { return target.id.Name }
	domains := func(target *Target) string { return target.domain }
	b.checkSelectorItems(service, selector.field("names"), field+".names", names)
	b.checkSelectorItems(service, selector.field("domain"), field+".domain", domains)
	labels := selector.field("labels")
	for _, label := range sortedNames(labels) {
		value := labels.fields[label]
		of := func(target *Target) string { return target.labels[label] }
		b.checkSelectorValue(service, value, join(field+".labels", label), of)
	}
}

func (b *builder) checkSelectorItems(service *Service, items *node, field string, of func(*Target) string) {
	if items == nil {
		return
	}
	for i, item := range items.items {
		b.checkSelectorValue(service, item, index(field, i), of)
	}
}

func (b *builder) checkSelectorValue(service *Service, value *node, field string, of func(*Target) string) {
	var values []string
	for _, target := range service.targets {
		if text := of(target); text != "" {
			values = append(values, text)
		}
	}
	if slices.Contains(values, value.text) {
		return
	}
	slices.Sort(values)
	values = slices.Compact(values)
	b.faults.addAt(value, field, fmt.Sprintf("no target of %s has %q; existing values: %s",
		service.name, value.text, strings.Join(values, ", ")))
}

// checkEligible rejects a group whose keys no target could own.
func (b *builder) checkEligible(group *Group, part, selector *node, field string) {
	source := part
	if selector != nil {
		source = selector
	}
	switch {
	case len(group.targets) == 0:
		b.faults.addAt(source, field, "no target matches domain, labels and names together; want at least one that does")
	case allDraining(group.targets):
		b.faults.addAt(source, field, "every matching target is set to drain; want at least one with drain: false")
	}
}

func allDraining(targets []*Target) bool {
	for _, target := range targets {
		if !target.drain {
			return false
		}
	}
	return true
}

// matchesSelector reports whether a selector matches a target. An absent or
// empty part of the selector matches all targets.
func matchesSelector(selector *node, target *Target) bool {
	if domains := listField(selector, "domain"); len(domains) > 0 && !slices.Contains(domains, target.domain) {
		return false
	}
	if names := listField(selector, "names"); len(names) > 0 && !slices.Contains(names, target.id.Name) {
		return false
	}
	for label, value := range textMap(selector.field("labels")) {
		if target.labels[label] != value {
			return false
		}
	}
	return true
}
