package docs_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/verb/mtverb"
)

var rewrite = flag.Bool("rewrite", false, "rewrite the generated pages and the output of examples")

// requirePage requires that a page has the expected text. With -rewrite it writes the page first.
func requirePage(t *testing.T, file, expected string) {
	t.Helper()
	if *rewrite {
		require.NoError(t, os.WriteFile(file, []byte(expected), 0o644))
	}
	actual, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, expected, string(actual), "%s is stale; \"make docs\" rewrites it", file)
}

func TestEventsPageListsAllEvents(t *testing.T) {
	page := &strings.Builder{}
	page.WriteString("# Events\n\nEach line of the log carries the number of its event in the field `event`. This page is generated from the code.\n\n")
	page.WriteString("| number | level | text |\n| --- | --- | --- |\n")
	seen := map[int]bool{}
	lastNumber := 0
	for _, event := range mtevent.All {
		require.False(t, seen[event.Number], "event %d is listed twice", event.Number)
		require.Greater(t, event.Number, lastNumber, "events must be sorted by number")
		seen[event.Number] = true
		lastNumber = event.Number
		fmt.Fprintf(page, "| %d | %s | %s |\n", event.Number, event.Level, event.Text)
	}
	requirePage(t, "EVENTS.md", page.String())
}

// schema holds the fields of a JSON schema that the pages show.
type schema struct {
	Title       string            `json:"title"`
	Description string            `json:"description"`
	Type        string            `json:"type"`
	Reference   string            `json:"$ref"`
	Properties  map[string]schema `json:"properties"`
	Items       *schema           `json:"items"`
	Required    []string          `json:"required"`
	Default     any               `json:"default"`
	Enum        []string          `json:"enum"`
	Definitions map[string]schema `json:"$defs"`
}

func TestSettingsAndContractPagesMatchSchemas(t *testing.T) {
	for file, kind := range map[string]string{"SETTINGS.md": "settings", "CONTRACT.md": "bundle"} {
		text, err := os.ReadFile("../internal/adapter/mtdocument/" + kind + ".schema.json")
		require.NoError(t, err)
		root := schema{}
		require.NoError(t, json.Unmarshal(text, &root))
		page := &strings.Builder{}
		fmt.Fprintf(page, "# %s\n\nJSON; a field that is not listed is refused. `mangotack check FILE` reports all findings together. This page is\ngenerated from the schema that the check uses.\n", root.Title)
		writeObject(page, "The document", root)
		for _, name := range slices.Sorted(maps.Keys(root.Definitions)) {
			if definition := root.Definitions[name]; len(definition.Properties) > 0 {
				writeObject(page, strings.ToUpper(name[:1])+name[1:], definition)
			}
		}
		requirePage(t, file, page.String())
	}
}

// writeObject writes a section with a table of the fields of an object.
func writeObject(page *strings.Builder, title string, object schema) {
	fmt.Fprintf(page, "\n## %s\n\n| field | type | required | default | meaning |\n| --- | --- | --- | --- | --- |\n", title)
	for _, name := range slices.Sorted(maps.Keys(object.Properties)) {
		property := object.Properties[name]
		required := ""
		if slices.Contains(object.Required, name) {
			required = "yes"
		}
		defaultValue := ""
		if property.Default != nil {
			defaultValue = fmt.Sprint(property.Default)
		}
		description := property.Description
		fmt.Fprintf(page, "| `%s` | %s | %s | %s | %s |\n",
			name, typeName(property), required, defaultValue, description)
	}
}

// typeName returns the type of a property as the pages show it.
func typeName(property schema) string {
	switch {
	case property.Reference != "":
		return strings.TrimPrefix(property.Reference, "#/$defs/")
	case property.Items != nil:
		return "list of " + typeName(*property.Items)
	case len(property.Enum) > 0:
		return strings.Join(property.Enum, ", ")
	default:
		return property.Type
	}
}

// exampleBlock matches a console block that starts with a command of the program.
var exampleBlock = regexp.MustCompile("(?s)```console\n\\$ mangotack ([^\n]*)\n(.*?)```")

// Guards against examples whose output is out of date. Their commands run at the root of the repository.
func TestExamplesShowActualOutput(t *testing.T) {
	t.Chdir("..")
	t.Setenv("MANGOTACK_TOKEN", "")
	pages, err := filepath.Glob("docs/*.md")
	require.NoError(t, err)
	exampleCount := 0
	for _, page := range append(pages, "README.md") {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		updated := exampleBlock.ReplaceAllStringFunc(string(text), func(block string) string {
			exampleCount++
			arguments := exampleBlock.FindStringSubmatch(block)[1]
			var output bytes.Buffer
			mtverb.Run(strings.Fields(arguments), &output, &output)
			return "```console\n$ mangotack " + arguments + "\n" + output.String() + "```"
		})
		requirePage(t, page, updated)
	}
	require.Positive(t, exampleCount)
}

// Guards against metrics that are in the code but not on the page, and the reverse.
func TestMetricsPageListsAllMetrics(t *testing.T) {
	metricName := regexp.MustCompile(`mangotack_[a-z_]+`)
	inCode := map[string]bool{}
	for _, pattern := range []string{
		"../internal/adapter/mtmetrics/*.go", "../internal/node/mtnode/*.go", "../internal/node/mtgateway/*.go",
	} {
		files, err := filepath.Glob(pattern)
		require.NoError(t, err)
		for _, file := range files {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			for _, name := range metricName.FindAllString(string(text), -1) {
				inCode[name] = true
			}
		}
	}
	page, err := os.ReadFile("METRICS.md")
	require.NoError(t, err)
	onPage := map[string]bool{}
	for _, name := range metricName.FindAllString(string(page), -1) {
		onPage[name] = true
	}
	require.Equal(t, inCode, onPage)
}

// Guards against links to files that were moved or removed.
func TestLinkedFilesExist(t *testing.T) {
	linkPattern := regexp.MustCompile(`\]\(([^)#:]+)\)`)
	pages, err := filepath.Glob("*.md")
	require.NoError(t, err)
	for _, page := range append(pages, "../README.md") {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, found := range linkPattern.FindAllStringSubmatch(string(text), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), found[1]))
			require.NoError(t, err, "%s links to %s, which does not exist", page, found[1])
		}
	}
}
