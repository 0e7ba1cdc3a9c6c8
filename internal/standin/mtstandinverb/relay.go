package mtstandinverb

import (
	"io"
	"net/http"

	"github.com/spf13/cobra"
)

// newRelayCommand returns the verb of the naive relay that measurements compare with: it forwards each call and decides
// nothing.
func newRelayCommand(_ *string) *cobra.Command {
	listen, endpoint := "", ""
	command := &cobra.Command{
		Use:   "relay",
		Short: "Forward calls to one endpoint without any decision, as a baseline",
		RunE: func(_ *cobra.Command, _ []string) error {
			return http.ListenAndServe(listen, relay(endpoint))
		},
	}
	command.Flags().StringVar(&listen, "listen", "", "IP number and port to listen at")
	command.Flags().StringVar(&endpoint, "endpoint", "", "IP number and port of the endpoint")
	return command
}

func relay(endpoint string) http.Handler {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 1000,
		DisableCompression:  true,
	}
	return http.HandlerFunc(func(to http.ResponseWriter, request *http.Request) {
		outgoing := request.Clone(request.Context())
		outgoing.RequestURI = ""
		outgoing.URL.Scheme = "http"
		outgoing.URL.Host = endpoint
		response, err := transport.RoundTrip(outgoing)
		if err != nil {
			http.Error(to, "the endpoint is not reached", http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		for name, values := range response.Header {
			to.Header()[name] = values
		}
		to.WriteHeader(response.StatusCode)
		_, _ = io.Copy(to, response.Body)
	})
}
