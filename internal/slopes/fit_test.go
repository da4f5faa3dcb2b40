package slopes_test

import (
	"math"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/slopes"
)

var _ = Describe("FitLine", func() {
	It("finds an exact line and extrapolates it", func() {
		line := slopes.FitLine([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 11})
		Expect(line.Slope).To(BeNumerically("~", 2, 1e-9))
		Expect(line.Intercept).To(BeNumerically("~", 3, 1e-9))
		Expect(line.SlopeError).To(BeNumerically("~", 0, 1e-6))
		Expect(line.At(100)).To(BeNumerically("~", 203, 1e-6))
	})

	It("is level through a single point", func() {
		Expect(slopes.FitLine([]float64{1}, []float64{7}).At(5)).To(Equal(7.0))
	})

	It("knows no interval of two points", func() {
		line := slopes.FitLine([]float64{1, 2}, []float64{1, 2})
		Expect(math.IsInf(line.SlopeError, 1)).To(BeTrue())
		Expect(math.IsInf(line.ErrorAt(3), 1)).To(BeTrue())
	})

	It("gives the interval of a worked example", func() {
		// Deviations 1, -1, -1, 1 from y = x: residual 2/sqrt(2), sum of
		// squares of x 5, quantile of Student's t with 2 degrees 4.30265.
		line := slopes.FitLine([]float64{0, 1, 2, 3}, []float64{1, 0, 1, 4})
		Expect(line.Slope).To(BeNumerically("~", 1, 1e-9))
		Expect(line.SlopeError).To(BeNumerically("~", 4.30265*math.Sqrt2/math.Sqrt(5), 1e-3))
	})

	It("covers the true slope in about 95 of 100 noisy samples", func() {
		random := rand.New(rand.NewPCG(1, 2))
		const trials = 400
		covered := 0
		for range trials {
			var x, y []float64
			for i := range 8 {
				x = append(x, float64(i))
				y = append(y, 3*float64(i)+random.NormFloat64())
			}
			line := slopes.FitLine(x, y)
			if math.Abs(line.Slope-3) <= line.SlopeError {
				covered++
			}
		}
		Expect(covered).To(BeNumerically("~", 0.95*trials, 0.04*trials))
	})
})
