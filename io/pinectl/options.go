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

// Defaults of the settings.
const (
	// DefaultTimeout bounds one order or question.
	DefaultTimeout = 10 * time.Second
	// DefaultWaitTimeout bounds the wait for a version to be in force.
	DefaultWaitTimeout = 30 * time.Second
	// waitInterval is how often the hosts are asked meanwhile.
	waitInterval = 100 * time.Millisecond
	// DefaultWatchInterval is how often watch asks.
	DefaultWatchInterval = time.Second
)

// Output formats.
const (
	table  = "table"
	asJSON = "json"
)

// options are the settings that all commands share.
type options struct {
	servers  []string
	security security.OperatorSettings
	timeout  time.Duration
	output   string
	author   string
}

func (t *tool) flags() []cli.Flag {
	o := &t.options
	return append(o.security.Flags(),
		&cli.StringSliceFlag{
			Name: "server", Usage: "`ADDRESS` of a daemon's operators' interface: https://IP:PORT, IP:PORT for the same, or http://IP:PORT; give several to try one after the other",
			Sources: cli.EnvVars("PINETURN_SERVER"), Destination: &o.servers,
		},
		&cli.DurationFlag{
			Name: "timeout", Usage: "limit of one order or question, such as 10s",
			Sources: cli.EnvVars("PINETURN_TIMEOUT"), Value: DefaultTimeout, Destination: &o.timeout,
		},
		&cli.StringFlag{
			Name: "output", Aliases: []string{"o"}, Usage: "`FORMAT`: table for people, json for programs",
			Sources: cli.EnvVars("PINETURN_OUTPUT"), Value: table, Destination: &o.output,
		},
		&cli.StringFlag{
			Name: "author", Usage: "`NAME` that the history shows for a change",
			Sources: cli.EnvVars("PINETURN_AUTHOR", "USER"), Destination: &o.author,
		},
	)
}

// prepare checks the settings, all at once, and makes the client.
func (t *tool) prepare(ctx context.Context, _ *cli.Command) (context.Context, error) {
	var wrong []string
	if t.options.output != table && t.options.output != asJSON {
		wrong = append(wrong, "output "+t.options.output+": want table or json")
		t.options.output = table
	}
	if t.options.timeout <= 0 {
		wrong = append(wrong, "timeout: want a duration above 0, such as 10s")
	}
	client := &operator.Client{Timeout: t.options.timeout}
	for _, server := range t.options.servers {
		address, err := serverURL(server)
		if err != nil {
			wrong = append(wrong, err.Error())
		}
		if err == nil && t.options.security.KeyFile != "" && strings.HasPrefix(address, "http://") {
			wrong = append(wrong, "server "+server+": "+security.ErrTLSRequired.Error()+", want https://")
		}
		client.Servers = append(client.Servers, address)
	}
	for _, err := range t.options.security.Check() {
		wrong = append(wrong, err.Error())
	}
	if len(wrong) > 0 {
		return ctx, usage(strings.Join(wrong, "\n"), "see pinectl --help")
	}
	transport, err := t.options.security.Transport(clock.System{})
	if err != nil {
		return ctx, errors.Wrap(err, "prepare connections")
	}
	client.HTTP = &http.Client{Transport: transport}
	t.client = client
	return ctx, nil
}

// serverURL returns the base URL of a server.
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
