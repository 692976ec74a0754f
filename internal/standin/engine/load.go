package engine

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// LoadReport is the body of a load report.
type LoadReport struct {
	TimeMS        int64              `json:"time_ms"`
	Engine        string             `json:"engine"`
	Role          configuration.Role `json:"role"`
	Model         string             `json:"model"`
	Slots         int                `json:"slots"`
	Active        int                `json:"active"`
	Queued        int                `json:"queued"`
	Pieces        int                `json:"pieces"`
	PiecesFree    int                `json:"pieces_free"`
	Leaving       bool               `json:"leaving"`
	ChecksFencing bool               `json:"checks_fencing"`
}

// recordLoad records the load, which the load report shows after its lag.
func (e *Engine) recordLoad() {
	now := time.Now()
	e.reports.Prune(now.Add(-e.options.LoadLag.D()))
	e.reports.Set(now, e.load(now))
}

// load returns the current load.
func (e *Engine) load(now time.Time) LoadReport {
	current := e.state.current()
	report := LoadReport{
		TimeMS:        now.UnixMilli(),
		Engine:        e.options.Name,
		Role:          current.Role,
		Model:         current.Model,
		Slots:         e.options.Slots,
		Active:        e.slotsUsed,
		Queued:        len(e.prefillQueue) + len(e.decodeQueue),
		Pieces:        e.options.MemoryPieces,
		PiecesFree:    max(e.options.MemoryPieces-e.piecesHeld, 0),
		Leaving:       e.faults.Leaving,
		ChecksFencing: e.options.ChecksFencing,
	}
	if current.Role == configuration.RolePrefill {
		report.Slots = 1
		report.Active = 0
		if e.prefilling != nil {
			report.Active = 1
		}
	}
	return report
}

// Load returns the load report: the load as it was Options.LoadLag ago.
func (e *Engine) Load() LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := time.Now().Add(-e.options.LoadLag.D())
	report := e.reports.At(at)
	// The recorded load was unchanged until that time.
	report.TimeMS = max(report.TimeMS, at.UnixMilli())
	return report
}
