package main

type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Kind        string  `json:"kind"`
	TimeoutMs   int     `json:"timeout_ms"`
	TargetMs    int     `json:"target-latency"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max_attempts"`
	Stretch     float64 `json:"stretch"`
}

type service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	MaxConns   int    `json:"max_conns"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
	Enforces   bool   `json:"enforces"`
	Spare      bool   `json:"spare"`
}

type config struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

const host = "pule25.example"

func newRoute(name, prefix, to string) route {
	return route{Name: name, Host: host, Prefix: prefix, Kind: "unsafe", TimeoutMs: 3000, TargetMs: 600, Service: to, MaxAttempts: 3, Stretch: 1.6}
}

func newService(name string) service {
	return service{Name: name, HealthPath: "/healthz", MaxConns: 64, Protocol: "h1", Enforces: true}
}

func newConfig(version int, routes []route, services ...string) config {
	c := config{
		Version: version, Routes: routes,
		Limits: map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	for _, s := range services {
		c.Services = append(c.Services, newService(s))
	}
	return c
}
