package mtserver_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/adapter/mtserver"
)

// newPair returns a certificate for 127.0.0.1 and its key as PEM texts.
func newPair(t *testing.T) (certificate, key string) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	require.NoError(t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	require.NoError(t, err)
	return string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})),
		string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}))
}

func TestTLSServesBothVersionsOfHTTPAndNoPlainText(t *testing.T) {
	certificate, key := newPair(t)
	server, err := mtserver.NewServer("127.0.0.1:0", certificate, key, http.HandlerFunc(func(to http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(to, request.Proto)
	}))
	require.NoError(t, err)
	go func() {
		_ = server.Serve()
	}()
	defer server.Close()
	roots := x509.NewCertPool()
	require.True(t, roots.AppendCertsFromPEM([]byte(certificate)))
	for _, expected := range []string{"HTTP/1.1", "HTTP/2.0"} {
		protocols := &http.Protocols{}
		protocols.SetHTTP1(expected == "HTTP/1.1")
		protocols.SetHTTP2(expected == "HTTP/2.0")
		client := &http.Client{Transport: &http.Transport{
			TLSClientConfig: &tls.Config{RootCAs: roots},
			Protocols:       protocols,
		}}
		response, err := client.Get("https://" + server.Address())
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, expected, string(text))
		client.CloseIdleConnections()
	}
	response, err := http.Get("http://" + server.Address())
	if err == nil {
		response.Body.Close()
		require.Equal(t, http.StatusBadRequest, response.StatusCode)
	}
}

func TestBrokenCertificateIsRefusedAndNotQuoted(t *testing.T) {
	_, err := mtserver.NewServer("127.0.0.1:0", "certificate", "secret", http.NotFoundHandler())
	require.True(t, errorx.IsOfType(err, mtserver.Certificate))
	require.NotContains(t, err.Error(), "secret")
}
