// Package settings reads an entry instance's own settings from JSON and validates them in full before anything starts.
// The platform's settings are in a separate file.
package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/burn"
	"github.com/pollenford/pollenford/internal/finding"
)

// Settings holds an entry instance's own settings. The zero value is valid and disables the API.
type Settings struct {
	// API configures the API for clients and operators; nil disables it.
	API *API `json:"api,omitempty"`
	// Operators may use the administration API.
	Operators []Operator `json:"operators,omitempty"`
	// Objectives maps names to service-level objectives.
	Objectives map[string]burn.Definition `json:"objectives,omitempty"`
	Log        Log                        `json:"log,omitzero"`
	// Ingress changes limits for clients.
	Ingress  Ingress  `json:"ingress,omitzero"`
	Overload Overload `json:"overload,omitzero"`
}

// Ingress holds limits for clients. 0 means the default, which docs/OPERATIONS.md describes.
type Ingress struct {
	// MemoryMB is the memory of the requests in progress, and Connections the number of open connections.
	MemoryMB    int64 `json:"memory_mb,omitempty"`
	Connections int64 `json:"connections,omitempty"`
	// A body must bring BodyMinBytes within each BodyWindowMS, and end within BodyMS.
	BodyMinBytes int64 `json:"body_min_bytes,omitempty"`
	BodyWindowMS int64 `json:"body_window_ms,omitempty"`
	BodyMS       int64 `json:"body_ms,omitempty"`
	// AnswerStallMS is how long a client may read nothing of an answer.
	AnswerStallMS int64 `json:"answer_stall_ms,omitempty"`
}

// Overload selects what the owner does with work that a full pool cannot do in time.
type Overload struct {
	// Defer orders jobs that could be in time only at the cost of worthier ones behind these.
	Defer bool `json:"defer,omitempty"`
	// Reject turns new jobs away that would end after their late objective.
	Reject bool `json:"reject,omitempty"`
}

// API configures the listener of the API.
type API struct {
	// Listen is the IP:port to listen on.
	Listen string `json:"listen"`
	// TLS enables TLS; nil serves plain HTTP.
	TLS *TLS `json:"tls,omitempty"`
}

// Operator may use the administration API.
type Operator struct {
	Name string `json:"name"`
	// TokenSHA256 is the hexadecimal SHA-256 of the operator's token.
	TokenSHA256 string `json:"token_sha256"`
}

// TokenDigest returns the hexadecimal SHA-256 of an operator's token.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// TLS names the certificate and key files of the API. Changed files are reloaded.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
}

// Log configures the structured log.
type Log struct {
	// Level is one of trace, debug, info, warn and error. Empty means info.
	Level string `json:"level,omitempty"`
}

// Load reads and validates a settings file. An empty path returns the zero value. A finding.List error holds every
// problem.
func Load(path string) (*Settings, error) {
	if path == "" {
		return &Settings{}, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "reading settings")
	}
	return Parse(data)
}

// Parse decodes and validates settings.
func Parse(data []byte) (*Settings, error) {
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return nil, finding.List{{Message: "not a JSON document: " + err.Error()}}
	}
	var typeFindings finding.List
	checkType(&typeFindings, "", tree, settingsType)
	var s Settings
	var wrongType *json.UnmarshalTypeError
	if err := json.Unmarshal(data, &s); err != nil && !errors.As(err, &wrongType) {
		return nil, finding.List{{Message: err.Error()}}
	}
	// Unmarshal skips values of the wrong type, so the other values can still be validated.
	findings := append(typeFindings, withoutPlaces(s.Validate(), typeFindings)...)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// withoutPlaces removes the findings at or below a place in other.
func withoutPlaces(findings, other finding.List) finding.List {
	return slices.DeleteFunc(findings, func(f finding.Finding) bool {
		return slices.ContainsFunc(other, func(o finding.Finding) bool {
			return f.Place == o.Place || strings.HasPrefix(f.Place, o.Place+"/")
		})
	})
}

