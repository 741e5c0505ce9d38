package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunespoke/choice"
	"dunespoke/core"
	"dunespoke/internal/events"
	"dunespoke/internal/http1"
	"dunespoke/internal/net/accept"
	"dunespoke/internal/routing"
)

// priorityLevels is how many priorities of tenants the gates tell apart.
const priorityLevels = 4

// What a lower priority, or an answer that comes late, is worth to the gates.
const (
	tenantPriorityStep = 0.5
	routePriorityStep  = 0.25
	lateShare          = 0.3
	crossZoneCost      = 0.05
)

// config is what requests go by: replaced whole, never changed.
type config struct {
	*routing.Table
	cores   map[string]*core.Core // by service
	classes map[*routing.Route]string
}

// SetConfig has requests go by a configuration from now on.
func (h *Handler) SetConfig(table *routing.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &config{table, map[string]*core.Core{}, map[*routing.Route]string{}}
	for name := range table.Services {
		if h.cores[name] == nil && !h.startCore(name) {
			continue
		}
		c.cores[name] = h.cores[name]
	}
	for i := range table.Routes {
		route := &table.Routes[i]
		class := classOf(route)
		c.classes[route] = class.Name
		for _, share := range route.Shares {
			h.tellClass(share.Service, class)
		}
	}
	h.config.Store(c)
}

// startCore starts the core of a service. The lock is held.
func (h *Handler) startCore(service string) bool {
	c, err := h.NewCore(service, h.gateSettings())
	if err != nil {
		h.Log(events.Failed, "error", err.Error())
		return false
	}
	h.cores[service], h.classes[service] = c, map[string]choice.Class{}
	h.updateCore(service)
	return true
}

// tellClass tells a service's core of a class that it doesn't have. The lock is held.
func (h *Handler) tellClass(service string, class choice.Class) {
	known := h.classes[service]
	if known != nil && known[class.Name] != class {
		known[class.Name] = class
		h.cores[service].Class(class)
	}
}

// gateSettings are those of a service's gate.
func (h *Handler) gateSettings() choice.Settings {
	set := choice.Settings{Zone: h.Zone, Gateways: 1, MaxUnits: 1, MaxAttempts: 2, Cancel: true, QueueField: -1,
		MaxRetryAfter: time.Second, CrossZoneCost: crossZoneCost, Tuning: h.Tuning}
	for priority := range priorityLevels {
		price := 1 / (1 + tenantPriorityStep*float64(priority))
		set.Plans = append(set.Plans, choice.Plan{Name: planName(priority), Price: price})
	}
	return set
}

// planName is the gates' plan of tenants of a priority.
func planName(priority int) string { return strconv.Itoa(min(max(priority, 0), priorityLevels-1)) }

// classOf is what a route's requests count as. Routes that are alike are one class, so that what is learned
// of one holds for the others, and a configuration of many routes makes few classes.
func classOf(route *routing.Route) choice.Class {
	class := choice.Class{
		Aim:       route.LatencyTarget,
		Deadline:  route.Timeout,
		Repeat:    choice.Unsafe,
		LateShare: lateShare,
		Tries:     route.MaxAttempts,
		Worth:     1 / (1 + routePriorityStep*float64(route.Priority)),
	}
	if class.Aim <= 0 || class.Aim > class.Deadline {
		class.Aim = class.Deadline
	}
	if route.Kind == routing.ReadOnly {
		class.Repeat = choice.Safe
	}
	class.Name = strings.Join([]string{string(route.Kind), route.LatencyTarget.String(), route.Timeout.String(),
		strconv.Itoa(route.Priority), strconv.Itoa(route.MaxAttempts)}, " ")
	return class
}

// find finds a request's route and tenant, or the answer of one that has none. The tenant is nil on a public
// route, or where the configuration has no keys.
func (c *config) find(x *accept.Exchange) (*routing.Route, *routing.Tenant, *http1.Answer) {
	path, _, _ := strings.Cut(x.RequestURI, "?")
	if x.Header.Get(headerAttemptID) == "" {
		return nil, nil, http1.Plain(http.StatusBadRequest, headerAttemptID+": missing")
	}
	route := c.FindRoute(x.Host, path)
	if route == nil {
		return nil, nil, http1.Plain(http.StatusNotFound, "no such route")
	}
	tenant := c.FindTenant(x.Header.Get(headerKey))
	if tenant == nil && c.RequiresKeys && !route.Public {
		return nil, nil, http1.Plain(http.StatusUnauthorized, "unknown key")
	}
	return route, tenant, nil
}
