package coordination

import (
	"encoding/json"
	"log/slog"

	"silvergate/internal/config"
	"silvergate/internal/job"
)

// team is a team's limits and guarantees with its mirrored usage.
type team struct {
	cfg       *config.Team
	demand    usage      // of its unfinished jobs so far, for updateJobOrder alone
	savingFor *jobRecord // the gang that its limit is saved for, see saveQuotaForGangs
	charged   usage      // as charged; only limited teams have a record
	running   usage      // of its bound tasks, from the mirror
	revision  uint64     // of its record
	inFlight  bool       // a transaction that changes its record has not been answered
}

// usage is an amount of resources. It is also a team's record in the state service.
type usage struct {
	CPUs float64 `json:"c"`
	GPUs float64 `json:"g"`
}

// plus returns u with n more tasks of a job.
func (u usage) plus(s *job.Spec, n float64) usage {
	return usage{CPUs: u.CPUs + n*s.CPUs, GPUs: u.GPUs + n*s.GPUs}
}

// quotaTolerance is what sums of decimal amounts may be off by, far below any amount that a
// user would give.
const quotaTolerance = 1e-6

// hasLimit reports whether the team has any limit at all.
func (t *team) hasLimit() bool { return t.cfg.CPUsMax > 0 || t.cfg.GPUsMax > 0 }

// withinLimit reports whether u keeps to the team's limits; 0 is no limit.
func (t *team) withinLimit(u usage) bool {
	if t.cfg.CPUsMax != 0 && u.CPUs > t.cfg.CPUsMax+quotaTolerance {
		return false
	}
	return t.cfg.GPUsMax == 0 || u.GPUs <= t.cfg.GPUsMax+quotaTolerance
}

// withinGuarantee reports whether u is within the team's guarantee; what a team uses
// of a resource that it has no guarantee for does not count against it.
func (t *team) withinGuarantee(u usage) bool {
	if t.cfg.CPUs == 0 && t.cfg.GPUs == 0 {
		return false
	}
	if t.cfg.CPUs != 0 && u.CPUs > t.cfg.CPUs+quotaTolerance {
		return false
	}
	return t.cfg.GPUs == 0 || u.GPUs <= t.cfg.GPUs+quotaTolerance
}

// applyTeam applies a change of a team's record.
func (t *jobTable) applyTeam(log *slog.Logger, name string, data json.RawMessage, revision uint64) {
	team := t.teams[name]
	if team == nil || data == nil {
		return
	}
	if decode(log, name, data, &team.charged) {
		team.revision = revision
	}
}
