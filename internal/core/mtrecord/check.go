package mtrecord

import (
	"regexp"
	"strconv"
	"strings"

	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
	"github.com/mangotack/mangotack/pkg/mtfinding"
)

// Protocols of endpoints.
const (
	HTTP1 = "http1"
	H2C   = "h2c"
)

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	servicePattern = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*(\.[A-Za-z_][A-Za-z0-9_]*)+$`)
	hashPattern    = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// maxRate bounds the rate of a limit, in calls per second.
const maxRate = 1e9

const (
	expectedName    = "1 to 63 lower-case letters, digits and hyphens"
	expectedService = "a package and a service, such as kilele.menu.v1.MenuService"
	expectedHash    = "a SHA-256 hash of 64 hexadecimal digits"
)

// Check validates a record and returns a finding for each fault, with its JSON pointer within the body of the record.
func Check(record *recordv1.Record) []mtfinding.Finding {
	checker := &recordChecker{}
	switch body := record.GetBody().(type) {
	case *recordv1.Record_Contract:
		checker.contract(body.Contract)
	case *recordv1.Record_Service:
		checker.service(body.Service)
	case *recordv1.Record_Approval:
		checker.approval(body.Approval)
	case *recordv1.Record_Mark:
		checker.match("/instance", body.Mark.GetInstance(), namePattern, expectedName)
	default:
		checker.add("", "no body", "a contract, service, approval or mark")
	}
	return checker.findings
}

type recordChecker struct {
	findings []mtfinding.Finding
}

func (c *recordChecker) add(pointer, found, expected string) {
	c.findings = append(c.findings, mtfinding.Finding{
		Pointer:  pointer,
		Found:    found,
		Expected: expected,
	})
}

// match adds a finding if the value does not match the pattern.
func (c *recordChecker) match(pointer, value string, pattern *regexp.Regexp, expected string) {
	if !pattern.MatchString(value) {
		c.add(pointer, strconv.Quote(value), expected)
	}
}

// hash adds a finding if the value is not a hash. The finding does not quote the value, because it can be a plain
// token.
func (c *recordChecker) hash(pointer, value string) {
	if !hashPattern.MatchString(value) {
		c.add(pointer, "a text of "+strconv.Itoa(len(value))+" bytes", expectedHash)
	}
}

// unique adds a finding if the value was seen before. The finding describes the value by the text found, because the
// value can be a plain token.
func (c *recordChecker) unique(pointer, value, found string, seen map[string]bool) {
	if seen[value] {
		c.add(pointer, found+" a second time", "a value that differs from the others")
	}
	seen[value] = true
}

func (c *recordChecker) contract(contract *recordv1.Contract) {
	c.match("/customer", contract.GetCustomer(), namePattern, expectedName)
	c.limit("/limit", contract.GetLimit())
	seenTeams := map[string]bool{}
	seenTokens := map[string]bool{}
	for i, team := range contract.GetTeams() {
		teamPointer := "/teams/" + strconv.Itoa(i)
		c.match(teamPointer+"/name", team.GetName(), namePattern, expectedName)
		c.unique(teamPointer+"/name", team.GetName(), strconv.Quote(team.GetName()), seenTeams)
		c.limit(teamPointer+"/limit", team.GetLimit())
		for j, token := range team.GetTokens() {
			tokenPointer := teamPointer + "/tokens/" + strconv.Itoa(j)
			c.hash(tokenPointer, token)
			c.unique(tokenPointer, token, "the same hash", seenTokens)
		}
		for j, service := range team.GetServices() {
			c.match(teamPointer+"/services/"+strconv.Itoa(j), service, servicePattern, expectedService)
		}
	}
}

func (c *recordChecker) limit(pointer string, limit *recordv1.Limit) {
	rate := limit.GetRate()
	// The condition is the valid range, because every comparison with NaN is false.
	if inRange := rate >= 0 && rate <= maxRate; !inRange {
		c.add(pointer+"/rate", strconv.FormatFloat(rate, 'g', -1, 64), "a number from 0 to 1e9")
	}
}

func (c *recordChecker) service(service *recordv1.Service) {
	c.match("/name", service.GetName(), servicePattern, expectedService)
	if protocol := service.GetProtocol(); protocol != HTTP1 && protocol != H2C {
		c.add("/protocol", strconv.Quote(protocol), strings.Join([]string{HTTP1, H2C}, " or "))
	}
	if service.GetSlots() == 0 {
		c.add("/slots", "0", "at least 1")
	}
	if service.GetConnections() == 0 {
		c.add("/connections", "0", "at least 1")
	}
	if service.GetTimeout().AsDuration() <= 0 {
		c.add("/timeout", service.GetTimeout().AsDuration().String(), "a time above 0s")
	}
	for i, owner := range service.GetOwners() {
		c.hash("/owners/"+strconv.Itoa(i), owner)
	}
}

func (c *recordChecker) approval(approval *recordv1.Approval) {
	c.match("/service", approval.GetService(), servicePattern, expectedService)
	c.match("/customer", approval.GetCustomer(), namePattern, expectedName)
	c.match("/team", approval.GetTeam(), namePattern, expectedName)
}
