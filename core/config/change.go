package config

import "fmt"

// CheckChange returns the changes from old to changed that would move keys
// between the shards of an existing service. Such changes are faults because
// every host must map a key to the same shard at all times, and because shards
// change owner one by one. The names, key patterns, shard counts and match order
// of a service's groups are therefore fixed for the lifetime of the service.
// If old or changed is nil, CheckChange returns no faults.
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

// newServiceHint describes how to make a change that CheckChange rejects.
const newServiceHint = "; create a service with another name, move its callers there, and then remove this one"

func checkGroups(before, after *Service, found *faults) {
	start := len(found.list)
	for _, group := range after.groups {
		field := "services." + after.name + ".groups." + group.name
		previous, ok := before.GroupNamed(group.name)
		switch {
		case !ok:
			found.addAtPosition(group.position, field,
				"a group added to an existing service would take keys from its other groups"+newServiceHint)
		case previous.keys != group.keys:
			found.addAtPosition(group.keysPosition, field+".keys",
				fmt.Sprintf("%q can't become %q in an existing service", previous.keys, group.keys)+newServiceHint)
		case previous.shards != group.shards:
			found.addAtPosition(group.shardsPosition, field+".shards",
				fmt.Sprintf("%d can't become %d in an existing service", previous.shards, group.shards)+newServiceHint)
		}
	}
	for _, group := range before.groups {
		if _, ok := after.GroupNamed(group.name); !ok {
			found.addAtPosition(after.position, "services."+after.name+".groups."+group.name,
				"a group cannot be removed from an existing service"+newServiceHint)
		}
	}
	if len(found.list) == start {
		checkOrder(before, after, found)
	}
}

func checkOrder(before, after *Service, found *faults) {
	for i, group := range after.groups {
		if before.groups[i].name != group.name {
			found.addAtPosition(group.position, "services."+after.name+".groups."+group.name+".order",
				fmt.Sprintf("would be matched before group %s, which is currently matched first", before.groups[i].name)+newServiceHint)
			return
		}
	}
}
