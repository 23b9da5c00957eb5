package coordination

import (
	"encoding/json"
	"log/slog"

	"silvergate/internal/config"
	"silvergate/internal/job"
)

// team holds a team's limits and guarantees, and its mirrored usage.
type team struct {
	cfg       *config.Team
	demand    usage      // sum over its open jobs so far, used only by updateJobOrder
	savingFor *jobRecord // the gang for which its limit is saved, see saveQuotaForGangs
	charged   usage      // its record in the state service; only teams with a limit have one
	running   usage      // of its bound tasks, from the mirror
	revision  uint64     // mod revision of its record
	inFlight  bool       // a transaction that changes its record has not been answered
}

// usage is an amount of resources, and the form of a team's record in the state service.
type usage struct {
	CPUs float64 `json:"c"`
	GPUs float64 `json:"g"`
}

// plus returns u plus the usage of n tasks of a job.
func (u usage) plus(s *job.Spec, n float64) usage {
	return usage{CPUs: u.CPUs + n*s.CPUs, GPUs: u.GPUs + n*s.GPUs}
}

// quotaTolerance is the permitted rounding error of sums of decimal amounts, in CPUs or GPUs. It
// is far below any amount that a user would specify.
const quotaTolerance = 1e-6

// hasLimit reports whether the team has any limit at all.
func (t *team) hasLimit() bool { return t.cfg.CPUsMax > 0 || t.cfg.GPUsMax > 0 }

// withinLimit reports whether u is within the team's limits; a limit of 0 means none.
func (t *team) withinLimit(u usage) bool { return t.excess(u) == usage{} }

// excess returns by how much u exceeds the team's limits; it is zero if u is within them.
func (t *team) excess(u usage) (excess usage) {
	if t.cfg.CPUsMax != 0 && u.CPUs > t.cfg.CPUsMax+quotaTolerance {
		excess.CPUs = u.CPUs - t.cfg.CPUsMax
	}
	if t.cfg.GPUsMax != 0 && u.GPUs > t.cfg.GPUsMax+quotaTolerance {
		excess.GPUs = u.GPUs - t.cfg.GPUsMax
	}
	return excess
}

// withinGuarantee reports whether u is within the team's guarantee. A resource for which the team
// has no guarantee does not count. A team without any guarantee is never within it.
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
