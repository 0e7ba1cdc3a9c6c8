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
	"github.com/mangotack/mangotack/internal/testkit/mtsite"
	"github.com/mangotack/mangotack/internal/verb/mtoperator"
	"github.com/mangotack/mangotack/internal/verb/mtverb"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// session plays what operators and callers of one deployment do and writes down what each is told.
type session struct {
	t          *testing.T
	site       *mtsite.Site
	deployment string
	prefix     string
	pools      []*settingsv1.Pool
	loads      []*settingsv1.Load
	text       bytes.Buffer
}

func TestGoldenSessions(t *testing.T) {
	t.Chdir(root)
	for deployment, prefix := range map[string]string{"ke-central": "ke", "ie-south": "ie"} {
		t.Run(deployment, func(t *testing.T) {
			s := newSession(t, deployment, prefix)
			s.play()
			compare(t, filepath.Join("internal/verb/mtverb/testdata", deployment+".session"), s.text.Bytes())
		})
	}
}

func newSession(t *testing.T, deployment, prefix string) *session {
	settings := &settingsv1.Standin{}
	require.Empty(t, mtdocument.Load(filepath.Join("examples", deployment, "standin.json"), mtdocument.Standin, settings))
	s := &session{
		t:          t,
		site:       mtsite.NewSite(t, mtsite.WithOperator(prefix+"-operator-token")),
		deployment: deployment,
		prefix:     prefix,
		pools:      settings.GetPools(),
		loads:      settings.GetLoads(),
	}
	for _, pool := range s.pools {
		server := httptest.NewUnstartedServer(http.HandlerFunc(answer))
		server.Config.Protocols = &http.Protocols{}
		server.Config.Protocols.SetHTTP1(true)
		server.Config.Protocols.SetUnencryptedHTTP2(true)
		server.Start()
		t.Cleanup(server.Close)
		s.site.AddEndpoint(pool.GetName()+"-01", pool.GetService(), strings.TrimPrefix(server.URL, "http://"))
	}
	s.site.AddNode("entry-1")
	s.site.AddNode("entry-2")
	s.site.Eventually(func() bool {
		status, err := s.site.Operator(s.operator()).Status(t.Context())
		return err == nil && status.GetReady() && len(status.GetInstances()) == 2
	}, "two instances that know each other")
	return s
}

func (s *session) operator() string { return s.prefix + "-operator-token" }
func (s *session) owner() string    { return s.prefix + "-owner-token" }

func answer(to http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	_, _ = fmt.Fprintf(to, "%s/%s was answered: %s", request.Header.Get(mtcall.CustomerHeader), request.Header.Get(mtcall.TeamHeader), body)
}

// play is the whole session; each step is one line of a reader's story.
func (s *session) play() {
	example := func(file string) string { return filepath.Join("examples", s.deployment, file) }
	s.title("a caller comes before any contract")
	s.call(0, "entry-1", "")
	s.title("the operator publishes services and contracts; no owner has approved a team yet")
	s.verb(s.operator(), "publish", example("services.json"), example("contracts.json"))
	s.call(0, "entry-1", "")
	s.title("an operator can't approve in an owner's place, the owner can")
	s.verb(s.operator(), "publish", example("approvals.json"))
	s.verb(s.owner(), "publish", "--wait", example("approvals.json"))
	s.site.Eventually(s.hasEndpoints, "endpoints at both instances")
	s.call(0, "entry-1", "")
	s.call(0, "entry-2", "")
	s.title("publishing again changes nothing, an amendment does; an operator who has not seen it is refused")
	s.verb(s.operator(), "publish", example("contracts.json"))
	s.verb(s.operator(), "publish", example("amended.json"))
	s.verb(s.operator(), "amend", "--version", "1", "--wait", example("amended.json"))
	s.verb(s.operator(), "amend", "--version", "1", example("contracts.json"))
	s.verb(s.operator(), "amend", "--version", "1", example("amended.json"))
	s.title("two operators amend the same version at the same moment; one is told that it lost")
	s.race()
	s.title("a call that must run once is sent again to another instance")
	s.resend()
	s.title("the log is out: calls go on, changes do not")
	s.site.Log.SetFaults(true, 0, false)
	s.call(0, "entry-2", "")
	s.verb(s.operator(), "mark", "--leaving", s.pools[0].GetName()+"-01")
	s.site.Log.SetFaults(false, 0, false)
	s.title("the log is back; the answer of an append is lost, the change counts once")
	s.site.Log.SetFaults(false, 0, true)
	s.verb(s.operator(), "mark", "--leaving", "--wait", s.pools[0].GetName()+"-01")
	s.site.Log.SetFaults(false, 0, false)
	s.title("the only endpoint of the service leaves, so its calls end unrun")
	s.call(0, "entry-1", "")
	s.title("the changes in force")
	s.verb(s.operator(), "log")
}

