package mtrecord

import (
	"regexp"
	"strconv"
	"strings"

	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
	"github.com/mangotack/mangotack/pkg/mtfinding"
)

// Protocols that an endpoint can speak.
const (
	HTTP1 = "http1"
	H2C   = "h2c"
)

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	servicePattern = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*(\.[A-Za-z_][A-Za-z0-9_]*)+$`)
	hashPattern    = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// rateLimit bounds rates, in calls per second.
const rateLimit = 1e9

const (
	nameExpected    = "1 to 63 lower-case letters, digits and hyphens"
	serviceExpected = "a package and a service, such as kilele.menu.v1.MenuService"
	hashExpected    = "a SHA-256 hash of 64 hexadecimal digits"
)

// Check returns what is wrong with a record, each finding with its JSON pointer within the record's body.
func Check(record *recordv1.Record) []mtfinding.Finding {
	check := &checker{}
	switch body := record.GetBody().(type) {
	case *recordv1.Record_Contract:
		check.contract(body.Contract)
	case *recordv1.Record_Service:
		check.service(body.Service)
	case *recordv1.Record_Approval:
		check.approval(body.Approval)
	case *recordv1.Record_Mark:
		check.match("/instance", body.Mark.GetInstance(), namePattern, nameExpected)
	default:
		check.add("", "no body", "a contract, service, approval or mark")
	}
	return check.findings
}

type checker struct {
	findings []mtfinding.Finding
}

func (c *checker) add(pointer, found, expected string) {
	c.findings = append(c.findings, mtfinding.Finding{
		Pointer:  pointer,
		Found:    found,
		Expected: expected,
	})
}

func (c *checker) match(pointer, value string, pattern *regexp.Regexp, expected string) {
	if !pattern.MatchString(value) {
		c.add(pointer, strconv.Quote(value), expected)
	}
}

// hash never quotes the value, because it can be the token itself.
func (c *checker) hash(pointer, value string) {
	if !hashPattern.MatchString(value) {
		c.add(pointer, "a text of "+strconv.Itoa(len(value))+" bytes", hashExpected)
	}
}

// unique describes a value that stands twice by the text found.
func (c *checker) unique(pointer, value, found string, seen map[string]bool) {
	if seen[value] {
		c.add(pointer, found+" a second time", "a value that differs from the others")
	}
	seen[value] = true
}

func (c *checker) contract(contract *recordv1.Contract) {
	c.match("/customer", contract.GetCustomer(), namePattern, nameExpected)
	c.limit("/limit", contract.GetLimit())
	teams := map[string]bool{}
	tokens := map[string]bool{}
	for i, team := range contract.GetTeams() {
		at := "/teams/" + strconv.Itoa(i)
		c.match(at+"/name", team.GetName(), namePattern, nameExpected)
		c.unique(at+"/name", team.GetName(), strconv.Quote(team.GetName()), teams)
		c.limit(at+"/limit", team.GetLimit())
		for j, token := range team.GetTokens() {
			where := at + "/tokens/" + strconv.Itoa(j)
			c.hash(where, token)
			c.unique(where, token, "the same hash", tokens)
		}
		for j, service := range team.GetServices() {
			c.match(at+"/services/"+strconv.Itoa(j), service, servicePattern, serviceExpected)
		}
	}
}

func (c *checker) limit(pointer string, limit *recordv1.Limit) {
	rate := limit.GetRate()
	// Not-a-number fails every comparison, so the range is tested from inside.
	if inRange := rate >= 0 && rate <= rateLimit; !inRange {
		c.add(pointer+"/rate", strconv.FormatFloat(rate, 'g', -1, 64), "a number from 0 to 1e9")
	}
}

func (c *checker) service(service *recordv1.Service) {
	c.match("/name", service.GetName(), servicePattern, serviceExpected)
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

func (c *checker) approval(approval *recordv1.Approval) {
	c.match("/service", approval.GetService(), servicePattern, serviceExpected)
	c.match("/customer", approval.GetCustomer(), namePattern, nameExpected)
	c.match("/team", approval.GetTeam(), namePattern, nameExpected)
}
