package api

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/gen/admin"
	"github.com/pollenford/pollenford/internal/burn"
	"github.com/pollenford/pollenford/internal/entry"
	"github.com/pollenford/pollenford/internal/finding"
	"github.com/pollenford/pollenford/internal/instances"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/operate"
	"github.com/pollenford/pollenford/internal/settings"
	"github.com/pollenford/pollenford/internal/topic"
)

// operateTimeout limits a request of an operator, which makes a few store calls of some milliseconds each.
const operateTimeout = 5 * time.Second

// Admin implements the admin service.
type Admin struct {
	Entry     *entry.Entry
	Publisher *operate.Publisher
	// Operators returns the authorised operators.
	Operators func() []settings.Operator
	// Burn returns the service-level burn as counted by this entry instance.
	Burn func() burn.Report
	Log  hclog.Logger
}

// adminStatus maps the error names of the admin service to their HTTP status.
var adminStatus = map[string]int{
	"bad_request":  http.StatusBadRequest,
	"unauthorized": http.StatusUnauthorized,
	"not_found":    http.StatusNotFound,
	"refused":      http.StatusUnprocessableEntity,
	"conflict":     http.StatusPreconditionFailed,
	"unavailable":  http.StatusServiceUnavailable,
	"unknown":      http.StatusGatewayTimeout,
}

func adminProblem(name, detail string) *admin.Problem {
	status := adminStatus[name]
	return &admin.Problem{Name: name, Type: problemType, Title: http.StatusText(status), Status: status, Detail: detail}
}

// authenticate returns the name of the operator whose token is in the header.
func (a *Admin) authenticate(authorization *string) (string, error) {
	presented := []byte(settings.TokenDigest(bearerToken(authorization)))
	for _, op := range a.Operators() {
		if subtle.ConstantTimeCompare(presented, []byte(strings.ToLower(op.TokenSHA256))) == 1 {
			return op.Name, nil
		}
	}
	return "", adminProblem("unauthorized", "the operator token is missing or unknown")
}

// publishProblem converts an error of the publisher to a problem.
func publishProblem(err error) error {
	var version *operate.VersionError
	var findings finding.List
	switch {
	case errors.As(err, &version):
		p := adminProblem("conflict", err.Error())
		p.CurrentVersion = &version.Current
		return p
	case errors.As(err, &findings):
		p := adminProblem("refused", findings.Error())
		for _, f := range findings {
			p.Findings = append(p.Findings, &admin.Finding{Place: f.Place, Message: f.Message})
		}
		return p
	case errors.Is(err, operate.ErrWaveExists):
		return adminProblem("conflict", err.Error())
	case errors.Is(err, operate.ErrNoConfig):
		return adminProblem("not_found", err.Error())
	case errors.Is(err, topic.ErrReadOnly):
		return adminProblem("refused", "nothing was published: the platform's operators write these records: "+err.Error())
	case errors.Is(err, topic.ErrNotApplied):
		return adminProblem("unavailable", "nothing was published: "+err.Error())
	}
	return adminProblem("unknown", err.Error())
}

func configResult(doc operate.Document) *admin.Config {
	return &admin.Config{Version: doc.Version, Document: doc.JSON}
}

// GetConfig implements the service method.
func (a *Admin) GetConfig(ctx context.Context, p *admin.GetConfigPayload) (*admin.Config, error) {
	if _, err := a.authenticate(p.Authorization); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, operateTimeout)
	defer cancel()
	doc, err := a.Publisher.Config(ctx)
	switch {
	case errors.Is(err, operate.ErrNoConfig):
		return &admin.Config{Document: json.RawMessage("{}")}, nil
	case err != nil:
		return nil, adminProblem("unavailable", err.Error())
	}
	return configResult(doc), nil
}

// PatchConfig implements the service method.
func (a *Admin) PatchConfig(ctx context.Context, p *admin.PatchConfigPayload, body io.ReadCloser) (*admin.Config, error) {
	operator, err := a.authenticate(p.Authorization)
	if err != nil {
		return nil, err
	}
	version, format, patch, err := readPatch(p, body)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, operateTimeout)
	defer cancel()
	doc, err := a.Publisher.Patch(ctx, version, format, patch)
	a.Log.Info("configuration patch finished", "operator", operator, "version", version, "bytes", len(patch), "err", err)
	if err != nil {
		return nil, publishProblem(err)
	}
	return configResult(doc), nil
}

func readPatch(p *admin.PatchConfigPayload, body io.ReadCloser) (int64, operate.Format, []byte, error) {
	version, err := strconv.ParseInt(strings.Trim(p.IfMatch, `"`), 10, 64)
	if err != nil {
		return 0, "", nil, adminProblem("bad_request", "If-Match must be a configuration version")
	}
	data, err := io.ReadAll(io.LimitReader(body, operate.MaxDocumentBytes+1))
	if err != nil || len(data) > operate.MaxDocumentBytes || !json.Valid(data) {
		return 0, "", nil, adminProblem("bad_request", "the patch is incomplete, too large or not JSON")
	}
	if p.ContentType != nil {
		if media, _, err := mime.ParseMediaType(*p.ContentType); err == nil && media == "application/json-patch+json" {
			return version, operate.JSONPatch, data, nil
		}
	}
	return version, operate.MergePatch, data, nil
}

