package scale

import (
	"context"
	"errors"
	"math"
	"runtime"
	"time"
)

// Operations times single operations of one process, each at some sizes up to the whole.
type Operations struct {
	Dataset     Dataset   // the whole
	Ingresses   int       // at the whole, spread over its zones
	TenantsSeen int       // tenants that an ingress sees in a minute, at the whole
	Sizes       []float64 // parts of the whole
	Repeats     int       // of each operation, of which the quickest counts
}

// Run times all operations.
func (o Operations) Run(ctx context.Context, report func(Row)) error {
	m := &operationsMeter{Operations: o, report: report}
	for _, part := range o.Sizes {
		if err := ctx.Err(); err != nil {
			return err
		}
		d := o.part(part)
		m.measureConfig("routes", Dataset{Routes: d.Routes, Services: d.Services}, d.Routes)
		d.Routes, d.Services = o.Dataset.Routes, o.Dataset.Services
		m.measureConfig("tenants", d, d.Tenants)
	}
	for _, part := range o.Sizes {
		if err := ctx.Err(); err != nil {
			return err
		}
		ingresses := max(1, int(float64(o.Ingresses)*part))
		ingressesOfZone := max(1, int(float64(o.Ingresses/o.Dataset.Zones)*part))
		m.measureServerList(o.part(part))
		m.measureDataPlane(o.part(part), ingressesOfZone)
		m.measureAllocator(o.part(part))
		m.measureLimiter(max(10, int(float64(o.TenantsSeen)*part)), ingresses)
	}
	return errors.Join(m.errs...)
}

// part is a part of the whole.
func (o Operations) part(part float64) Dataset {
	of := func(n int) int { return max(1, int(math.Round(float64(n)*part))) }
	return Dataset{Routes: of(o.Dataset.Routes), Services: of(o.Dataset.Services),
		Tenants: of(o.Dataset.Tenants), Servers: of(o.Dataset.Servers), Zones: o.Dataset.Zones}
}

// operationsMeter measures operations, and collects what failed on the way.
type operationsMeter struct {
	Operations
	report func(Row)
	errs   []error
}

func (m *operationsMeter) check(err error) {
	if err != nil {
		m.errs = append(m.errs, err)
	}
}

// rowReporter reports figures of one operation at one size.
type rowReporter func(what, unit string, value float64)

func (m *operationsMeter) rows(operation, by string, size int) rowReporter {
	return func(what, unit string, value float64) {
		m.report(Row{PartOperations, operation, "any", what, "", unit, by, float64(size), value})
	}
}

// cost is what an operation takes.
type cost struct {
	cpu       time.Duration // of all threads
	allocated float64       // bytes
}

func (c cost) milliseconds() float64 { return float64(c.cpu) / float64(time.Millisecond) }

// measure does an operation some times, and returns the cost of the quickest.
func (m *operationsMeter) measure(do func()) cost {
	var least cost
	for i := range max(1, m.Repeats) {
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		startedAt := processCPU()
		do()
		cpu := processCPU() - startedAt
		runtime.ReadMemStats(&after)
		if i == 0 || cpu < least.cpu {
			least = cost{cpu, float64(after.TotalAlloc - before.TotalAlloc)}
		}
	}
	return least
}

// oneIf is the value of a row that tells yes or no.
func oneIf(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}
