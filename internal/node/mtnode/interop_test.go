package mtnode_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/mangotack/mangotack/internal/core/mtrecord"
	"github.com/mangotack/mangotack/internal/core/mtrules"
	samplev1 "github.com/mangotack/mangotack/internal/gen/mangotack/sample/v1"
	"github.com/mangotack/mangotack/internal/gen/mangotack/sample/v1/samplev1connect"
	"github.com/mangotack/mangotack/internal/testkit/mtcluster"
	entryv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

const (
	sampleService       = "mangotack.sample.v1.SampleService"
	teamToken           = "team-token"
	unapprovedTeamToken = "stranger-token"
)

// sampleEndpoint implements the sample service with an unmodified Connect handler.
type sampleEndpoint struct{}

func (sampleEndpoint) Echo(
	_ context.Context, request *connect.Request[samplev1.EchoRequest],
) (*connect.Response[samplev1.EchoResponse], error) {
	if request.Msg.GetText() == "fail" {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("the endpoint's own failure"))
	}
	answer := connect.NewResponse(&samplev1.EchoResponse{Text: request.Msg.GetText()})
	answer.Header().Set("Endpoint-Header", "header")
	answer.Trailer().Set("Endpoint-Trailer", "trailer")
	return answer, nil
}

func (sampleEndpoint) Count(
	_ context.Context,
	request *connect.Request[samplev1.CountRequest],
	stream *connect.ServerStream[samplev1.EchoResponse],
) error {
	for i := range request.Msg.GetNumber() {
		if err := stream.Send(&samplev1.EchoResponse{Text: fmt.Sprint(i)}); err != nil {
			return err
		}
	}
	return nil
}

func (sampleEndpoint) Chat(
	_ context.Context, stream *connect.BidiStream[samplev1.EchoRequest, samplev1.EchoResponse],
) error {
	for {
		request, err := stream.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := stream.Send(&samplev1.EchoResponse{Text: "echo " + request.GetText()}); err != nil {
			return err
		}
	}
}

// newH2CServer runs a server for HTTP/1.1 and unencrypted HTTP/2 and returns its address.
func newH2CServer(t *testing.T, handler http.Handler) string {
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newSampleSite runs two entry instances in front of two sample endpoints. The contract names the team "cooks", but the
// service has not approved it.
func newSampleSite(t *testing.T, limit *recordv1.Limit) *mtcluster.Cluster {
	site := mtcluster.NewCluster(t)
	mux := http.NewServeMux()
	mux.Handle(samplev1connect.NewSampleServiceHandler(sampleEndpoint{}))
	for i := range 2 {
		site.RegisterEndpoint(fmt.Sprint("sample-", i), sampleService, newH2CServer(t, mux))
	}
	site.AddInstance("entry-1")
	site.AddInstance("entry-2")
	site.Publish(sampleRecords(limit)...)
	site.Eventually(func() bool {
		return allNodesServe(site)
	}, "answers through all entry instances")
	return site
}

// allNodesServe reports whether a call through each entry instance succeeds.
func allNodesServe(site *mtcluster.Cluster) bool {
	for _, node := range site.Instances {
		client := samplev1connect.NewSampleServiceClient(http.DefaultClient, "http://"+node.CallsAddress)
		request := connect.NewRequest(&samplev1.EchoRequest{Text: "ready"})
		request.Header().Set("Authorization", "Bearer "+teamToken)
		if _, err := client.Echo(context.Background(), request); err != nil {
			return false
		}
	}
	return true
}

func sampleRecords(limit *recordv1.Limit) []*recordv1.Record {
	newTeam := func(name, token string) *recordv1.Team {
		return &recordv1.Team{
			Name:     name,
			Tokens:   []string{mtrules.HashToken(token)},
			Services: []string{sampleService},
		}
	}
	hosts := newTeam("hosts", teamToken)
	hosts.Limit = limit
	return []*recordv1.Record{
		{Body: &recordv1.Record_Service{Service: &recordv1.Service{
			Name:        sampleService,
			Owners:      []string{mtrules.HashToken(mtcluster.OwnerToken)},
			Protocol:    mtrecord.H2C,
			Slots:       10,
			Connections: 100,
			Idempotent:  []string{"Echo"},
			Timeout:     durationpb.New(10 * time.Second),
		}}},
		{Body: &recordv1.Record_Contract{Contract: &recordv1.Contract{
			Customer: "acme",
			Teams:    []*recordv1.Team{hosts, newTeam("cooks", unapprovedTeamToken)},
		}}},
		{Body: &recordv1.Record_Approval{Approval: &recordv1.Approval{
			Service:  sampleService,
			Customer: "acme",
			Team:     "hosts",
		}}},
	}
}

// newH2CClient returns a client that uses unencrypted HTTP/2 only.
func newH2CClient() *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{
		Transport: &http.Transport{
			Protocols: protocols,
		},
	}
}

