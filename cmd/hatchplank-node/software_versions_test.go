package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/platform/standin"
)

// resume resumes a stream at a node and returns the status; 0 if there was no response.
func resume(node, stream string) int {
	request, err := http.NewRequest(http.MethodPost, node+"/s/x", strings.NewReader("body"))
	Expect(err).NotTo(HaveOccurred())
	request.Host = "h.example"
	for name, value := range map[string]string{
		"Hatchplank-Request-Id": "resumption of " + stream, "Hatchplank-Model": "a", "Last-Event-Id": "1", "Resumes": stream,
	} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// savedVersions returns the record of the pools' software versions.
func (d *deployment) savedVersions() string {
	saved := d.store.Range(versionsKey)
	if len(saved.KeyValues) == 0 {
		return ""
	}
	return string(saved.KeyValues[0].Value)
}

// release replaces the servers of the pool llm by one with the software version, which holds the model a.
func (d *deployment) release(t *testing.T, version string) {
	engine := standin.NewEngine("i-"+version, "a")
	engine.Software = version
	d.add(t, engine, "llm")
	for _, old := range d.engines {
		if old != engine && old.ID != "i-9" {
			d.remove(standin.ServerKey(old.ID))
		}
	}
}

// Guards against streams that go on at another software version after a loss of all nodes: none of them
// remembers that the pool has had two. While it has had one, streams go on.
func TestNodesKnowThePoolsVersionsAfterALossOfAll(t *testing.T) {
	RegisterTestingT(t)
	d := newDeployment(t)
	d.release(t, "v1")
	var stops []func()
	startAll := func() (urls []string) {
		for _, name := range []string{"x", "y"} {
			url, stop := d.start(t, name)
			urls, stops = append(urls, url), append(stops, stop)
		}
		for _, url := range urls {
			Eventually(func() int { return standin.Post(url, "/s/x", "a") }, "30s").Should(Equal(http.StatusOK))
		}
		return urls
	}
	stopAll := func() {
		for _, stop := range stops {
			stop()
		}
		stops = nil
	}
	startAll()
	Eventually(d.savedVersions, "30s").Should(ContainSubstring(`["v1"]`))
	stopAll()
	for number, url := range startAll() {
		Eventually(func() int { return resume(url, fmt.Sprint("earlier ", number)) }, "10s").Should(Equal(http.StatusOK))
	}
	d.release(t, "v2")
	Eventually(d.savedVersions, "30s").Should(ContainSubstring(`["v1","v2"]`))
	stopAll()
	for number, url := range startAll() {
		for range 5 {
			Expect(resume(url, fmt.Sprint("earlier ", number))).To(Equal(http.StatusServiceUnavailable))
		}
	}
}
