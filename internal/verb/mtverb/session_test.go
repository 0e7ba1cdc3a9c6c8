package mtverb_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/adapter/mtdocument"
	"github.com/mangotack/mangotack/internal/core/mtcall"
	settingsv1 "github.com/mangotack/mangotack/internal/gen/mangotack/settings/v1"
	"github.com/mangotack/mangotack/internal/testkit/mtcluster"
	"github.com/mangotack/mangotack/internal/verb/mtoperator"
	"github.com/mangotack/mangotack/internal/verb/mtverb"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// session runs the commands of operators and the calls of callers against one deployment and records their output.
type session struct {
	t           *testing.T
	site        *mtcluster.Cluster
	deployment  string
	tokenPrefix string
	pools       []*settingsv1.Pool
	loads       []*settingsv1.Load
	transcript  bytes.Buffer
}

func TestGoldenSessions(t *testing.T) {
	t.Chdir(repositoryRoot)
	for deployment, tokenPrefix := range map[string]string{"ke-central": "ke", "ie-south": "ie"} {
		t.Run(deployment, func(t *testing.T) {
			s := newSession(t, deployment, tokenPrefix)
			s.run()
			requireGolden(t, filepath.Join("internal/verb/mtverb/testdata", deployment+".session"),
				s.transcript.Bytes())
		})
	}
}

func newSession(t *testing.T, deployment, tokenPrefix string) *session {
	settings := &settingsv1.Standin{}
	require.Empty(t, mtdocument.LoadFile(
		filepath.Join("examples", deployment, "standin.json"), mtdocument.Standin, settings))
	s := &session{
		t:           t,
		site:        mtcluster.NewCluster(t, mtcluster.WithOperatorToken(tokenPrefix+"-operator-token")),
		deployment:  deployment,
		tokenPrefix: tokenPrefix,
		pools:       settings.GetPools(),
		loads:       settings.GetLoads(),
	}
	for _, pool := range s.pools {
		server := httptest.NewUnstartedServer(http.HandlerFunc(serveEcho))
		server.Config.Protocols = &http.Protocols{}
		server.Config.Protocols.SetHTTP1(true)
		server.Config.Protocols.SetUnencryptedHTTP2(true)
		server.Start()
		t.Cleanup(server.Close)
		s.site.RegisterEndpoint(pool.GetName()+"-01", pool.GetService(), strings.TrimPrefix(server.URL, "http://"))
	}
	s.site.AddInstance("entry-1")
	s.site.AddInstance("entry-2")
	s.site.Eventually(func() bool {
		status, err := s.site.OperatorClient(s.operatorToken()).Status(t.Context())
		return err == nil && status.GetReady() && len(status.GetInstances()) == 2
	}, "two instances that know each other")
	return s
}

func (s *session) operatorToken() string { return s.tokenPrefix + "-operator-token" }
func (s *session) ownerToken() string    { return s.tokenPrefix + "-owner-token" }

// serveEcho answers with the customer and team of the caller and the body of the request.
func serveEcho(to http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	_, _ = fmt.Fprintf(to, "%s/%s was answered: %s",
		request.Header.Get(mtcall.CustomerHeader), request.Header.Get(mtcall.TeamHeader), body)
}

// run runs the whole session. Each heading describes the step below it to a reader of the transcript.
func (s *session) run() {
	examplePath := func(file string) string { return filepath.Join("examples", s.deployment, file) }
	s.heading("a caller comes before any contract")
	s.call(0, "entry-1", "")
	s.heading("the operator publishes services and contracts; no owner has approved a team yet")
	s.runVerb(s.operatorToken(), "publish", examplePath("services.json"), examplePath("contracts.json"))
	s.call(0, "entry-1", "")
	s.heading("an operator can't approve in an owner's place, the owner can")
	s.runVerb(s.operatorToken(), "publish", examplePath("approvals.json"))
	s.runVerb(s.ownerToken(), "publish", "--wait", examplePath("approvals.json"))
	s.site.Eventually(s.hasEndpoints, "endpoints at both instances")
	s.call(0, "entry-1", "")
	s.call(0, "entry-2", "")
	s.heading("publishing again changes nothing, an amendment does; an operator who has not seen it is refused")
	s.runVerb(s.operatorToken(), "publish", examplePath("contracts.json"))
	s.runVerb(s.operatorToken(), "publish", examplePath("amended.json"))
	s.runVerb(s.operatorToken(), "amend", "--version", "1", "--wait", examplePath("amended.json"))
	s.runVerb(s.operatorToken(), "amend", "--version", "1", examplePath("contracts.json"))
	s.runVerb(s.operatorToken(), "amend", "--version", "1", examplePath("amended.json"))
	s.heading("two operators amend the same version at the same moment; one is told that it lost")
	s.publishConflictingAmendments()
	s.heading("a call that must run once is sent again to another instance")
	s.resendOnceCall()
	s.heading("the log is out: calls go on, changes do not")
	s.site.Log.SetFaults(true, 0, false)
	s.call(0, "entry-2", "")
	s.runVerb(s.operatorToken(), "mark", "--leaving", s.pools[0].GetName()+"-01")
	s.site.Log.SetFaults(false, 0, false)
	s.heading("the log is back; the answer of an append is lost, the change counts once")
	s.site.Log.SetFaults(false, 0, true)
	s.runVerb(s.operatorToken(), "mark", "--leaving", "--wait", s.pools[0].GetName()+"-01")
	s.site.Log.SetFaults(false, 0, false)
	s.heading("the only endpoint of the service leaves, so its calls end unrun")
	s.call(0, "entry-1", "")
	s.heading("the changes in force")
	s.runVerb(s.operatorToken(), "log")
}