func TestUnmodifiedConnectClients(t *testing.T) {
	t.Parallel()
	site := newSampleSite(t, nil)
	url := "http://" + site.Instances[0].CallsAddress
	clients := map[string]samplev1connect.SampleServiceClient{
		"Connect over HTTP/1.1": samplev1connect.NewSampleServiceClient(http.DefaultClient, url),
		"Connect with JSON": samplev1connect.NewSampleServiceClient(
			http.DefaultClient, url, connect.WithProtoJSON()),
		"Connect over HTTP/2": samplev1connect.NewSampleServiceClient(newH2CClient(), url),
		"gRPC with Connect":   samplev1connect.NewSampleServiceClient(newH2CClient(), url, connect.WithGRPC()),
		"gRPC-Web with Connect": samplev1connect.NewSampleServiceClient(
			http.DefaultClient, url, connect.WithGRPCWeb()),
	}
	for name, client := range clients {
		t.Run(name, func(t *testing.T) {
			request := connect.NewRequest(&samplev1.EchoRequest{Text: "hello"})
			request.Header().Set("Authorization", "Bearer "+teamToken)
			answer, err := client.Echo(t.Context(), request)
			require.NoError(t, err)
			require.Equal(t, "hello", answer.Msg.GetText())
			require.Equal(t, "header", answer.Header().Get("Endpoint-Header"))
			require.Equal(t, "trailer", answer.Trailer().Get("Endpoint-Trailer"))

			request.Msg.Text = "fail"
			_, err = client.Echo(t.Context(), request)
			require.Equal(t, connect.CodeFailedPrecondition, connect.CodeOf(err))
			require.ErrorContains(t, err, "the endpoint's own failure")

			countRequest := connect.NewRequest(&samplev1.CountRequest{Number: 5})
			countRequest.Header().Set("Authorization", "Bearer "+teamToken)
			stream, err := client.Count(t.Context(), countRequest)
			require.NoError(t, err)
			for i := range 5 {
				require.True(t, stream.Receive())
				require.Equal(t, fmt.Sprint(i), stream.Msg().GetText())
			}
			require.False(t, stream.Receive())
			require.NoError(t, stream.Err())
			requireRefusal(t, client)
		})
	}
}

// requireRefusal checks that a team without an approval gets a refusal in the protocol of the client.
func requireRefusal(t *testing.T, client samplev1connect.SampleServiceClient) {
	request := connect.NewRequest(&samplev1.EchoRequest{Text: "hello"})
	request.Header().Set("Authorization", "Bearer "+unapprovedTeamToken)
	_, err := client.Echo(t.Context(), request)
	var failure *connect.Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, connect.CodePermissionDenied, failure.Code())
	require.Equal(t, string(mtoutcome.NotRun), failure.Meta().Get(mtoutcome.Header))
	require.Len(t, failure.Details(), 1)
	detail, err := failure.Details()[0].Value()
	require.NoError(t, err)
	require.Equal(t, string(mtoutcome.NotRun), detail.(*entryv1.Refusal).GetOutcome())
}

