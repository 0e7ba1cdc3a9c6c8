package mtrules

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/mangotack/mangotack/internal/core/mtrecord"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

// Rules is an immutable index of the versions in force; it is safe for use by many goroutines.
type Rules struct {
	services  map[string]*recordv1.Service
	methods   map[string]bool
	approved  map[string]bool
	leaving   map[string]bool
	contracts map[string]*recordv1.Contract
	tokens    map[string]membership
}

type membership struct {
	customer string
	team     *recordv1.Team
}

// NewRules indexes the versions of a snapshot.
func NewRules(snapshot *recordv1.Snapshot) *Rules {
	rules := &Rules{
		services:  map[string]*recordv1.Service{},
		methods:   map[string]bool{},
		approved:  map[string]bool{},
		leaving:   map[string]bool{},
		contracts: map[string]*recordv1.Contract{},
		tokens:    map[string]membership{},
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
		r.approved[mtrecord.Key(record)] = !body.Approval.GetRevoked()
	case *recordv1.Record_Mark:
		r.leaving[body.Mark.GetInstance()] = body.Mark.GetLeaving()
	case *recordv1.Record_Contract:
		r.addContract(body.Contract)
	}
}

func (r *Rules) addService(service *recordv1.Service) {
	r.services[service.GetName()] = service
	for _, method := range service.GetIdempotent() {
		r.methods[service.GetName()+"/"+method] = true
	}
}

func (r *Rules) addContract(contract *recordv1.Contract) {
	r.contracts[contract.GetCustomer()] = contract
	if contract.GetEnded() {
		return
	}
	for _, team := range contract.GetTeams() {
		for _, token := range team.GetTokens() {
			r.tokens[token] = membership{
				customer: contract.GetCustomer(),
				team:     team,
			}
		}
	}
}

// HashToken returns the SHA-256 hash of a token in hexadecimal, as contracts hold it.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Team returns the customer and team that a token belongs to.
//
// The look-up compares hashes, so its timing tells nothing about a token.
func (r *Rules) Team(token string) (customer string, team *recordv1.Team, known bool) {
	found, known := r.tokens[HashToken(token)]
	return found.customer, found.team, known
}

// MayCall reports whether the team's contract names the service and the service's owner approved the team.
func (r *Rules) MayCall(customer string, team *recordv1.Team, service string) bool {
	if !r.approved[mtrecord.ApprovalKey(service, customer, team.GetName())] {
		return false
	}
	for _, named := range team.GetServices() {
		if named == service {
			return true
		}
	}
	return false
}

// Service returns the record of a service, or nil.
func (r *Rules) Service(name string) *recordv1.Service {
	return r.services[name]
}

// Contract returns the contract of a customer, or nil.
func (r *Rules) Contract(customer string) *recordv1.Contract {
	return r.contracts[customer]
}

// IsIdempotent reports whether a method may run more than once.
func (r *Rules) IsIdempotent(service, method string) bool {
	return r.methods[service+"/"+method]
}

// IsLeaving reports whether an instance is marked as leaving.
func (r *Rules) IsLeaving(instance string) bool {
	return r.leaving[instance]
}

// Services returns the records of all services by name.
func (r *Rules) Services() map[string]*recordv1.Service {
	return r.services
}
