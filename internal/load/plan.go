package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// plannedRequest is one request of the plan. Its body and key are decided by
// the seed and its number.
type plannedRequest struct {
	number int
	// at is the time of sending, from the start of the run.
	at time.Duration
	// path at the gateway.
	path     string
	body     []byte
	streamed bool
	// key of a non-repeatable request; empty: repeatable.
	key string
	// firstNode is the index of the node to try first.
	firstNode int
}

func (p plannedRequest) isGeneration() bool { return p.key == "" }

// plan yields the requests of a run in order of time, with exponential gaps:
// arrivals do not wait for answers.
type plan struct {
	options  Options
	random   *rand.Rand
	elapsed  time.Duration
	number   int
	models   picker
	pools    picker
	contents string
}

func newPlan(options Options) *plan {
	p := &plan{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
	}
	for _, model := range options.Workload.Models {
		p.models.add(model.Weight)
	}
	for _, pool := range options.Workload.Pools {
		p.pools.add(pool.Weight)
	}
	return p
}

// next returns the next request; false after the run's time or count.
func (p *plan) next() (plannedRequest, bool) {
	gap := p.random.ExpFloat64() / p.options.Rate
	p.elapsed += time.Duration(gap * float64(time.Second))
	if p.elapsed >= p.options.Duration || p.number >= p.options.MaxRequests {
		return plannedRequest{}, false
	}
	request := plannedRequest{number: p.number, at: p.elapsed, firstNode: p.random.IntN(len(p.options.Nodes))}
	p.number++
	if p.random.Float64() < p.options.Workload.NonRepeatable {
		p.fillPoolRequest(&request)
	} else {
		p.fillGeneration(&request)
	}
	return request, true
}

func (p *plan) fillPoolRequest(request *plannedRequest) {
	pool := p.options.Workload.Pools[p.pools.pick(p.random)]
	request.path = "/v1/backends/" + pool.Name + pool.Path
	request.key = fmt.Sprintf("load-%s-%d", p.options.RunID, request.number)
	request.body = fmt.Appendf(nil, `{"confirmation":"%s"}`, request.key)
}

// generationBody is the body sent; its order of fields is fixed.
type generationBody struct {
	Model     string              `json:"model"`
	Stream    bool                `json:"stream,omitempty"`
	MaxTokens int                 `json:"max_tokens"`
	Messages  []generationMessage `json:"messages"`
}

type generationMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (p *plan) fillGeneration(request *plannedRequest) {
	model := p.options.Workload.Models[p.models.pick(p.random)]
	request.path = chatPath
	request.streamed = p.random.Float64() < p.options.Workload.Streamed
	// A struct of words and numbers can't fail to be encoded.
	request.body, _ = json.Marshal(generationBody{
		Model:     model.Name,
		Stream:    request.streamed,
		MaxTokens: model.MaxTokens,
		Messages:  []generationMessage{{Role: "user", Content: p.prompt(request.number, model.PromptBytes)}},
	})
}

// prompt starts alike for all requests, as those of one application do, and
// ends in the request's own number.
func (p *plan) prompt(number, length int) string {
	if len(p.contents) < length {
		p.contents = strings.Repeat("Read the dossier and draft a reply. ", length/36+1)
	}
	return fmt.Sprintf("%s #%s-%d", p.contents[:length], p.options.RunID, number)
}

// picker draws indexes by weight.
type picker struct {
	cumulated []int
}

func (p *picker) add(weight int) {
	total := weight
	if count := len(p.cumulated); count > 0 {
		total += p.cumulated[count-1]
	}
	p.cumulated = append(p.cumulated, total)
}

func (p *picker) pick(random *rand.Rand) int {
	drawn := random.IntN(p.cumulated[len(p.cumulated)-1])
	for index, upper := range p.cumulated {
		if drawn < upper {
			return index
		}
	}
	return len(p.cumulated) - 1
}
