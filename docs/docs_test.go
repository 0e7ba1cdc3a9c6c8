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

// compare requires that a page holds a text, or makes it so when the flag is set.
func compare(t *testing.T, file, text string) {
	t.Helper()
	if *rewrite {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o644))
	}
	found, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, text, string(found), "%s is stale; \"make docs\" rewrites it", file)
}

func TestEventsPageListsTheCatalogue(t *testing.T) {
	page := &strings.Builder{}
	page.WriteString("# Events\n\nEach line of the log carries the number of its event in the field `event`. This page is generated from the code.\n\n")
	page.WriteString("| number | level | text |\n| --- | --- | --- |\n")
	seen := map[int]bool{}
	last := 0
	for _, event := range mtevent.Catalogue {
		require.False(t, seen[event.Number], "event %d stands twice", event.Number)
		require.Greater(t, event.Number, last, "events stand in the order of their numbers")
		seen[event.Number] = true
		last = event.Number
		fmt.Fprintf(page, "| %d | %s | %s |\n", event.Number, event.Level, event.Text)
	}
	compare(t, "EVENTS.md", page.String())
}

// schema is the part of a JSON schema that the pages show.
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

func TestSettingsAndContractPagesFollowTheSchemas(t *testing.T) {
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
		compare(t, file, page.String())
	}
}

func writeObject(page *strings.Builder, title string, object schema) {
	fmt.Fprintf(page, "\n## %s\n\n| field | type | required | default | meaning |\n| --- | --- | --- | --- | --- |\n", title)
	for _, name := range slices.Sorted(maps.Keys(object.Properties)) {
		property := object.Properties[name]
		required := ""
		if slices.Contains(object.Required, name) {
			required = "yes"
		}
		fallback := ""
		if property.Default != nil {
			fallback = fmt.Sprint(property.Default)
		}
		require := property.Description
		fmt.Fprintf(page, "| `%s` | %s | %s | %s | %s |\n", name, typeName(property), required, fallback, require)
	}
}

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

var example = regexp.MustCompile("(?s)```console\n\\$ mangotack ([^\n]*)\n(.*?)```")

// Examples are blocks of the kind console that start with a command of the program; they run at the root of the repository.
func TestExamplesShowTrueOutput(t *testing.T) {
	t.Chdir("..")
	t.Setenv("MANGOTACK_TOKEN", "")
	pages, err := filepath.Glob("docs/*.md")
	require.NoError(t, err)
	count := 0
	for _, page := range append(pages, "README.md") {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		fresh := example.ReplaceAllStringFunc(string(text), func(block string) string {
			count++
			arguments := example.FindStringSubmatch(block)[1]
			var output bytes.Buffer
			mtverb.Run(strings.Fields(arguments), &output, &output)
			return "```console\n$ mangotack " + arguments + "\n" + output.String() + "```"
		})
		compare(t, page, fresh)
	}
	require.Positive(t, count)
}

// Every metric that the code names stands on the page of metrics, and the page names no other.
func TestMetricsPageListsTheMetrics(t *testing.T) {
	names := regexp.MustCompile(`mangotack_[a-z_]+`)
	inCode := map[string]bool{}
	for _, pattern := range []string{"../internal/adapter/mtmeter/*.go", "../internal/node/mtnode/*.go", "../internal/node/mtgateway/*.go"} {
		files, err := filepath.Glob(pattern)
		require.NoError(t, err)
		for _, file := range files {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			for _, name := range names.FindAllString(string(text), -1) {
				inCode[name] = true
			}
		}
	}
	page, err := os.ReadFile("METRICS.md")
	require.NoError(t, err)
	onPage := map[string]bool{}
	for _, name := range names.FindAllString(string(page), -1) {
		onPage[name] = true
	}
	require.Equal(t, inCode, onPage)
}

// A link to a file that is gone helps nobody.
func TestLinksLeadToFiles(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^)#:]+)\)`)
	pages, err := filepath.Glob("*.md")
	require.NoError(t, err)
	for _, page := range append(pages, "../README.md") {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, found := range link.FindAllStringSubmatch(string(text), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), found[1]))
			require.NoError(t, err, "%s links to %s", page, found[1])
		}
	}
}
