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

// Kind is the kind of a document; its schema is in the embedded file <kind>.schema.json.
type Kind string

// The kinds of documents.
const (
	Settings Kind = "settings"
	Bundle   Kind = "bundle"
	Standin  Kind = "standin"
)

// maxDocumentBytes bounds the size of a document.
const maxDocumentBytes = 4 << 20

// LoadFile parses the document in a file into target and returns a finding for each error in it, or nil.
func LoadFile(file string, kind Kind, target proto.Message) []mtfinding.Finding {
	data, err := os.ReadFile(file)
	if err != nil {
		return []mtfinding.Finding{{
			File:     file,
			Found:    err.Error(),
			Expected: "a readable file",
		}}
	}
	findings := Read(data, kind, target)
	for i := range findings {
		findings[i].File = file
	}
	return findings
}

// Read parses a document into target and returns a finding for each error in it, or nil.
func Read(data []byte, kind Kind, target proto.Message) []mtfinding.Finding {
	if len(data) > maxDocumentBytes {
		return newFindings("", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", maxDocumentBytes))
	}
	if findings := checkSyntax(data); findings != nil {
		return findings
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return newFindings("", err.Error(), "one JSON value")
	}
	if err := schemaOf(kind).Validate(document); err != nil {
		var validationError *jsonschema.ValidationError
		if errors.As(err, &validationError) {
			return findingsOf(validationError)
		}
		return newFindings("", err.Error(), "a valid document")
	}
	if err := protojson.Unmarshal(data, target); err != nil {
		return newFindings("", err.Error(), "a value of the documented type")
	}
	return nil
}

// newFindings returns a list of one finding.
func newFindings(pointer, found, expected string) []mtfinding.Finding {
	return []mtfinding.Finding{{
		Pointer:  pointer,
		Found:    found,
		Expected: expected,
	}}
}

// checkSyntax returns a finding with the line of a JSON syntax error, or nil.
func checkSyntax(data []byte) []mtfinding.Finding {
	var value any
	err := json.Unmarshal(data, &value)
	var syntaxError *json.SyntaxError
	if !errors.As(err, &syntaxError) {
		return nil
	}
	line := 1 + bytes.Count(data[:min(int64(len(data)), syntaxError.Offset)], []byte("\n"))
	return newFindings(fmt.Sprintf("line %d", line), syntaxError.Error(), "JSON")
}

// schemaOf compiles the embedded schema of a kind. It panics on an error, because a test ensures that each schema
// compiles.
func schemaOf(kind Kind) *jsonschema.Schema {
	fileName := string(kind) + ".schema.json"
	data, err := schemas.ReadFile(fileName)
	if err != nil {
		panic(err)
	}
	schema, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(fileName, schema); err != nil {
		panic(err)
	}
	return compiler.MustCompile(fileName)
}

// findingsOf returns the leaves of a tree of validation errors as findings, sorted by pointer.
func findingsOf(validationError *jsonschema.ValidationError) []mtfinding.Finding {
	var findings []mtfinding.Finding
	if len(validationError.Causes) == 0 {
		findings = append(findings, newFinding(validationError))
	}
	for _, cause := range validationError.Causes {
		findings = append(findings, findingsOf(cause)...)
	}
	slices.SortStableFunc(findings, func(a, b mtfinding.Finding) int {
		return strings.Compare(a.Pointer, b.Pointer)
	})
	return findings
}

// newFinding returns a validation error as a finding. It never quotes a value of the document, because it may be a
// secret.
func newFinding(validationError *jsonschema.ValidationError) mtfinding.Finding {
	finding := mtfinding.Finding{
		Pointer: pointerOf(validationError.InstanceLocation),
	}
	switch violation := validationError.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		finding.Found = "unknown field " + strings.Join(violation.Properties, ", ")
		finding.Expected = "only documented fields"
	case *kind.Required:
		finding.Found = "no field " + strings.Join(violation.Missing, ", ")
		finding.Expected = "the field to be set"
	case *kind.Type:
		finding.Found = violation.Got
		finding.Expected = strings.Join(violation.Want, " or ")
	case *kind.Pattern:
		finding.Found = fmt.Sprintf("a text of %d bytes", len(violation.Got))
		finding.Expected = describePattern(violation.Want)
	case *kind.Enum:
		finding.Found = "another value"
		finding.Expected = "one of " + strings.Trim(fmt.Sprint(violation.Want), "[]")
	case *kind.MinLength:
		finding.Found = fmt.Sprintf("a text of %d characters", violation.Got)
		finding.Expected = fmt.Sprintf("at least %d characters", violation.Want)
	case *kind.Minimum:
		finding.Found = formatNumber(violation.Got)
		finding.Expected = "at least " + formatNumber(violation.Want)
	case *kind.Maximum:
		finding.Found = formatNumber(violation.Got)
		finding.Expected = "at most " + formatNumber(violation.Want)
	default:
		finding.Found = validationError.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		finding.Expected = "a value within the documented bounds"
	}
	return finding
}

func formatNumber(value *big.Rat) string {
	float, _ := value.Float64()
	return strconv.FormatFloat(float, 'g', -1, 64)
}

// patternDescriptions describes the patterns of the schemas in words, for findings.
var patternDescriptions = map[string]string{
	`^[a-z0-9][a-z0-9-]{0,62}$`:                                    "1 to 63 lower-case letters, digits and hyphens",
	`^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9a-fA-F:]+\]):[0-9]{1,5}$`: "an IP number and a port, such as 127.0.0.1:7100",
	`^[0-9a-f]{64}$`:           "a SHA-256 hash of 64 hexadecimal digits",
	`^[0-9]+(\.[0-9]{1,9})?s$`: "a time in seconds, such as 2.5s",
	`^[A-Za-z_][A-Za-z0-9_]*(\.[A-Za-z_][A-Za-z0-9_]*)+$`: "a package and a service, such as kilele.menu.v1.MenuService",
}

func describePattern(pattern string) string {
	if description, known := patternDescriptions[pattern]; known {
		return description
	}
	return "a text that matches " + pattern
}

// pointerOf returns the JSON pointer (RFC 6901) of a location.
func pointerOf(location []string) string {
	pointer := ""
	for _, token := range location {
		pointer += "/" + strings.NewReplacer("~", "~0", "/", "~1").Replace(token)
	}
	return pointer
}
