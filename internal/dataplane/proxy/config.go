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

// priorityLevels is the number of tenant priorities that the cores distinguish.
const priorityLevels = 4

// Weights of requests in load shedding and load balancing. The weight of a priority is 1/(1 + step*priority);
// a larger number is a lower priority.
const (
	tenantPriorityStep = 0.5
	routePriorityStep  = 0.25
	lateShare          = 0.3  // of its worth, for a response after the latency target
	crossZoneCost      = 0.05 // of the mean worth of a request, for an attempt in another zone
)

// config is the configuration that requests use. It is immutable; a new one replaces it.
type config struct {
	*routing.Table
	cores   map[string]*core.Core // by service
	classes map[*routing.Route]string
}

// SetConfig makes all later requests use the given configuration.
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
			h.addClass(share.Service, class)
		}
	}
	h.config.Store(c)
}

// startCore starts the core of a service, and reports whether it could. It must be called with mu held.
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

// addClass adds a class to the core of a service, unless the core already has it. It must be called with mu
// held.
func (h *Handler) addClass(service string, class choice.Class) {
	known := h.classes[service]
	if known != nil && known[class.Name] != class {
		known[class.Name] = class
		h.cores[service].Class(class)
	}
}

// gateSettings returns the settings of the core of a service.
func (h *Handler) gateSettings() choice.Settings {
	set := choice.Settings{Zone: h.Zone, Gateways: 1, MaxUnits: 1, MaxAttempts: 2, Cancel: true, QueueField: -1,
		MaxRetryAfter: time.Second, CrossZoneCost: crossZoneCost, Tuning: h.Tuning}
	for priority := range priorityLevels {
		price := 1 / (1 + tenantPriorityStep*float64(priority))
		set.Plans = append(set.Plans, choice.Plan{Name: planName(priority), Price: price})
	}
	return set
}

// planName returns the name of the plan of tenants with the given priority.
func planName(priority int) string { return strconv.Itoa(min(max(priority, 0), priorityLevels-1)) }

// classOf returns the class of the requests of a route. Routes with the same properties share one class, so
// that what is learned about one applies to all, and a configuration with many routes has few classes.
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

// find returns the route and the tenant of a request, or the response to send if there is none. The tenant
// is nil if the key is unknown and the route is public, or the configuration does not require keys.
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
