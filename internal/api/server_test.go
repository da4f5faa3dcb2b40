package api_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/outside"
)

var _ = Describe("Serve", func() {
	DescribeTable("lets requests in progress finish on shutdown", func(ctx SpecContext, withTLS bool) {
		service := newFakeGateway()
		arrived, release := make(chan struct{}), make(chan struct{})
		service.serve = func(_ gateway.Request, responder gateway.Responder, _ <-chan struct{}) {
			responder.Chunk(outside.Chunk{Index: 0, Text: "begin "})
			close(arrived)
			<-release
			responder.Chunk(outside.Chunk{Index: 1, Text: "end"})
			responder.Finish(gateway.Answer{End: outside.GenerateEnd{Chunks: 2}})
		}
		config := testConfig(service)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		options := api.ServeOptions{Grace: time.Minute, Limits: config.Limits}
		client, scheme := http.DefaultClient, "http://"
		if withTLS {
			options.TLS, client = testTLS()
			scheme = "https://"
		}
		serving, stop := context.WithCancel(ctx)
		defer stop()
		served := make(chan error, 1)
		go func() { served <- api.Serve(serving, listener, api.New(config), options) }()

		request, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+listener.Addr().String()+chatPath, strings.NewReader(streamBody))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer "+callerToken)
		response, err := client.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		Eventually(ctx, arrived).Should(BeClosed())
		stop()
		Eventually(ctx, func() error {
			connection, err := net.Dial("tcp", listener.Addr().String())
			if err == nil {
				_ = connection.Close()
			}
			return err
		}).Should(HaveOccurred())
		Expect(served).NotTo(Receive())
		close(release)
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(And(ContainSubstring("begin "), ContainSubstring(`"end"`), HaveSuffix("data: [DONE]\n\n")))
		Eventually(ctx, served).Should(Receive(BeNil()))
	}, Entry("by plain HTTP", false), Entry("by TLS and HTTP/2", true))

	It("answers a request on a keep-alive connection after shutdown has begun", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		serving, stop := context.WithCancel(ctx)
		defer stop()
		served := make(chan error, 1)
		go func() {
			served <- api.Serve(serving, listener, http.NotFoundHandler(), api.ServeOptions{Grace: time.Minute})
		}()
		connection, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = connection.Close() }()
		answers := bufio.NewReader(connection)
		ask := func(header string) {
			GinkgoHelper()
			_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: node\r\n"+header+"\r\n")
			Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(answers, nil)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, response.Body)
			Expect(err).NotTo(HaveOccurred())
		}
		ask("")
		stop()
		ask("Connection: close\r\n")
		Eventually(ctx, served).Should(Receive(BeNil()))
	})

	It("returns an error if the listener fails", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		Expect(api.Serve(ctx, listener, http.NotFoundHandler(), api.ServeOptions{})).NotTo(Succeed())
	})
})

// testTLS returns a server's configuration and a client that trusts it.
func testTLS() (*tls.Config, *http.Client) {
	server := httptest.NewUnstartedServer(nil)
	server.StartTLS()
	certificate := server.TLS.Certificates[0]
	authorities := x509.NewCertPool()
	authorities.AddCert(server.Certificate())
	server.Close()
	client := &http.Client{Transport: &http.Transport{
		TLSClientConfig:   &tls.Config{RootCAs: authorities, ServerName: "example.com", MinVersion: tls.VersionTLS12},
		ForceAttemptHTTP2: true,
	}}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, client
}
