package contract

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
)

// BackEndFault is a fault that a fixture can make.
type BackEndFault string

// The faults of a back end.
const (
	BackEndHealthy BackEndFault = "healthy"
	// BackEndSlow: slower than any deadline of the suite.
	BackEndSlow    BackEndFault = "slow"
	BackEndRefuses BackEndFault = "refuses"
	BackEndLeaves  BackEndFault = "leaving"
	// BackEndLosesAnswer: the request runs and the connection breaks.
	BackEndLosesAnswer BackEndFault = "loses the answer"
	BackEndHangs       BackEndFault = "hangs"
	// BackEndDead: nothing listens at the address.
	BackEndDead BackEndFault = "dead"
	// BackEndUnreliable: refuses and loses answers, each with probability 1/3.
	BackEndUnreliable BackEndFault = "unreliable"
)

// BackEndFixture is one binding with one server behind it.
type BackEndFixture struct {
	Drive
	Service  outside.BackEndService
	Server   outside.ServerID
	SetFault func(fault BackEndFault)
	// Expected is the right answer to a body.
	Expected func(body []byte) []byte
	// Runs counts the runs of an idempotency key in the server's record.
	Runs func(key string) int
	// TimeLimit is short, but long enough for a healthy server.
	TimeLimit time.Duration
}

// backEndOutcome is what a done callback received, and how often.
type backEndOutcome struct {
	response outside.BackEndResponse
	err      error
	calls    int
}

func (f *BackEndFixture) call(request outside.BackEndRequest) backEndOutcome {
	outcome := backEndOutcome{}
	ended := make(chan struct{})
	onStack := true
	f.Service.Call(request, func(response outside.BackEndResponse, err error) {
		outcome.response, outcome.err = response, err
		outcome.calls++
		close(ended)
	})
	onStack = false
	f.Await(ended)
	gomega.Expect(onStack).To(gomega.BeFalse())
	return outcome
}

func (f *BackEndFixture) request(number int) outside.BackEndRequest {
	return outside.BackEndRequest{
		Server:      f.Server,
		Attempt:     outside.AttemptID(fmt.Sprintf("attempt-%d", number)),
		RequestID:   fmt.Sprintf("request-%d", number),
		Key:         fmt.Sprintf("key-%d", number),
		Method:      http.MethodPost,
		Path:        "/seats?round=1",
		ContentType: "application/json",
		Body:        fmt.Appendf(nil, `{"seat":%d}`, number),
		Deadline:    f.Now().Add(f.TimeLimit),
	}
}

// DescribeBackEndService declares the specifications of
// outside.BackEndService for a binding.
func DescribeBackEndService(binding string, setUp func() *BackEndFixture) {
	ginkgo.Describe("BackEndService over "+binding, func() {
		var fixture *BackEndFixture
		ginkgo.BeforeEach(func() { fixture = setUp() })

		ginkgo.It("gives the answer to the request with the attempt's identity", func() {
			for number := range 5 {
				request := fixture.request(number)
				outcome := fixture.call(request)
				gomega.Expect(outcome.err).NotTo(gomega.HaveOccurred())
				gomega.Expect(outcome.response.Attempt).To(gomega.Equal(request.Attempt))
				gomega.Expect(outcome.response.Status).To(gomega.Equal(http.StatusOK))
				gomega.Expect(outcome.response.Body).To(gomega.Equal(fixture.Expected(request.Body)))
				gomega.Expect(fixture.Runs(request.Key)).To(gomega.Equal(1))
			}
		})

		ginkgo.It("runs a request without a body once", func() {
			request := fixture.request(1)
			request.Method = http.MethodGet
			request.Body = nil
			outcome := fixture.call(request)
			gomega.Expect(outcome.err).NotTo(gomega.HaveOccurred())
			gomega.Expect(outcome.response.Body).To(gomega.Equal(fixture.Expected(nil)))
			gomega.Expect(fixture.Runs(request.Key)).To(gomega.Equal(1))
		})

		ginkgo.It("does not hide that a key was run twice", func() {
			request := fixture.request(1)
			fixture.call(request)
			request.Attempt = "another"
			fixture.call(request)
			gomega.Expect(fixture.Runs(request.Key)).To(gomega.Equal(2))
		})

		ginkgo.It("does not send a request whose deadline has passed", func() {
			request := fixture.request(1)
			request.Deadline = fixture.Now().Add(-time.Second)
			expectFailure(fixture.call(request).err, request.Attempt, result.RanNo, "timeout")
			gomega.Expect(fixture.Runs(request.Key)).To(gomega.BeZero())
		})

		ginkgo.It("does not send a request to a server it does not know", func() {
			request := fixture.request(1)
			request.Server = "no-such-server"
			expectFailure(fixture.call(request).err, request.Attempt, result.RanNo, "connection")
		})

		ginkgo.DescribeTable("tells a fault as it is",
			func(fault BackEndFault, ran result.Ran, reason string, runs int) {
				// A pooled connection must not change the outcome.
				warmUp := fixture.request(0)
				gomega.Expect(fixture.call(warmUp).err).NotTo(gomega.HaveOccurred())
				fixture.SetFault(fault)
				request := fixture.request(1)
				expectFailure(fixture.call(request).err, request.Attempt, ran, reason)
				gomega.Expect(fixture.Runs(request.Key)).To(gomega.Equal(runs))
			},
			ginkgo.Entry(nil, BackEndSlow, result.RanUnknown, "timeout", 1),
			ginkgo.Entry(nil, BackEndRefuses, result.RanNo, "refused", 0),
			ginkgo.Entry(nil, BackEndLeaves, result.RanNo, "leaving", 0),
			ginkgo.Entry(nil, BackEndLosesAnswer, result.RanUnknown, "connection", 1),
			ginkgo.Entry(nil, BackEndHangs, result.RanUnknown, "timeout", 1),
			ginkgo.Entry(nil, BackEndDead, result.RanNo, "connection", 0),
		)

		ginkgo.It("does not repeat a request without a body when the connection breaks", func() {
			gomega.Expect(fixture.call(fixture.request(0)).err).NotTo(gomega.HaveOccurred())
			fixture.SetFault(BackEndLosesAnswer)
			request := fixture.request(1)
			request.Method = http.MethodGet
			request.Body = nil
			expectFailure(fixture.call(request).err, request.Attempt, result.RanUnknown, "connection")
			gomega.Expect(fixture.Runs(request.Key)).To(gomega.Equal(1))
		})

		ginkgo.It("never runs an attempt twice, nor one that it reports as not run", func() {
			fixture.SetFault(BackEndUnreliable)
			for number := range 100 {
				request := fixture.request(number)
				outcome := fixture.call(request)
				runs := fixture.Runs(request.Key)
				gomega.Expect(runs).To(gomega.BeNumerically("<=", 1))
				failure := &outside.AttemptError{}
				if !errors.As(outcome.err, &failure) {
					gomega.Expect(runs).To(gomega.Equal(1))
				} else if failure.Ran == result.RanNo {
					gomega.Expect(runs).To(gomega.BeZero())
				}
			}
		})
	})
}

func expectFailure(err error, attempt outside.AttemptID, ran result.Ran, reason string) {
	ginkgo.GinkgoHelper()
	failure := &outside.AttemptError{}
	gomega.Expect(errors.As(err, &failure)).To(gomega.BeTrue(), "error: %v", err)
	gomega.Expect(failure.Attempt).To(gomega.Equal(attempt))
	gomega.Expect(failure.Ran.String()).To(gomega.Equal(ran.String()), "reason: %s", failure.Reason)
	gomega.Expect(failure.Reason).To(gomega.Equal(reason))
}