func (s *session) title(text string) {
	fmt.Fprintf(&s.text, "\n# %s\n", text)
}

var (
	timePattern = regexp.MustCompile(`\b[0-9.]+(ms|s|µs)\b`)
	idPattern   = regexp.MustCompile(`\b[a-z2-7]{26}\b`)
)

// say writes down a text without what differs from run to run.
func (s *session) say(text string) {
	for _, node := range s.site.Nodes {
		text = strings.ReplaceAll(text, node.Control, node.Name+"-control")
		text = strings.ReplaceAll(text, node.Calls, node.Name+"-calls")
	}
	text = timePattern.ReplaceAllString(text, "TIME")
	text = idPattern.ReplaceAllString(text, "ID")
	s.text.WriteString(text)
}

func (s *session) verb(token, name string, arguments ...string) {
	s.t.Setenv("MANGOTACK_TOKEN", token)
	line := append([]string{name, "--entry", s.site.Nodes[0].Control}, arguments...)
	s.say("$ mangotack " + strings.Join(line, " ") + "\n")
	var stdout, stderr bytes.Buffer
	code := mtverb.Run(line, &stdout, &stderr)
	for text := range strings.Lines(stdout.String()) {
		if !strings.HasPrefix(text, "in force on") {
			s.say(text)
		}
	}
	s.say(stderr.String())
	fmt.Fprintf(&s.text, "exit %d\n", code)
}

func (s *session) send(load *settingsv1.Load, entry, key string) (*http.Response, string) {
	ctx, cancel := context.WithTimeout(s.t.Context(), 10*time.Second)
	defer cancel()
	for _, node := range s.site.Nodes {
		if node.Name != entry {
			continue
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.Calls+"/"+load.GetService()+"/"+load.GetMethod(), strings.NewReader("7"))
		require.NoError(s.t, err)
		request.Header.Set("Authorization", "Bearer "+load.GetToken())
		request.Header.Set("Connect-Timeout-Ms", "2000")
		if key != "" {
			request.Header.Set(mtcall.KeyHeader, key)
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

func (s *session) call(load int, entry, key string) {
	response, body := s.send(s.loads[load], entry, key)
	s.say(fmt.Sprintf("call of %s/%s to %s through %s: %d %s %s\n", s.loads[load].GetCustomer(), s.loads[load].GetTeam(),
		s.loads[load].GetService(), entry, response.StatusCode, response.Header.Get(mtoutcome.Header), strings.TrimSpace(body)))
}

func (s *session) hasEndpoints() bool {
	for _, load := range s.loads {
		for _, node := range s.site.Nodes {
			if response, _ := s.send(load, node.Name, ""); response.StatusCode != http.StatusOK {
				return false
			}
		}
	}
	return true
}

// race publishes two amendments of the same version.
func (s *session) race() {
	client := s.site.Operator(s.operator())
	status, err := client.Status(s.t.Context())
	require.NoError(s.t, err)
	records, findings := mtoperator.LoadBundle(filepath.Join("examples", s.deployment, "amended.json"))
	require.Empty(s.t, findings)
	for i, name := range []string{"first", "second"} {
		record := records[0]
		record.GetContract().GetLimit().Concurrency = uint32(700 + i)
		client.Complete(record, status.GetVersions())
		response, err := client.Publish(s.t.Context(), record)
		if err != nil {
			s.say(fmt.Sprintf("%s operator: %v\n", name, err))
			continue
		}
		s.say(fmt.Sprintf("%s operator: accepted %t, version %d\n", name, response.GetAccepted(), response.GetVersion()))
	}
}

// resend sends a key to its home, then again to the home and to another instance.
func (s *session) resend() {
	for i, load := range s.loads {
		if !load.GetOnce() {
			continue
		}
		key := s.ticket(load) + "-deposit-7"
		for _, entry := range []string{"entry-1", "entry-1", "entry-2"} {
			s.call(i, entry, key)
		}
		return
	}
}

// ticket returns the ticket of entry-1, as Resolve gives it.
func (s *session) ticket(load *settingsv1.Load) string {
	s.t.Setenv("MANGOTACK_TOKEN", load.GetToken())
	var stdout, stderr bytes.Buffer
	require.Zero(s.t, mtverb.Run([]string{"resolve", "--entry", s.site.Nodes[0].Calls, load.GetService()}, &stdout, &stderr), stderr.String())
	for line := range strings.Lines(stdout.String()) {
		if fields := strings.Fields(line); len(fields) == 4 && fields[0] == "entry-1" {
			return fields[3]
		}
	}
	require.FailNow(s.t, "no ticket of entry-1 in "+stdout.String())
	return ""
}
