package mtstandinverb

import (
	"io"
	"net/http"

	"github.com/spf13/cobra"
)

// newRelayCommand returns the command of the naive relay, a proxy without any load balancing that serves as the
// baseline of measurements.
func newRelayCommand(_ *string) *cobra.Command {
	listenAddress, endpointAddress := "", ""
	command := &cobra.Command{
		Use:   "relay",
		Short: "Forward calls to one endpoint without any decision, as a baseline",
		RunE: func(_ *cobra.Command, _ []string) error {
			return http.ListenAndServe(listenAddress, newRelayHandler(endpointAddress))
		},
	}
	command.Flags().StringVar(&listenAddress, "listen", "", "IP number and port to listen at")
	command.Flags().StringVar(&endpointAddress, "endpoint", "", "IP number and port of the endpoint")
	return command
}

// newRelayHandler returns a handler that forwards each request to the endpoint.
func newRelayHandler(endpointAddress string) http.Handler {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 1000,
		DisableCompression:  true,
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		outgoing := request.Clone(request.Context())
		outgoing.RequestURI = ""
		outgoing.URL.Scheme = "http"
		outgoing.URL.Host = endpointAddress
		response, err := transport.RoundTrip(outgoing)
		if err != nil {
			http.Error(writer, "the endpoint is not reached", http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		for name, values := range response.Header {
			writer.Header()[name] = values
		}
		writer.WriteHeader(response.StatusCode)
		_, _ = io.Copy(writer, response.Body)
	})
}