// Validate returns all problems of the values.
func (s *Settings) Validate() finding.List {
	var out finding.List
	if s.API != nil {
		checkAPI(&out, s.API)
	}
	checkIngress(&out, s.Ingress)
	checkOperators(&out, s.Operators)
	checkObjectives(&out, s.Objectives)
	if s.Log.Level != "" && hclog.LevelFromString(s.Log.Level) == hclog.NoLevel {
		out.Add("/log/level", "must be trace, debug, info, warn or error")
	}
	return out
}

func checkAPI(out *finding.List, a *API) {
	if _, err := netip.ParseAddrPort(a.Listen); err != nil {
		out.Add("/api/listen", "must be an IP address and port such as 127.0.0.1:7100")
	}
	if a.TLS != nil {
		checkFile(out, "/api/tls/cert_file", a.TLS.CertFile)
		checkFile(out, "/api/tls/key_file", a.TLS.KeyFile)
	}
}

// Bounds of the limits for clients. Less memory does not hold a request of the largest size, fewer connections leave no
// reserves for each port, and longer times are not needed by any deadline.
const (
	minIngressMemoryMB    = 4
	minIngressConnections = 16
	maxIngressMB          = 1 << 20
	maxIngressConnections = 1 << 20
	maxIngressMS          = 10 * 60 * 1000
	maxIngressMinBytes    = 1 << 20
)

func checkIngress(out *finding.List, i Ingress) {
	check := func(field string, value, least, most int64) {
		if value != 0 && (value < least || value > most) {
			out.Add(finding.Pointer("ingress", field), "must be between %d and %d", least, most)
		}
	}
	check("memory_mb", i.MemoryMB, minIngressMemoryMB, maxIngressMB)
	check("connections", i.Connections, minIngressConnections, maxIngressConnections)
	check("body_min_bytes", i.BodyMinBytes, 1, maxIngressMinBytes)
	check("body_window_ms", i.BodyWindowMS, 1, maxIngressMS)
	check("body_ms", i.BodyMS, 1, maxIngressMS)
	check("answer_stall_ms", i.AnswerStallMS, 1, maxIngressMS)
}

func checkFile(out *finding.List, place, path string) {
	if _, err := os.Stat(path); err != nil {
		out.Add(place, "cannot be read: %v", err)
	}
}

func checkOperators(out *finding.List, operators []Operator) {
	for i, op := range operators {
		at := func(field string) string { return finding.Pointer("operators", strconv.Itoa(i), field) }
		if op.Name == "" {
			out.Add(at("name"), "is required")
		}
		if digest, err := hex.DecodeString(op.TokenSHA256); err != nil || len(digest) != 32 {
			out.Add(at("token_sha256"), "must be a SHA-256 in hexadecimal digits")
		}
	}
}

// maxWindowHours is a year. A longer error budget window would outlive every release.
const maxWindowHours = 366 * 24

func checkObjectives(out *finding.List, objectives map[string]burn.Definition) {
	for _, name := range slices.Sorted(maps.Keys(objectives)) {
		d := objectives[name]
		at := func(field string) string { return finding.Pointer("objectives", name, field) }
		if (d.Queue == "") == (d.Organisation == "") {
			out.Add(finding.Pointer("objectives", name), "exactly one of queue and organisation must be set")
		}
		if d.Target <= 0 || d.Target >= 1 {
			out.Add(at("target"), "must be between 0 and 1, both excluded")
		}
		if d.LatencyMS <= 0 {
			out.Add(at("latency_ms"), "must be positive")
		}
		if d.WindowHours <= 0 || d.WindowHours > maxWindowHours {
			out.Add(at("window_hours"), "must be between 1 and %d", maxWindowHours)
		}
	}
}

// LogLevel returns the configured log level, Info by default.
func (s *Settings) LogLevel() hclog.Level {
	if s.Log.Level == "" {
		return hclog.Info
	}
	return hclog.LevelFromString(s.Log.Level)
}
