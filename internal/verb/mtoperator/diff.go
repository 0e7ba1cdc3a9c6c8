package mtoperator

import (
	"encoding/json"

	"github.com/pmezard/go-difflib/difflib"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/mangotack/mangotack/internal/core/mtrecord"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

// contextLines is the number of equal lines around each change.
const contextLines = 2

// Present returns the version of a key in force, or nil.
func Present(versions []*recordv1.Version, key string) *recordv1.Version {
	for _, version := range versions {
		if mtrecord.Key(version.GetRecord()) == key {
			return version
		}
	}
	return nil
}

// Diff returns the difference between two records as a unified diff of their JSON, without their ids.
func Diff(before, after *recordv1.Record) (string, error) {
	old, err := lines(before)
	if err != nil {
		return "", err
	}
	fresh, err := lines(after)
	if err != nil {
		return "", err
	}
	return difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        old,
		B:        fresh,
		FromFile: "in force",
		ToFile:   "amended",
		Context:  contextLines,
	})
}

// lines returns the JSON of a record with sorted fields, because protojson varies its spaces on purpose.
func lines(record *recordv1.Record) ([]string, error) {
	bare := proto.CloneOf(record)
	bare.Id, bare.Amends = "", 0
	text, err := protojson.Marshal(bare)
	if err != nil {
		return nil, err
	}
	fields := map[string]any{}
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, err
	}
	sorted, err := json.MarshalIndent(fields, "", "  ")
	if err != nil {
		return nil, err
	}
	return difflib.SplitLines(string(sorted)), nil
}
