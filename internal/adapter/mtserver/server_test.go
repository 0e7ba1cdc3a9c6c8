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

// newCertificate returns a self-signed certificate for 127.0.0.1 and its private key in PEM.
func newCertificate(t *testing.T) (certificate, key string) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	certificateDER, err := x509.CreateCertificate(rand.Reader, template, template, &privateKey.PublicKey, privateKey)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(privateKey)
	require.NoError(t, err)
	return string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificateDER})),
		string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}))
}

func TestTLSServerSpeaksHTTP1AndHTTP2AndRejectsPlainText(t *testing.T) {
	certificate, key := newCertificate(t)
	server, err := mtserver.NewServer("127.0.0.1:0", certificate, key,
		http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
			_, _ = io.WriteString(response, request.Proto)
		}))
	require.NoError(t, err)
	go func() {
		_ = server.Serve()
	}()
	defer server.Close()
	roots := x509.NewCertPool()
	require.True(t, roots.AppendCertsFromPEM([]byte(certificate)))
	for _, protocol := range []string{"HTTP/1.1", "HTTP/2.0"} {
		protocols := &http.Protocols{}
		protocols.SetHTTP1(protocol == "HTTP/1.1")
		protocols.SetHTTP2(protocol == "HTTP/2.0")
		client := &http.Client{Transport: &http.Transport{
			TLSClientConfig: &tls.Config{RootCAs: roots},
			Protocols:       protocols,
		}}
		response, err := client.Get("https://" + server.Address())
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, protocol, string(body))
		client.CloseIdleConnections()
	}
	response, err := http.Get("http://" + server.Address())
	if err == nil {
		response.Body.Close()
		require.Equal(t, http.StatusBadRequest, response.StatusCode)
	}
}

func TestInvalidCertificateIsRejectedAndNotQuotedInTheError(t *testing.T) {
	_, err := mtserver.NewServer("127.0.0.1:0", "certificate", "secret", http.NotFoundHandler())
	require.True(t, errorx.IsOfType(err, mtserver.InvalidCertificate))
	require.NotContains(t, err.Error(), "secret")
}
