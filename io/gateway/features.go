package gateway

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pineturn/core/feature"
)

// minHosts is the number of hosts in service from which features are used by default. Fewer hosts each
// see enough of the requests at a target to know how full it is, and are spared the hop to another one;
// a round of rebalancing a second keeps their targets level.
const minHosts = 24

// features are the settings of the features that an operator may switch.
type features struct {
	ownerQueue, learnedConcurrency, spreadKeys, dispatch feature.Setting
}

// defaultFeatures are the settings without flags.
var defaultFeatures = features{ownerQueue: feature.Auto, learnedConcurrency: feature.Auto, spreadKeys: feature.Auto, dispatch: feature.Auto}

func featureFlags() []cli.Flag {
	flag := func(name, variable, usage string) cli.Flag {
		return &cli.StringFlag{
			Name: name, Value: string(feature.Auto), Sources: cli.EnvVars(variable),
			Usage: fmt.Sprintf("%s: on, off, or auto, from %d hosts on", usage, minHosts),
		}
	}
	return []cli.Flag{
		flag("owner-queue", "PINETURN_OWNER_QUEUE", "relay keyed requests to the host that holds the queue of their owner"),
		flag("learned-concurrency", "PINETURN_LEARNED_CONCURRENCY", "send requests by what was learned of each target"),
		flag("spread-keys", "PINETURN_SPREAD_KEYS", "spread regions of hot keys soon and finely over their owners"),
		flag("dispatch", "PINETURN_DISPATCH", "relay requests without keys to few hosts of a failure domain, which select targets for all"),
	}
}

func parseFeatures(command *cli.Command) (features, error) {
	var f features
	for _, x := range []struct {
		name    string
		setting *feature.Setting
	}{
		{"owner-queue", &f.ownerQueue}, {"learned-concurrency", &f.learnedConcurrency}, {"spread-keys", &f.spreadKeys},
		{"dispatch", &f.dispatch},
	} {
		var err error
		if *x.setting, err = feature.Parse(command.String(x.name)); err != nil {
			return features{}, errors.Wrapf(err, "flag %s", x.name)
		}
	}
	return f, nil
}

// useFeatures sets which features are used. It is called before the host runs.
func (g *Gateway) useFeatures(f features) {
	g.ownerQueue = feature.New(f.ownerQueue, minHosts, g.hosts.Counted)
	g.proxy.OwnerQueue = g.ownerQueue.Enabled
	g.learnedConcurrency = feature.New(f.learnedConcurrency, minHosts, g.hosts.Counted)
	g.targets.Learns = g.learnedConcurrency.Enabled
	dispatch := feature.New(f.dispatch, minHosts, g.hosts.Counted)
	g.proxy.Dispatches, g.targets.Dispatches = dispatch.Enabled, dispatch.Enabled
	spread := feature.New(f.spreadKeys, minHosts, g.linkedHosts)
	g.coordinator.SpreadKeys = spread.Enabled
	g.reporter.Frequent = spread.Enabled
}
