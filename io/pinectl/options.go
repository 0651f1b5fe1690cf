package pinectl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pineturn/io/operator"
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
	servers []string
	keyFile string
	caFile  string
	cert    string
	certKey string
	timeout time.Duration
	output  string
	author  string
}

func (t *tool) flags() []cli.Flag {
	o := &t.options
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name: "server", Usage: "`ADDRESS` of a daemon's operators' interface: https://IP:PORT, IP:PORT for the same, or http://IP:PORT; give several to try one after the other",
			Sources: cli.EnvVars("PINETURN_SERVER"), Destination: &o.servers,
		},
		&cli.StringFlag{
			Name: "key-file", Usage: "`FILE` with the operators' shared key",
			Sources: cli.EnvVars("PINETURN_KEY_FILE"), Destination: &o.keyFile,
		},
		&cli.StringFlag{
			Name: "ca-file", Usage: "`FILE` with the certificates (PEM) that the daemons' are signed by; the system's if not given",
			Sources: cli.EnvVars("PINETURN_CA_FILE"), Destination: &o.caFile,
		},
		&cli.StringFlag{
			Name: "cert-file", Usage: "`FILE` with this operator's certificate (PEM), for mutual TLS",
			Sources: cli.EnvVars("PINETURN_CERT_FILE"), Destination: &o.cert,
		},
		&cli.StringFlag{
			Name: "cert-key-file", Usage: "`FILE` with the key of that certificate (PEM)",
			Sources: cli.EnvVars("PINETURN_CERT_KEY_FILE"), Destination: &o.certKey,
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
	}
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
		client.Servers = append(client.Servers, address)
	}
	config, err := t.options.tls()
	if err != nil {
		wrong = append(wrong, err.Error())
	}
	client.HTTP = &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	if client.Token, err = readKey(t.options.keyFile); err != nil {
		wrong = append(wrong, err.Error())
	}
	if len(wrong) > 0 {
		return ctx, usage(strings.Join(wrong, "\n"), "see pinectl --help")
	}
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

func readKey(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrap(err, "key-file")
	}
	return strings.TrimSpace(string(content)), nil
}

// tls returns the settings of connections to the daemons.
func (o options) tls() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if o.caFile != "" {
		content, err := os.ReadFile(o.caFile)
		if err != nil {
			return nil, errors.Wrap(err, "ca-file")
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(content) {
			return nil, errors.Newf("ca-file %s: no certificate in it", o.caFile)
		}
	}
	if o.cert != "" || o.certKey != "" {
		pair, err := tls.LoadX509KeyPair(o.cert, o.certKey)
		if err != nil {
			return nil, errors.Wrap(err, "cert-file and cert-key-file")
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}
