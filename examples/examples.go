// Package examples holds two whole deployments at their full sizes, for
// operators to start from and for the emulator and the demonstration to run.
package examples

import (
	"embed"
	"errors"
	"fmt"
	"slices"

	"github.com/hatchplank/hatchplank/internal/settings"
	"github.com/hatchplank/hatchplank/internal/table"
)

//go:embed schools abay
var files embed.FS

// The deployments.
const (
	Schools = "schools"
	Abay    = "abay"
)

// Names lists the deployments.
var Names = []string{Schools, Abay}

// ErrUnknown means that there is no deployment of the name.
var ErrUnknown = errors.New("unknown deployment")

// Deployment is a deployment's settings, table and workload.
type Deployment struct {
	Name     string
	Settings settings.Settings
	// Rows in order of name.
	Rows     []table.Row
	Workload settings.Workload
}

// Load reads a deployment and checks it as a node would.
func Load(name string) (Deployment, error) {
	if !slices.Contains(Names, name) {
		return Deployment{}, fmt.Errorf("%w: %q", ErrUnknown, name)
	}
	deployment := Deployment{Name: name}
	if err := deployment.loadSettings(); err != nil {
		return Deployment{}, err
	}
	if err := deployment.loadRows(); err != nil {
		return Deployment{}, err
	}
	return deployment, nil
}

// Constraints are the rules of the deployment for its table.
func (d Deployment) Constraints() table.Constraints {
	constraints := table.Constraints{Tenants: d.Settings.TenantNames()}
	for _, group := range d.Workload.Engines {
		constraints.FleetMemoryBytes += group.MemoryBytes() * int64(group.Count)
		constraints.ServerMemoryBytes = max(constraints.ServerMemoryBytes, group.MemoryBytes())
	}
	return constraints
}

func (d *Deployment) loadSettings() error {
	settingsFile, err := files.ReadFile(d.Name + "/settings.yaml")
	if err != nil {
		return err
	}
	workloadFile, err := files.ReadFile(d.Name + "/workload.yaml")
	if err != nil {
		return err
	}
	var problems []settings.Problem
	if d.Settings, problems = settings.Load(settingsFile, nil); len(problems) > 0 {
		return &settings.InvalidError{Problems: problems}
	}
	if d.Workload, problems = settings.LoadWorkload(workloadFile); len(problems) > 0 {
		return &settings.InvalidError{Problems: problems}
	}
	return nil
}

func (d *Deployment) loadRows() error {
	format, text, err := tableFile(d.Name)
	if err != nil {
		return err
	}
	document, problems := table.DecodeValid(format, text, d.Constraints())
	if len(problems) > 0 {
		return &table.InvalidError{Problems: problems}
	}
	table.SortRows(document.Rows)
	d.Rows = document.Rows
	return nil
}

// tableFile returns the deployment's table, which is in CSV or in YAML.
func tableFile(name string) (table.Format, []byte, error) {
	if text, err := files.ReadFile(name + "/table.csv"); err == nil {
		return table.FormatCSV, text, nil
	}
	text, err := files.ReadFile(name + "/table.yaml")
	return table.FormatYAML, text, err
}