func (s *session) heading(text string) {
	fmt.Fprintf(&s.transcript, "\n# %s\n", text)
}

var (
	timePattern = regexp.MustCompile(`\b[0-9.]+(ms|s|µs)\b`)
	idPattern   = regexp.MustCompile(`\b[a-z2-7]{26}\b`)
)

// record appends a text to the transcript and replaces the addresses, times and ids, which differ from run to run.
func (s *session) record(text string) {
	for _, node := range s.site.Instances {
		text = strings.ReplaceAll(text, node.ControlAddress, node.Name+"-control")
		text = strings.ReplaceAll(text, node.CallsAddress, node.Name+"-calls")
	}
	text = timePattern.ReplaceAllString(text, "TIME")
	text = idPattern.ReplaceAllString(text, "ID")
	s.transcript.WriteString(text)
}

// runVerb runs a verb with a token at the first instance's control address and records the command line, the output and
// the exit code. It leaves out the progress of --wait, which differs from run to run.
func (s *session) runVerb(token, name string, arguments ...string) {
	s.t.Setenv("MANGOTACK_TOKEN", token)
	line := append([]string{name, "--entry", s.site.Instances[0].ControlAddress}, arguments...)
	s.record("$ mangotack " + strings.Join(line, " ") + "\n")
	var stdout, stderr bytes.Buffer
	code := mtverb.Run(line, &stdout, &stderr)
	for text := range strings.Lines(stdout.String()) {
		if !strings.HasPrefix(text, "in force on") {
			s.record(text)
		}
	}
	s.record(stderr.String())
	fmt.Fprintf(&s.transcript, "exit %d\n", code)
}

// send sends a call of a load to an entry instance, with a key unless it is empty, and returns the response and its
// body.
func (s *session) send(load *settingsv1.Load, entry, key string) (*http.Response, string) {
	ctx, cancel := context.WithTimeout(s.t.Context(), 10*time.Second)
	defer cancel()
	for _, node := range s.site.Instances {
		if node.Name != entry {
			continue
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost,
			"http://"+node.CallsAddress+"/"+load.GetService()+"/"+load.GetMethod(), strings.NewReader("7"))
		require.NoError(s.t, err)
		request.Header.Set("Authorization", "Bearer "+load.GetToken())
		request.Header.Set("Connect-Timeout-Ms", "2000")
		if key != "" {
			request.Header.Set(mtcall.IdempotencyKeyHeader, key)
		}
		response, err := http.DefaultClient.Do(request)
		require.NoError(s.t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(s.t, err)
		return response, string(body)
	}
	require.FailNow(s.t, "no such entry instance")
	return nil, ""
}

// call sends a call of the load with an index and records the response.
func (s *session) call(loadIndex int, entry, key string) {
	response, body := s.send(s.loads[loadIndex], entry, key)
	s.record(fmt.Sprintf("call of %s/%s to %s through %s: %d %s %s\n",
		s.loads[loadIndex].GetCustomer(), s.loads[loadIndex].GetTeam(),
		s.loads[loadIndex].GetService(), entry, response.StatusCode,
		response.Header.Get(mtoutcome.Header), strings.TrimSpace(body)))
}

// hasEndpoints reports whether both instances answer a call of each load with status 200.
func (s *session) hasEndpoints() bool {
	for _, load := range s.loads {
		for _, node := range s.site.Instances {
			if response, _ := s.send(load, node.Name, ""); response.StatusCode != http.StatusOK {
				return false
			}
		}
	}
	return true
}

// publishConflictingAmendments publishes two amendments of the same version; the second must be refused.
func (s *session) publishConflictingAmendments() {
	client := s.site.OperatorClient(s.operatorToken())
	status, err := client.Status(s.t.Context())
	require.NoError(s.t, err)
	records, findings := mtoperator.LoadBundle(filepath.Join("examples", s.deployment, "amended.json"))
	require.Empty(s.t, findings)
	for i, name := range []string{"first", "second"} {
		record := records[0]
		record.GetContract().GetLimit().Concurrency = uint32(700 + i)
		client.PrepareRecord(record, status.GetVersions())
		response, err := client.Publish(s.t.Context(), record)
		if err != nil {
			s.record(fmt.Sprintf("%s operator: %v\n", name, err))
			continue
		}
		s.record(fmt.Sprintf("%s operator: accepted %t, version %d\n",
			name, response.GetAccepted(), response.GetVersion()))
	}
}

// resendOnceCall sends a call that must run at most once to the instance that issued its key's ticket, then sends it
// again with the same key to that instance and to another one.
func (s *session) resendOnceCall() {
	for i, load := range s.loads {
		if !load.GetOnce() {
			continue
		}
		key := s.resolveTicket(load) + "-deposit-7"
		for _, entry := range []string{"entry-1", "entry-1", "entry-2"} {
			s.call(i, entry, key)
		}
		return
	}
}

// resolveTicket returns the ticket that Resolve gives for entry-1.
func (s *session) resolveTicket(load *settingsv1.Load) string {
	s.t.Setenv("MANGOTACK_TOKEN", load.GetToken())
	var stdout, stderr bytes.Buffer
	require.Zero(s.t, mtverb.Run([]string{"resolve", "--entry", s.site.Instances[0].CallsAddress, load.GetService()},
		&stdout, &stderr), stderr.String())
	for line := range strings.Lines(stdout.String()) {
		if fields := strings.Fields(line); len(fields) == 4 && fields[0] == "entry-1" {
			return fields[3]
		}
	}
	require.FailNow(s.t, "no ticket of entry-1 in "+stdout.String())
	return ""
}
