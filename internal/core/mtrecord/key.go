package mtrecord

import (
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

// Key returns the key that a record changes, or an empty string for a snapshot or a record without a body.
func Key(record *recordv1.Record) string {
	switch body := record.GetBody().(type) {
	case *recordv1.Record_Contract:
		return "contract/" + body.Contract.GetCustomer()
	case *recordv1.Record_Service:
		return "service/" + body.Service.GetName()
	case *recordv1.Record_Approval:
		return ApprovalKey(body.Approval.GetService(), body.Approval.GetCustomer(), body.Approval.GetTeam())
	case *recordv1.Record_Mark:
		return "mark/" + body.Mark.GetInstance()
	default:
		return ""
	}
}

// ApprovalKey returns the key of the approval of one team for one service.
func ApprovalKey(service, customer, team string) string {
	return "approval/" + service + "/" + customer + "/" + team
}
