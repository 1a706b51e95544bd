package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// configurationBound is the time within which a change of the configuration is
	// in force on each instance that reaches the log.
	configurationBound = 3 * time.Second
	// probePause is the longest pause between two probes of an instance.
	probePause = 120 * time.Millisecond
	// probedRoutes is the number of the newest routes that are probed.
	probedRoutes = 8
)

// configuration is the operators' configuration: the route /j/, which stays, and
// routes that are added and dropped again. A name is used once only.
type configuration struct {
	d *deployment

	mu      sync.Mutex
	version int
	routes  []*route
}

// route is a route that was added at one time and perhaps dropped at a later one.
type route struct {
	name    string
	addedAt time.Time
	// droppedAt is zero until the route is dropped.
	droppedAt time.Time
}

// change adds a route or drops one, and changes the target latency of all.
func (c *configuration) change(random *rand.Rand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kept []*route
	for _, r := range c.routes {
		if r.droppedAt.IsZero() {
			kept = append(kept, r)
		}
	}
	if len(kept) > 0 && (len(kept) > 2 || random.IntN(2) == 0) {
		c.write(random, nil, kept[random.IntN(len(kept))])
		return
	}
	c.write(random, &route{name: fmt.Sprint("x", len(c.routes))}, nil)
}

// write writes the next version, with one route added or dropped if they are not nil.
// The caller must hold c.mu.
func (c *configuration) write(random *rand.Rand, added, dropped *route) {
	c.version += 1 + random.IntN(5)
	encoded := []string{encodeRoute("q", "/j/", 600+random.IntN(100))}
	for _, r := range append(c.routes[:len(c.routes):len(c.routes)], added) {
		if r != nil && r != dropped && r.droppedAt.IsZero() {
			encoded = append(encoded, encodeRoute(r.name, "/"+r.name+"/", 600))
		}
	}
	text := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"p"}],"limits":{"max_body_bytes":262144}}`,
		c.version, strings.Join(encoded, ","))
	c.d.log.AppendRecord("keyed.op", "config", []byte(text))
	c.d.journal("configuration %s", text)
	if added != nil {
		added.addedAt = time.Now()
		c.routes = append(c.routes, added)
	}
	if dropped != nil {
		dropped.droppedAt = time.Now()
	}
}

func encodeRoute(name, prefix string, targetMillis int) string {
	return fmt.Sprintf(`{"name":"%s","host":"h","path_prefix":"%s","service":"p","target_latency_ms":%d,"attempts":5,"stretch":2.0}`,
		name, prefix, targetMillis)
}

// recent returns copies of the newest routes.
func (c *configuration) recent() []route {
	c.mu.Lock()
	defer c.mu.Unlock()
	var routes []route
	for _, r := range c.routes[max(0, len(c.routes)-probedRoutes):] {
		routes = append(routes, *r)
	}
	return routes
}

// isDropped reports whether a route has been dropped by now.
func (c *configuration) isDropped(name string) bool {
	for _, r := range c.recent() {
		if r.name == name {
			return !r.droppedAt.IsZero()
		}
	}
	return true
}

// routeProber sends requests on the changing routes to one instance.
type routeProber struct {
	d        *deployment
	instance *entryInstance
	random   *rand.Rand
	accepted []string
	refused  []string
}

// run sends requests until stop is closed.
func (p *routeProber) run(stop <-chan struct{}) {
	for number := 1; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(p.random.Int64N(int64(probePause)))):
		}
		if routes := p.d.configuration.recent(); len(routes) > 0 {
			p.probe(routes[p.random.IntN(len(routes))], number)
		}
	}
}

// probe sends a request on a route and checks that the answer is not that of an
// outdated configuration.
func (p *routeProber) probe(r route, number int) {
	method, path, body := http.MethodGet, "/"+r.name+"/", ""
	id := fmt.Sprintf("f%02x%013x", p.instance.index, number)
	if p.random.IntN(8) == 0 {
		method, path, body = http.MethodPost, path+id, smallJob
	}
	process := p.instance.current()
	sentAt := time.Now()
	status, _ := p.d.sendRequest(context.Background(), p.instance, method, path, body)
	if method == http.MethodPost {
		switch status {
		case http.StatusOK:
			p.accepted = append(p.accepted, id)
		case http.StatusServiceUnavailable, http.StatusNotFound:
			p.refused = append(p.refused, id)
		}
	}
	answeredAt := time.Now()
	if status == 0 || process == nil || process != p.instance.current() || !p.d.disruptions.none(p.instance.index, sentAt.Add(-calmBefore), answeredAt) {
		return
	}
	// A process that has just started has no configuration yet and refuses with 503.
	isNew := process.startedAt.After(sentAt.Add(-calmBefore))
	age := func(change time.Time) time.Duration { return sentAt.Sub(change) }
	switch {
	case !r.droppedAt.IsZero() && age(r.droppedAt) > configurationBound:
		if status != http.StatusNotFound && !(isNew && status == http.StatusServiceUnavailable) {
			p.d.report("%s answered %s %s with status %d, %v after the route was dropped", p.instance.name, method, path, status, age(r.droppedAt))
		}
	case r.droppedAt.IsZero() && age(r.addedAt) > configurationBound && status == http.StatusNotFound && !p.d.configuration.isDropped(r.name):
		p.d.report("%s answered %s %s with status 404, %v after the route was added", p.instance.name, method, path, age(r.addedAt))
	}
}

// checkLastChange adds a route and drops another. It checks that every instance
// accepts a job on the one and refuses the other. It returns the jobs.
func (c *configuration) checkLastChange(random *rand.Rand) (accepted []string) {
	added, dropped := &route{name: "last"}, &route{name: "unused"}
	c.mu.Lock()
	c.write(random, dropped, nil)
	c.write(random, added, dropped)
	c.mu.Unlock()
	time.Sleep(configurationBound)
	for _, instance := range c.d.instances {
		id := fmt.Sprintf("e%015x", instance.index)
		deadline := time.Now().Add(completionTimeout)
		for {
			status, _ := c.d.sendRequest(context.Background(), instance, http.MethodPost, "/last/"+id, smallJob)
			if status == http.StatusOK {
				accepted = append(accepted, id)
				break
			}
			if time.Now().After(deadline) {
				c.d.report("%s does not accept a job on a route that was added %v before; last status %d", instance.name, time.Since(added.addedAt), status)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if status, _ := c.d.sendRequest(context.Background(), instance, http.MethodGet, "/unused/", ""); status != http.StatusNotFound {
			c.d.report("%s answers a request on a dropped route with status %d", instance.name, status)
		}
	}
	return accepted
}
