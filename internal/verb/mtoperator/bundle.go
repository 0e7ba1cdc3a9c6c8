package mtoperator

import (
	"fmt"

	"github.com/mangotack/mangotack/internal/adapter/mtdocument"
	"github.com/mangotack/mangotack/internal/core/mtrecord"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
	"github.com/mangotack/mangotack/pkg/mtfinding"
)

// LoadBundle returns the records of a bundle file. There are no findings if and only if the file and all its records
// are valid.
func LoadBundle(file string) ([]*recordv1.Record, []mtfinding.Finding) {
	bundle := &recordv1.Bundle{}
	if findings := mtdocument.LoadFile(file, mtdocument.Bundle, bundle); len(findings) > 0 {
		return nil, findings
	}
	var records []*recordv1.Record
	var findings []mtfinding.Finding
	add := func(list string, index int, record *recordv1.Record) {
		records = append(records, record)
		for _, finding := range mtrecord.Check(record) {
			finding.File = file
			finding.Pointer = fmt.Sprintf("/%s/%d%s", list, index, finding.Pointer)
			findings = append(findings, finding)
		}
	}
	for i, service := range bundle.GetServices() {
		add("services", i, &recordv1.Record{Body: &recordv1.Record_Service{Service: service}})
	}
	for i, contract := range bundle.GetContracts() {
		add("contracts", i, &recordv1.Record{Body: &recordv1.Record_Contract{Contract: contract}})
	}
	for i, approval := range bundle.GetApprovals() {
		add("approvals", i, &recordv1.Record{Body: &recordv1.Record_Approval{Approval: approval}})
	}
	for i, mark := range bundle.GetMarks() {
		add("marks", i, &recordv1.Record{Body: &recordv1.Record_Mark{Mark: mark}})
	}
	return records, findings
}
