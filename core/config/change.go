package config

import "fmt"

// CheckChange finds what in a new configuration would move keys between the
// shards of a service that already exists: every host must map a key to the
// same shard at all times, and shards change owner one by one. The names,
// keys, numbers of shards and matching order of a service's groups stay as
// they are for its life. A nil old configuration allows everything.
func CheckChange(old, changed *Config) []Fault {
	if old == nil || changed == nil {
		return nil
	}
	found := &faults{}
	for _, service := range changed.services {
		if before, ok := old.byName[service.name]; ok {
			checkGroups(before, service, found)
		}
	}
	return found.sorted()
}

const instead = "; create a service with another name, move its callers there, and then remove this one"

func checkGroups(before, after *Service, found *faults) {
	start := len(found.list)
	for _, group := range after.groups {
		field := "services." + after.name + ".groups." + group.name
		same, ok := before.GroupNamed(group.name)
		switch {
		case !ok:
			found.in(group.place, field,
				"a new group in a service that exists would take keys from its other groups"+instead)
		case same.keys != group.keys:
			found.in(group.keysAt, field+".keys",
				fmt.Sprintf("%q can't become %q in a service that exists", same.keys, group.keys)+instead)
		case same.shards != group.shards:
			found.in(group.shardsAt, field+".shards",
				fmt.Sprintf("%d can't become %d in a service that exists", same.shards, group.shards)+instead)
		}
	}
	for _, group := range before.groups {
		if _, ok := after.GroupNamed(group.name); !ok {
			found.in(after.place, "services."+after.name+".groups."+group.name,
				"a group can't be removed from a service that exists"+instead)
		}
	}
	if len(found.list) == start {
		checkOrder(before, after, found)
	}
}

func checkOrder(before, after *Service, found *faults) {
	for i, group := range after.groups {
		if before.groups[i].name != group.name {
			found.in(group.place, "services."+after.name+".groups."+group.name+".order",
				fmt.Sprintf("would be matched before group %s, which came first", before.groups[i].name)+instead)
			return
		}
	}
}
