package reservation

import (
	"time"

	reservationv1 "github.com/ospreyshed/ospreyshed/api/reservation/v1"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

func attemptToProto(id engine.AttemptID) *reservationv1.Attempt {
	return &reservationv1.Attempt{Vm: id.VM, Incarnation: id.Incarnation, Request: id.Request, Attempt: id.Attempt}
}

func attemptFromProto(a *reservationv1.Attempt) engine.AttemptID {
	return engine.AttemptID{
		VM:          a.GetVm(),
		Incarnation: a.GetIncarnation(),
		Request:     a.GetRequest(),
		Attempt:     a.GetAttempt(),
	}
}

func demandToProto(d *scheduling.Demand) *reservationv1.Demand {
	return &reservationv1.Demand{
		Attempt:             attemptToProto(d.ID),
		Zone:                d.Zone,
		Team:                d.Team,
		Class:               d.Class,
		Model:               d.Model,
		Priority:            int32(d.Priority),
		FirstCome:           d.Order == configuration.OrderFirstCome,
		Share:               d.Share,
		QueueLimit:          int32(d.QueueLimit),
		PromptTokens:        int32(d.PromptTokens),
		Blocks:              d.Blocks,
		OutputTokens:        int32(d.OutputTokens),
		FirstTokenNs:        int64(d.Targets.FirstToken),
		BetweenTokensNs:     int64(d.Targets.BetweenTokens),
		WholeAnswerNs:       int64(d.Targets.WholeAnswer),
		GoodputWeight:       d.Weights.Goodput,
		WastedPrefillWeight: d.Weights.WastedPrefill,
		WaitedNs:            int64(d.Waited),
		Exclude:             d.Exclude,
		Build:               d.Build,
		Resumed:             d.Resumed,
		Strict:              d.Strict,
		Urgency:             int32(d.Urgency),
		PriorWaitNs:         int64(d.PriorWait),
		RetryWithinNs:       int64(d.RetryWithin),
	}
}

func demandFromProto(p *reservationv1.Demand) scheduling.Demand {
	order := configuration.OrderAny
	if p.GetFirstCome() {
		order = configuration.OrderFirstCome
	}
	return scheduling.Demand{
		ID:           attemptFromProto(p.GetAttempt()),
		Zone:         p.GetZone(),
		Team:         p.GetTeam(),
		Class:        p.GetClass(),
		Model:        p.GetModel(),
		Priority:     int(p.GetPriority()),
		Order:        order,
		Share:        p.GetShare(),
		QueueLimit:   int(p.GetQueueLimit()),
		PromptTokens: int(p.GetPromptTokens()),
		Blocks:       p.GetBlocks(),
		OutputTokens: int(p.GetOutputTokens()),
		Targets: configuration.Targets{
			FirstToken:    configuration.Duration(p.GetFirstTokenNs()),
			BetweenTokens: configuration.Duration(p.GetBetweenTokensNs()),
			WholeAnswer:   configuration.Duration(p.GetWholeAnswerNs()),
		},
		Weights: configuration.Weights{
			Goodput:       p.GetGoodputWeight(),
			WastedPrefill: p.GetWastedPrefillWeight(),
		},
		Waited:  time.Duration(p.GetWaitedNs()),
		Exclude: p.GetExclude(),
		Build:   p.GetBuild(),
		Resumed: p.GetResumed(),

		Strict:      p.GetStrict(),
		Urgency:     int(p.GetUrgency()),
		PriorWait:   time.Duration(p.GetPriorWaitNs()),
		RetryWithin: time.Duration(p.GetRetryWithinNs()),
	}
}

func outcomeToProto(grant scheduling.Grant, refusal *scheduling.Refusal) *reservationv1.ReserveResponse {
	if refusal != nil {
		return &reservationv1.ReserveResponse{Decision: &reservationv1.ReserveResponse_Refusal{
			Refusal: &reservationv1.Refusal{Reason: string(refusal.Reason), RetryAfterNs: int64(refusal.RetryAfter)},
		}}
	}
	return &reservationv1.ReserveResponse{Decision: &reservationv1.ReserveResponse_Grant{
		Grant: &reservationv1.Grant{
			Prefill:      grant.Prefill,
			Decode:       grant.Decode,
			FirstTokenNs: int64(grant.FirstToken),
			Limited:      grant.Limited,
		},
	}}
}

func outcomeFromProto(id engine.AttemptID, p *reservationv1.ReserveResponse) (scheduling.Grant, error) {
	if r := p.GetRefusal(); r != nil {
		return scheduling.Grant{}, &scheduling.Refusal{
			Reason:     scheduling.RefusalReason(r.GetReason()),
			RetryAfter: time.Duration(r.GetRetryAfterNs()),
		}
	}
	g := p.GetGrant()
	if g == nil {
		return scheduling.Grant{}, BadAnswer.New("a reservation without a decision")
	}
	return scheduling.Grant{
		ID:         id,
		Prefill:    g.GetPrefill(),
		Decode:     g.GetDecode(),
		FirstToken: time.Duration(g.GetFirstTokenNs()),
		Limited:    g.GetLimited(),
	}, nil
}

func heldToProto(h *scheduling.Held) *reservationv1.Held {
	return &reservationv1.Held{
		Attempt:         &reservationv1.Attempt{Request: h.ID.Request, Attempt: h.ID.Attempt},
		Team:            h.Team,
		Class:           h.Class,
		Prefill:         h.Prefill,
		Decode:          h.Decode,
		Phase:           int32(h.Phase),
		PromptTokens:    int32(h.PromptTokens),
		OutputTokens:    int32(h.OutputTokens),
		Delivered:       int32(h.Delivered),
		BetweenTokensNs: int64(h.BetweenTokens),
	}
}

func heldFromProto(p *reservationv1.Held) scheduling.Held {
	return scheduling.Held{
		ID:            attemptFromProto(p.GetAttempt()),
		Team:          p.GetTeam(),
		Class:         p.GetClass(),
		Prefill:       p.GetPrefill(),
		Decode:        p.GetDecode(),
		Phase:         scheduling.Phase(p.GetPhase()),
		PromptTokens:  int(p.GetPromptTokens()),
		OutputTokens:  int(p.GetOutputTokens()),
		Delivered:     int(p.GetDelivered()),
		BetweenTokens: time.Duration(p.GetBetweenTokensNs()),
	}
}

func progressToProto(model string, p scheduling.Progress) *reservationv1.Progress {
	return &reservationv1.Progress{
		Model:     model,
		Attempt:   attemptToProto(p.ID),
		Kind:      string(p.Kind),
		Prefill:   p.Prefill,
		Decode:    p.Decode,
		Tokens:    int32(p.Tokens),
		Cached:    int32(p.Cached),
		ElapsedNs: int64(p.Elapsed),
		Limited:   p.Limited,
		Limit:     p.Limit,
		Slowdown:  p.Slowdown,
	}
}

func progressFromProto(p *reservationv1.Progress) scheduling.Progress {
	return scheduling.Progress{
		ID:       attemptFromProto(p.GetAttempt()),
		Kind:     scheduling.ProgressKind(p.GetKind()),
		Prefill:  p.GetPrefill(),
		Decode:   p.GetDecode(),
		Tokens:   int(p.GetTokens()),
		Cached:   int(p.GetCached()),
		Elapsed:  time.Duration(p.GetElapsedNs()),
		Limited:  p.GetLimited(),
		Limit:    p.GetLimit(),
		Slowdown: p.GetSlowdown(),
	}
}