// ShowFleet implements the service method.
func (a *Admin) ShowFleet(ctx context.Context, p *admin.ShowFleetPayload) (*admin.FleetView, error) {
	if _, err := a.authenticate(p.Authorization); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, operateTimeout)
	defer cancel()
	fleet, err := a.Entry.Fleet(ctx)
	if err != nil {
		return nil, adminProblem("unavailable", err.Error())
	}
	res := &admin.FleetView{Owner: fleet.Owner, Term: fleet.Fence, Workers: []*admin.WorkerView{}, Waves: []*admin.WaveView{}}
	for _, w := range fleet.Workers {
		res.Workers = append(res.Workers, &admin.WorkerView{
			ID: w.ID, Pool: w.Pool, Zone: w.Zone, Rack: w.Rack, Instance: w.Instance,
			Phase: string(w.Phase), Runs: w.Runs,
			UsedCores: float64(w.UsedCPU) / 1000, Cores: float64(w.CPU) / 1000,
		})
	}
	for _, w := range fleet.Waves {
		res.Waves = append(res.Waves, waveView(w))
	}
	return res, nil
}

func waveView(w jobs.Wave) *admin.WaveView {
	view := &admin.WaveView{Number: w.Number, Status: "active", Total: w.Total, Begun: w.Begun}
	if w.Completed {
		view.Status = "completed"
	}
	return view
}

// StartWave implements the service method.
func (a *Admin) StartWave(ctx context.Context, p *admin.StartWavePayload) (*admin.WaveView, error) {
	operator, err := a.authenticate(p.Authorization)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, operateTimeout)
	defer cancel()
	err = a.Publisher.StartWave(ctx, &instances.Wave{
		Number: p.Number, Instances: p.Instances, DeadlineS: p.DeadlineS, MaxConcurrent: p.AtOnce,
	})
	a.Log.Info("maintenance wave publication finished", "operator", operator, "wave", p.Number,
		"instances", len(p.Instances), "err", err)
	if err != nil {
		return nil, publishProblem(err)
	}
	return waveView(jobs.Wave{Number: p.Number, Total: len(p.Instances)}), nil
}

// EvacuateZone implements the service method.
func (a *Admin) EvacuateZone(ctx context.Context, p *admin.EvacuateZonePayload) (*admin.ZoneRequest, error) {
	return a.setEvacuated(ctx, p.Authorization, p.Zone, true)
}

// RestoreZone implements the service method.
func (a *Admin) RestoreZone(ctx context.Context, p *admin.RestoreZonePayload) (*admin.ZoneRequest, error) {
	return a.setEvacuated(ctx, p.Authorization, p.Zone, false)
}

func (a *Admin) setEvacuated(ctx context.Context, authorization *string, zone string, evacuated bool) (*admin.ZoneRequest, error) {
	operator, err := a.authenticate(authorization)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, operateTimeout)
	defer cancel()
	if evacuated {
		err = a.Publisher.Evacuate(ctx, zone)
	} else {
		err = a.Publisher.Restore(ctx, zone)
	}
	a.Log.Info("evacuation publication finished", "operator", operator, "zone", zone, "evacuated", evacuated, "err", err)
	if err != nil {
		return nil, publishProblem(err)
	}
	return &admin.ZoneRequest{Zone: zone, Evacuated: evacuated}, nil
}

// ListEvacuations implements the service method.
func (a *Admin) ListEvacuations(ctx context.Context, p *admin.ListEvacuationsPayload) (*admin.EvacuationList, error) {
	if _, err := a.authenticate(p.Authorization); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, operateTimeout)
	defer cancel()
	fleet, err := a.Entry.Fleet(ctx)
	if err != nil {
		return nil, adminProblem("unavailable", err.Error())
	}
	res := &admin.EvacuationList{Evacuations: []*admin.EvacuationView{}}
	for _, e := range fleet.Evacuations {
		res.Evacuations = append(res.Evacuations, &admin.EvacuationView{
			Zone: e.Zone, ShortRuns: e.ShortRuns, LongRunningRuns: e.LongRunningRuns})
	}
	return res, nil
}

// ReportBurn implements the service method.
func (a *Admin) ReportBurn(_ context.Context, p *admin.ReportBurnPayload) (*admin.BurnReport, error) {
	if _, err := a.authenticate(p.Authorization); err != nil {
		return nil, err
	}
	report := a.Burn()
	res := &admin.BurnReport{
		At: report.At.Format(time.RFC3339), Members: report.Members, Objectives: []*admin.BurnObjective{},
	}
	for _, o := range report.Objectives {
		res.Objectives = append(res.Objectives, burnObjectiveView(o))
	}
	return res, nil
}

func burnObjectiveView(o burn.Objective) *admin.BurnObjective {
	out := &admin.BurnObjective{
		Name: o.Name, Queue: o.Queue, Organisation: o.Organisation, Target: o.Target, LatencyMs: o.LatencyMS,
		WindowHours: o.WindowHours, BudgetLeft: o.BudgetLeft,
		Windows: []*admin.BurnWindow{}, History: []*admin.BurnPoint{},
	}
	for _, w := range o.Windows {
		out.Windows = append(out.Windows, &admin.BurnWindow{Seconds: w.Seconds, Good: w.Good, Bad: w.Bad, BurnRate: w.BurnRate})
	}
	for _, b := range o.History {
		out.History = append(out.History, &admin.BurnPoint{Good: b.Good, Bad: b.Bad})
	}
	return out
}
