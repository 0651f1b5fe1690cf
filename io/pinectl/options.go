package pinectl

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pineturn/core/clock"
	"pineturn/io/operator"
	"pineturn/io/security"
)

// Defaults of the settings, and the interval of polls.
const (
	// DefaultTimeout bounds one command or query.
	DefaultTimeout = 10 * time.Second
	// DefaultWaitTimeout bounds the wait until a version is in force.
	DefaultWaitTimeout = 30 * time.Second
	// waitInterval is the time between two polls of the hosts or of the history
	// during a wait.
	waitInterval = 100 * time.Millisecond
	// DefaultWatchInterval is the time between two polls of watch.
	DefaultWatchInterval = time.Second
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// options holds the settings that all commands share.
type options struct {
	servers  []string
	security security.OperatorSettings
	timeout  time.Duration
	output   string
	author   string
}

func (inv *invocation) flags() []cli.Flag {
	o := &inv.options
	return append(o.security.Flags(),
		&cli.StringSliceFlag{
			Name: "server", Usage: "`ADDRESS` of a daemon's operators' interface: https://IP:PORT, IP:PORT for the same, or http://IP:PORT; repeat it to try several in order",
			Sources: cli.EnvVars("PINETURN_SERVER"), Destination: &o.servers,
		},
		&cli.DurationFlag{
			Name: "timeout", Usage: "timeout of one command or query, such as 10s",
			Sources: cli.EnvVars("PINETURN_TIMEOUT"), Value: DefaultTimeout, Destination: &o.timeout,
		},
		&cli.StringFlag{
			Name: "output", Aliases: []string{"o"}, Usage: "`FORMAT`: table for people, json for programs",
			Sources: cli.EnvVars("PINETURN_OUTPUT"), Value: outputTable, Destination: &o.output,
		},
		&cli.StringFlag{
			Name: "author", Usage: "`NAME` that the history shows for a change",
			Sources: cli.EnvVars("PINETURN_AUTHOR", "USER"), Destination: &o.author,
		},
	)
}

// prepare checks all settings, reports all errors together, and creates the client.
func (inv *invocation) prepare(ctx context.Context, _ *cli.Command) (context.Context, error) {
	var problems []string
	if inv.options.output != outputTable && inv.options.output != outputJSON {
		problems = append(problems, "output "+inv.options.output+": want table or json")
		inv.options.output = outputTable
	}
	if inv.options.timeout <= 0 {
		problems = append(problems, "timeout: want a duration above 0, such as 10s")
	}
	client := &operator.Client{Timeout: inv.options.timeout}
	for _, server := range inv.options.servers {
		address, err := serverURL(server)
		if err != nil {
			problems = append(problems, err.Error())
		}
		if err == nil && inv.options.security.KeysFile != "" && strings.HasPrefix(address, "http://") {
			problems = append(problems, "server "+server+": "+security.ErrTLSRequired.Error()+", want https://")
		}
		client.Servers = append(client.Servers, address)
	}
	for _, err := range inv.options.security.Check() {
		problems = append(problems, err.Error())
	}
	if len(problems) > 0 {
		return ctx, usageFailure(strings.Join(problems, "\n"), "see pinectl --help")
	}
	transport, err := inv.options.security.Transport(clock.System{})
	if err != nil {
		return ctx, errors.Wrap(err, "set up the HTTP transport")
	}
	client.HTTP = &http.Client{Transport: transport}
	inv.client = client
	return ctx, nil
}

// serverURL returns the base URL of a server. The scheme defaults to https.
func serverURL(text string) (string, error) {
	if !strings.Contains(text, "://") {
		text = "https://" + text
	}
	address, err := url.Parse(text)
	if err != nil || address.Port() == "" || (address.Scheme != "https" && address.Scheme != "http") {
		return "", errors.Newf("server %s: want https://IP:PORT or http://IP:PORT", text)
	}
	return address.Scheme + "://" + address.Host, nil
}