func TestBidirectionalStream(t *testing.T) {
	t.Parallel()
	site := newSampleSite(t, nil)
	for name, options := range map[string][]connect.ClientOption{"Connect": nil, "gRPC": {connect.WithGRPC()}} {
		t.Run(name, func(t *testing.T) {
			client := samplev1connect.NewSampleServiceClient(newH2CClient(), "http://"+site.Instances[0].CallsAddress, options...)
			stream := client.Chat(t.Context())
			stream.RequestHeader().Set("Authorization", "Bearer "+teamToken)
			for i := range 3 {
				require.NoError(t, stream.Send(&samplev1.EchoRequest{Text: fmt.Sprint(i)}))
				answer, err := stream.Receive()
				require.NoError(t, err)
				require.Equal(t, fmt.Sprint("echo ", i), answer.GetText())
			}
			require.NoError(t, stream.CloseRequest())
			_, err := stream.Receive()
			require.ErrorIs(t, err, io.EOF)
		})
	}
}

func TestUnmodifiedGRPCClient(t *testing.T) {
	t.Parallel()
	site := newSampleSite(t, nil)
	client, err := grpc.NewClient(site.Instances[0].CallsAddress, grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	defer client.Close()
	contextWithToken := func(token string) context.Context {
		return metadata.AppendToOutgoingContext(t.Context(), "authorization", "Bearer "+token)
	}
	require.NotNil(t, encoding.GetCodecV2("proto"))
	answer := &samplev1.EchoResponse{}
	trailer := metadata.MD{}
	require.NoError(t, client.Invoke(contextWithToken(teamToken), "/"+sampleService+"/Echo",
		&samplev1.EchoRequest{Text: "hello"}, answer, grpc.Trailer(&trailer)))
	require.Equal(t, "hello", answer.GetText())
	require.Equal(t, []string{"trailer"}, trailer.Get("endpoint-trailer"))

	header := metadata.MD{}
	err = client.Invoke(contextWithToken(unapprovedTeamToken), "/"+sampleService+"/Echo",
		&samplev1.EchoRequest{Text: "hello"}, answer, grpc.Header(&header), grpc.Trailer(&trailer))
	require.Equal(t, codes.PermissionDenied, status.Code(err))
	require.Equal(t, []string{string(mtoutcome.NotRun)},
		append(header.Get(mtoutcome.Header), trailer.Get(mtoutcome.Header)...))

	stream, err := client.NewStream(
		contextWithToken(teamToken), &grpc.StreamDesc{ServerStreams: true}, "/"+sampleService+"/Count")
	require.NoError(t, err)
	require.NoError(t, stream.SendMsg(&samplev1.CountRequest{Number: 3}))
	require.NoError(t, stream.CloseSend())
	for i := range 3 {
		require.NoError(t, stream.RecvMsg(answer))
		require.Equal(t, fmt.Sprint(i), answer.GetText())
	}
	require.ErrorIs(t, stream.RecvMsg(answer), io.EOF)
}

// Callers without an RPC library get refusals as HTTP status codes, headers and JSON bodies.
func TestPlainHTTPCaller(t *testing.T) {
	t.Parallel()
	site := newSampleSite(t, &recordv1.Limit{Rate: 0.001})
	post := func(token, path, body string) (*http.Response, string) {
		request, err := http.NewRequestWithContext(
			t.Context(), http.MethodPost, "http://"+site.Instances[0].CallsAddress+path, strings.NewReader(body))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+token)
		request.Header.Set("Content-Type", "text/plain")
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response, string(text)
	}
	response, text := post(teamToken, "/"+sampleService+"/Echo", "{}")
	require.Equal(t, http.StatusTooManyRequests, response.StatusCode, "the readiness check has used up the limit")
	require.Equal(t, string(mtoutcome.NotRun), response.Header.Get(mtoutcome.Header))
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Contains(t, text, `"reason":"overlimit"`)

	response, text = post("nobody's", "/"+sampleService+"/Echo", "{}")
	require.Equal(t, http.StatusUnauthorized, response.StatusCode)
	require.NotContains(t, text, "nobody's")
	response, _ = post(unapprovedTeamToken, "/"+sampleService+"/Echo", "{}")
	require.Equal(t, http.StatusForbidden, response.StatusCode)
	response, text = post(teamToken, "/nonsense", "{}")
	require.Equal(t, http.StatusBadRequest, response.StatusCode)
	require.Contains(t, text, "expected /<package.Service>/<Method>")
}
