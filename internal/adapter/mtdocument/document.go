package mtdocument

import (
	"bytes"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"math/big"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/mangotack/mangotack/pkg/mtfinding"
)

//go:embed *.schema.json
var schemas embed.FS

// Kind is the kind of a document.
type Kind string

// The kinds of documents.
const (
	Settings Kind = "settings"
	Bundle   Kind = "bundle"
	Standin  Kind = "standin"
)

// sizeLimit bounds a document in bytes.
const sizeLimit = 4 << 20

// Load reads a file into a message and returns all that is wrong with it.
func Load(file string, kind Kind, into proto.Message) []mtfinding.Finding {
	data, err := os.ReadFile(file)
	if err != nil {
		return []mtfinding.Finding{{
			File:     file,
			Found:    err.Error(),
			Expected: "a readable file",
		}}
	}
	findings := Read(data, kind, into)
	for i := range findings {
		findings[i].File = file
	}
	return findings
}

// Read reads a text into a message and returns all that is wrong with it.
func Read(data []byte, kind Kind, into proto.Message) []mtfinding.Finding {
	if len(data) > sizeLimit {
		return one("", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", sizeLimit))
	}
	if findings := syntax(data); findings != nil {
		return findings
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return one("", err.Error(), "one JSON value")
	}
	if err := schemaOf(kind).Validate(value); err != nil {
		var failure *jsonschema.ValidationError
		if errors.As(err, &failure) {
			return flatten(failure)
		}
		return one("", err.Error(), "a valid document")
	}
	if err := protojson.Unmarshal(data, into); err != nil {
		return one("", err.Error(), "a value of the documented type")
	}
	return nil
}

func one(pointer, found, expected string) []mtfinding.Finding {
	return []mtfinding.Finding{{
		Pointer:  pointer,
		Found:    found,
		Expected: expected,
	}}
}

func syntax(data []byte) []mtfinding.Finding {
	var value any
	err := json.Unmarshal(data, &value)
	var failure *json.SyntaxError
	if !errors.As(err, &failure) {
		return nil
	}
	line := 1 + bytes.Count(data[:min(int64(len(data)), failure.Offset)], []byte("\n"))
	return one(fmt.Sprintf("line %d", line), failure.Error(), "JSON")
}

// schemaOf compiles an embedded schema; that it compiles is pinned by a test, so a failure is a fault of the program.
func schemaOf(kind Kind) *jsonschema.Schema {
	name := string(kind) + ".schema.json"
	data, err := schemas.ReadFile(name)
	if err != nil {
		panic(err)
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, document); err != nil {
		panic(err)
	}
	return compiler.MustCompile(name)
}

// flatten turns the tree of errors into findings in the order of their pointers.
func flatten(failure *jsonschema.ValidationError) []mtfinding.Finding {
	var findings []mtfinding.Finding
	if len(failure.Causes) == 0 {
		findings = append(findings, describe(failure))
	}
	for _, cause := range failure.Causes {
		findings = append(findings, flatten(cause)...)
	}
	slices.SortStableFunc(findings, func(a, b mtfinding.Finding) int {
		return strings.Compare(a.Pointer, b.Pointer)
	})
	return findings
}

// describe never quotes a value, because a value can be a secret.
func describe(failure *jsonschema.ValidationError) mtfinding.Finding {
	finding := mtfinding.Finding{
		Pointer: pointerOf(failure.InstanceLocation),
	}
	switch found := failure.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		finding.Found = "unknown field " + strings.Join(found.Properties, ", ")
		finding.Expected = "only documented fields"
	case *kind.Required:
		finding.Found = "no field " + strings.Join(found.Missing, ", ")
		finding.Expected = "the field to be set"
	case *kind.Type:
		finding.Found = found.Got
		finding.Expected = strings.Join(found.Want, " or ")
	case *kind.Pattern:
		finding.Found = fmt.Sprintf("a text of %d bytes", len(found.Got))
		finding.Expected = describePattern(found.Want)
	case *kind.Enum:
		finding.Found = "another value"
		finding.Expected = "one of " + strings.Trim(fmt.Sprint(found.Want), "[]")
	case *kind.MinLength:
		finding.Found = fmt.Sprintf("a text of %d characters", found.Got)
		finding.Expected = fmt.Sprintf("at least %d characters", found.Want)
	case *kind.Minimum:
		finding.Found = number(found.Got)
		finding.Expected = "at least " + number(found.Want)
	case *kind.Maximum:
		finding.Found = number(found.Got)
		finding.Expected = "at most " + number(found.Want)
	default:
		finding.Found = failure.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		finding.Expected = "a value within the documented bounds"
	}
	return finding
}

func number(value *big.Rat) string {
	text, _ := value.Float64()
	return strconv.FormatFloat(text, 'g', -1, 64)
}

// words describe the patterns of the schemas.
var words = map[string]string{
	`^[a-z0-9][a-z0-9-]{0,62}$`:                                    "1 to 63 lower-case letters, digits and hyphens",
	`^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9a-fA-F:]+\]):[0-9]{1,5}$`: "an IP number and a port, such as 127.0.0.1:7100",
	`^[0-9a-f]{64}$`:           "a SHA-256 hash of 64 hexadecimal digits",
	`^[0-9]+(\.[0-9]{1,9})?s$`: "a time in seconds, such as 2.5s",
	`^[A-Za-z_][A-Za-z0-9_]*(\.[A-Za-z_][A-Za-z0-9_]*)+$`: "a package and a service, such as kilele.menu.v1.MenuService",
}

func describePattern(pattern string) string {
	if text, known := words[pattern]; known {
		return text
	}
	return "a text that matches " + pattern
}

func pointerOf(location []string) string {
	pointer := ""
	for _, token := range location {
		pointer += "/" + strings.NewReplacer("~", "~0", "/", "~1").Replace(token)
	}
	return pointer
}
