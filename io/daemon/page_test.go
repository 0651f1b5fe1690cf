package daemon

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/urfave/cli/v3"
)

var update = flag.Bool("update", false, "update the settings table in OPERATIONS.md")

const (
	pagePath   = "../../docs/OPERATIONS.md"
	tableStart = "<!-- settings of pineturnd: go test ./io/daemon -run TestPageSettings -update -->\n"
	tableEnd   = "<!-- end of settings -->"
)

func readPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile(pagePath)
	assertNoError(t, err)
	return string(page)
}

// settingsTable returns the table of flags in the format of the page.
func settingsTable(t *testing.T) string {
	t.Helper()
	var settings Settings
	out := "| setting | environment | default | meaning |\n| --- | --- | --- | --- |\n"
	for _, settingFlag := range append(settings.Flags(), verbosityFlag()) {
		doc, ok := settingFlag.(cli.DocGenerationFlag)
		if !ok {
			t.Fatalf("flag %v: got no cli.DocGenerationFlag, want one", settingFlag.Names())
		}
		standard := ""
		if value := strings.Trim(doc.GetValue(), `"`); value != "" && value != "false" {
			standard = "`" + value + "`"
		}
		out += fmt.Sprintf("| `--%s` | `%s` | %s | %s |\n", settingFlag.Names()[0], strings.Join(doc.GetEnvVars(), "`, `"), standard, doc.GetUsage())
	}
	return out
}

func TestPageSettings(t *testing.T) {
	page := readPage(t)
	before, rest, ok := strings.Cut(page, tableStart)
	got, after, found := strings.Cut(rest, tableEnd)
	if !ok || !found {
		t.Fatalf("page: got no settings table between %q and %q, want one", tableStart, tableEnd)
	}
	want := settingsTable(t)
	if *update {
		assertNoError(t, os.WriteFile(pagePath, []byte(before+tableStart+want+tableEnd+after), 0o644))
		return
	}
	if got != want {
		t.Fatalf("settings table: got\n%s\nwant\n%s", got, want)
	}
}

// tableRows returns the table rows of the page whose first cell starts with prefix.
// The keys are the first cells, the values are the rest of the rows.
func tableRows(page, prefix string) map[string]string {
	rows := map[string]string{}
	for _, match := range regexp.MustCompile("(?m)^\\| `("+prefix+"[a-z_]+)`(.*)$").FindAllStringSubmatch(page, -1) {
		rows[match[1]] = match[2]
	}
	return rows
}

func TestPageMetrics(t *testing.T) {
	rows := tableRows(readPage(t), "pineturn_")
	described := make(chan *prometheus.Desc)
	go func() {
		defer close(described)
		newMetrics().registry.Describe(described)
	}()
	name := regexp.MustCompile(`fqName: "(pineturn_[a-z_]+)".*variableLabels: \{([^}]*)\}`)
	for desc := range described {
		match := name.FindStringSubmatch(desc.String())
		if match == nil {
			continue
		}
		row, ok := rows[match[1]]
		if !ok {
			t.Errorf("%s: got no row on the page, want one", match[1])
		}
		for label := range strings.SplitSeq(match[2], ",") {
			if !strings.Contains(row, label) {
				t.Errorf("%s: got row %q, want one that names the label %s", match[1], row, label)
			}
		}
		delete(rows, match[1])
	}
	for row := range rows {
		t.Errorf("%s: got a row for a metric that does not exist, want none", row)
	}
}

func TestPageDump(t *testing.T) {
	_, section, _ := strings.Cut(readPage(t), "## /debug/state")
	section, _, _ = strings.Cut(section, "\n## ")
	rows := tableRows(section, "")
	kind := reflect.TypeFor[dump]()
	for i := range kind.NumField() {
		field := kind.Field(i).Tag.Get("json")
		if _, ok := rows[field]; !ok {
			t.Errorf("%s: got no row on the page, want one", field)
		}
		delete(rows, field)
	}
	for row := range rows {
		t.Errorf("%s: got a row for a field that does not exist, want none", row)
	}
}

func TestPageScenarios(t *testing.T) {
	found := regexp.MustCompile("`([a-z-]+)\\.txtar`").FindAllStringSubmatch(readPage(t), -1)
	if len(found) == 0 {
		t.Fatal("page: got no scenario, want some")
	}
	for _, match := range found {
		if _, err := os.Stat(filepath.Join("../../scenario/testdata", match[1]+".txtar")); err != nil {
			t.Errorf("%s: got %v, want a scenario", match[1], err)
		}
	}
}
