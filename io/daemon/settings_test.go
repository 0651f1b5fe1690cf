package daemon

import (
	"context"
	"slices"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"

	"pineturn/core/lease"
)

func TestCheckReportsAllErrors(t *testing.T) {
	settings := validSettings(t, "h1", "127.0.0.1:7000")
	assertEqual(t, "errors in valid settings", len(settings.Check()), 0)
	settings.Name, settings.Domain, settings.LogAddress = "", "", "log:7000"
	settings.PeerAddress, settings.AdminAddress = settings.CallerAddress, "127.0.0.1:0"
	settings.HostListAddress = "127.0.0.1"
	settings.GrantLife, settings.Suspicion, settings.SnapshotInterval, settings.StopTimeout = 0, 0, -1, 0
	settings.Security.PeerKeysFile, settings.MaxHeaderBytes = "keys", 1
	var got []string
	for _, err := range settings.Check() {
		got = append(got, err.Error())
	}
	for _, want := range []string{
		"--name", "--domain", "--log-address", "--peer-address", "--admin-address", "--hostlist-address",
		"--grant-life", "--suspicion", "--snapshot-interval", "--stop-timeout", "--max-header-bytes", "peer-keys",
	} {
		if !strings.Contains(strings.Join(got, "\n"), want) {
			t.Errorf("errors: got %q, want one about %s", got, want)
		}
	}
	if want := 13; len(got) != want {
		t.Fatalf("errors: got %q, want %d", got, want)
	}
}

func TestCheckReportsParseErrors(t *testing.T) {
	t.Setenv("PINETURN_SUSPICION", "soon")
	var settings Settings
	command := &cli.Command{Name: "pineturnd", Flags: settings.Flags(), Action: func(context.Context, *cli.Command) error { return nil }}
	args := []string{"pineturnd", "--insecure", "--domain", "d", "--log-address", "127.0.0.1:1", "--grant-life", "900", "--max-header-bytes", "1k"}
	assertNoError(t, command.Run(context.Background(), args))
	var got []string
	for _, err := range settings.Check() {
		got = append(got, strings.Fields(err.Error())[0])
	}
	slices.Sort(got)
	want := []string{"--grant-life:", "--max-header-bytes:", "--name:", "--suspicion:"}
	if !slices.Equal(got, want) {
		t.Fatalf("errors: got %q, want %q", got, want)
	}
	assertEqual(t, "grant life", settings.GrantLife, lease.DefaultMaxGrantDuration)
}

func TestMainRejectsSettings(t *testing.T) {
	for name, args := range map[string][]string{
		"missing":        {"pineturnd"},
		"out of bounds":  {"pineturnd", "--insecure", "--name", "h1", "--domain", "d", "--log-address", "127.0.0.1:1", "--grant-life", "1ms"},
		"without a unit": {"pineturnd", "--grant-life", "900"},
		"unknown flag":   {"pineturnd", "--grand-life", "1s"},
	} {
		t.Run(name, func(t *testing.T) { assertEqual(t, "exit status", Main(args), exitSettings) })
	}
	t.Run("from the environment", func(t *testing.T) {
		t.Setenv("PINETURN_SUSPICION", "soon")
		assertEqual(t, "exit status", Main([]string{"pineturnd"}), exitSettings)
	})
}
