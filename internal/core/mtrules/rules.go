package mtrules

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/mangotack/mangotack/internal/core/mtrecord"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

// Rules is an immutable index of the current records. It is safe for concurrent use.
type Rules struct {
	services map[string]*recordv1.Service
	// idempotentMethods holds the idempotent methods as service/method.
	idempotentMethods map[string]bool
	// approvals maps the key of an approval to whether it is in force.
	approvals        map[string]bool
	leavingInstances map[string]bool
	contracts        map[string]*recordv1.Contract
	// tokenOwners maps the hash of a token to its customer and team.
	tokenOwners map[string]tokenOwner
}

type tokenOwner struct {
	customer string
	team     *recordv1.Team
}

// NewRules returns the index of the records in a snapshot.
func NewRules(snapshot *recordv1.Snapshot) *Rules {
	rules := &Rules{
		services:          map[string]*recordv1.Service{},
		idempotentMethods: map[string]bool{},
		approvals:         map[string]bool{},
		leavingInstances:  map[string]bool{},
		contracts:         map[string]*recordv1.Contract{},
		tokenOwners:       map[string]tokenOwner{},
	}
	for _, version := range snapshot.GetVersions() {
		rules.add(version.GetRecord())
	}
	return rules
}

func (r *Rules) add(record *recordv1.Record) {
	switch body := record.GetBody().(type) {
	case *recordv1.Record_Service:
		r.addService(body.Service)
	case *recordv1.Record_Approval:
		r.approvals[mtrecord.Key(record)] = !body.Approval.GetRevoked()
	case *recordv1.Record_Mark:
		r.leavingInstances[body.Mark.GetInstance()] = body.Mark.GetLeaving()
	case *recordv1.Record_Contract:
		r.addContract(body.Contract)
	}
}

func (r *Rules) addService(service *recordv1.Service) {
	r.services[service.GetName()] = service
	for _, method := range service.GetIdempotent() {
		r.idempotentMethods[service.GetName()+"/"+method] = true
	}
}

func (r *Rules) addContract(contract *recordv1.Contract) {
	r.contracts[contract.GetCustomer()] = contract
	if contract.GetEnded() {
		return
	}
	for _, team := range contract.GetTeams() {
		for _, token := range team.GetTokens() {
			r.tokenOwners[token] = tokenOwner{
				customer: contract.GetCustomer(),
				team:     team,
			}
		}
	}
}

// HashToken returns the SHA-256 hash of a token in hexadecimal, the form in which contracts store tokens.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// TeamByToken returns the customer and team that a token belongs to.
//
// The look-up compares hashes, so its duration reveals nothing about a token.
func (r *Rules) TeamByToken(token string) (customer string, team *recordv1.Team, known bool) {
	owner, known := r.tokenOwners[HashToken(token)]
	return owner.customer, owner.team, known
}

// MayCall reports whether the contract lists the service for the team and an approval of the team for the service is in
// force.
func (r *Rules) MayCall(customer string, team *recordv1.Team, service string) bool {
	if !r.approvals[mtrecord.ApprovalKey(service, customer, team.GetName())] {
		return false
	}
	for _, listed := range team.GetServices() {
		if listed == service {
			return true
		}
	}
	return false
}

// Service returns the record of a service, or nil if there is none.
func (r *Rules) Service(name string) *recordv1.Service {
	return r.services[name]
}

// Contract returns the contract of a customer, or nil if there is none.
func (r *Rules) Contract(customer string) *recordv1.Contract {
	return r.contracts[customer]
}

// IsIdempotent reports whether a call of the method may run more than once.
func (r *Rules) IsIdempotent(service, method string) bool {
	return r.idempotentMethods[service+"/"+method]
}

// IsLeaving reports whether an instance is marked as leaving.
func (r *Rules) IsLeaving(instance string) bool {
	return r.leavingInstances[instance]
}

// Services returns the records of all services by name.
func (r *Rules) Services() map[string]*recordv1.Service {
	return r.services
}
