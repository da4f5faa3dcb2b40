package mirror

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A model's name with separators gave other servers the models of the server that held it.
func TestModelsWithSeparatorsAreNotTakenForOthers(t *testing.T) {
	RegisterTestingT(t)
	sets := modelSets{}
	held := [][]ModelRecord{
		{{Name: "m,n", Adapters: []string{}}},
		{{Name: "m", Adapters: []string{}}, {Name: "n", Adapters: []string{}}},
		{{Name: "m/a", Adapters: []string{}}},
		{{Name: "m", Adapters: []string{"a"}}},
		{{Name: "m", Adapters: []string{"a/b"}}},
		{{Name: "m", Adapters: []string{"a", "b"}}},
		{{Name: "m", Adapters: []string{"a,n"}}},
		{{Name: "m", Adapters: []string{"a"}}, {Name: "n", Adapters: []string{}}},
		{},
	}
	for _, models := range held {
		server := ServerRecord{ID: "i", Models: models}.server(time.Now(), sets)
		Expect(recordOf(server).Models).To(HaveLen(len(models)), "%q", models)
		for i, model := range recordOf(server).Models {
			Expect(model.equal(models[i])).To(BeTrue(), "%q for %q", model, models[i])
		}
	}
}
