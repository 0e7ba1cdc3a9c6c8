package mtoperator

import (
	"encoding/json"

	"github.com/pmezard/go-difflib/difflib"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/mangotack/mangotack/internal/core/mtrecord"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

// diffContextLines is the number of unchanged lines around each change.
const diffContextLines = 2

// CurrentVersion returns the version in force with a record key, or nil.
func CurrentVersion(versions []*recordv1.Version, key string) *recordv1.Version {
	for _, version := range versions {
		if mtrecord.Key(version.GetRecord()) == key {
			return version
		}
	}
	return nil
}

// Diff returns the difference between two records as a unified diff of their JSON, without their ids and
// the versions that they amend.
func Diff(before, after *recordv1.Record) (string, error) {
	beforeLines, err := jsonLines(before)
	if err != nil {
		return "", err
	}
	afterLines, err := jsonLines(after)
	if err != nil {
		return "", err
	}
	return difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        beforeLines,
		B:        afterLines,
		FromFile: "in force",
		ToFile:   "amended",
		Context:  diffContextLines,
	})
}

// jsonLines returns the indented JSON of a record without its id and the version that it amends. It decodes and encodes
// the output of protojson again to sort the fields, because protojson deliberately varies its white space.
func jsonLines(record *recordv1.Record) ([]string, error) {
	stripped := proto.CloneOf(record)
	stripped.Id, stripped.Amends = "", 0
	data, err := protojson.Marshal(stripped)
	if err != nil {
		return nil, err
	}
	fields := map[string]any{}
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, err
	}
	indented, err := json.MarshalIndent(fields, "", "  ")
	if err != nil {
		return nil, err
	}
	return difflib.SplitLines(string(indented)), nil
}
