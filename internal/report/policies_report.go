package report

import (
	"bytes"
	"encoding/base64"
	"html/template"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"github.com/hatchplank/hatchplank/internal/emulator"
)

// reportMode of the files written.
const reportMode = 0o644

// plotResolution in dots per inch.
const plotResolution = 110

// policyPage is a page without references to other files.
var policyPage = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Placement policies: {{.Deployment}}</title>
<style>
body { font-family: sans-serif; margin: 2em auto; max-width: 70em; padding: 0 1em; }
pre { overflow-x: auto; font-size: 85%; }
img { max-width: 100%; }
figcaption { margin-bottom: 2em; }
</style>
</head>
<body>
<h1>Placement policies: {{.Deployment}}</h1>
<p>Means over {{.Seeds}} seeds, with half widths of 95&nbsp;% confidence intervals.
The product is <b>{{.Product}}</b>.</p>
<pre>{{.Table}}</pre>
{{range .Figures}}<figure>
<img alt="{{.Caption}}" src="{{.Image}}">
<figcaption>{{.Caption}}</figcaption>
</figure>
{{end}}</body>
</html>
`))

type pageData struct {
	Deployment, Product, Table string
	Seeds                      int
	Figures                    []pageFigure
}

// pageFigure is a plot whose image is a data URL of this package's making.
type pageFigure struct {
	Caption string
	Image   template.URL
}

// WritePolicyReport writes plots as PNG files and a self-contained page into a
// directory, which is made if need be.
func WritePolicyReport(directory, deployment string, outcomes []emulator.PolicyOutcome, product string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	plots, err := policyPlots(outcomes, product)
	if err != nil {
		return err
	}
	var table strings.Builder
	if err := WritePolicyTable(&table, outcomes); err != nil {
		return err
	}
	data := pageData{Deployment: deployment, Product: product, Table: table.String(), Seeds: len(outcomes[0].Figures)}
	for _, drawn := range plots {
		image, err := pngOf(drawn)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(directory, deployment+"-"+drawn.name+".png"), image, reportMode); err != nil {
			return err
		}
		data.Figures = append(data.Figures, pageFigure{
			Caption: drawn.caption,
			Image:   template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(image)),
		})
	}
	var page bytes.Buffer
	if err := policyPage.Execute(&page, data); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, deployment+"-policies.html"), page.Bytes(), reportMode)
}

// pngOf renders a plot.
func pngOf(drawn namedPlot) ([]byte, error) {
	canvas := vgimg.NewWith(vgimg.UseWH(plotWidth, plotHeight), vgimg.UseDPI(plotResolution))
	drawn.plot.Draw(draw.New(canvas))
	var image bytes.Buffer
	_, err := vgimg.PngCanvas{Canvas: canvas}.WriteTo(&image)
	return image.Bytes(), err
}
