package peer

import "silvergate/internal/connectivity"

// Conversions between messages and their wire forms. A nil message converts to a nil wire
// form and a nil slice to a nil slice, because CBOR distinguishes nil from empty.

func (h *Heartbeat) wire() *wireBeat {
	if h == nil {
		return nil
	}
	return &wireBeat{
		FreshMS: h.MirrorAgeMS,
		Hungry:  h.Throttled,
		Lit:     h.ReachableZones,
		Dark:    h.UnreachableZones,
		Deaf:    h.UnresponsiveMachines,
		Unkept:  h.UnshippedMachines,
		Rows:    convertSlice(h.Links, wireLinkReport),
	}
}

func (w *wireBeat) message() *Heartbeat {
	if w == nil {
		return nil
	}
	return &Heartbeat{
		MirrorAgeMS:          w.FreshMS,
		Throttled:            w.Hungry,
		ReachableZones:       w.Lit,
		UnreachableZones:     w.Dark,
		UnresponsiveMachines: w.Deaf,
		UnshippedMachines:    w.Unkept,
		Links:                convertSlice(w.Rows, wireRow.message),
	}
}

func wireLinkReport(r connectivity.LinkReport) wireRow {
	return wireRow{
		Node:    r.Node,
		AgeMS:   r.AgeMS,
		StateMS: r.StateServiceMS,
		FreshMS: r.MirrorAgeMS,
		Deaf:    r.HearsNoWorkers,
		Hungry:  r.Throttled,
		Hears:   r.HearsPeers,
		Zones:   convertSlice(r.Zones, wireZoneReport),
		CloudMS: r.CloudMS,
		NoCloud: r.CloudUnreachable,
	}
}

func (w wireRow) message() connectivity.LinkReport {
	return connectivity.LinkReport{
		Node:             w.Node,
		AgeMS:            w.AgeMS,
		StateServiceMS:   w.StateMS,
		MirrorAgeMS:      w.FreshMS,
		HearsNoWorkers:   w.Deaf,
		Throttled:        w.Hungry,
		HearsPeers:       w.Hears,
		Zones:            convertSlice(w.Zones, wireZoneWord.message),
		CloudMS:          w.CloudMS,
		CloudUnreachable: w.NoCloud,
	}
}

func wireZoneReport(z connectivity.ZoneReport) wireZoneWord {
	return wireZoneWord{Zone: z.Zone, Held: z.Workers, HeardMS: z.LastHeardMS, Lost: z.Unreachable}
}

func (w wireZoneWord) message() connectivity.ZoneReport {
	return connectivity.ZoneReport{Zone: w.Zone, Workers: w.Held, LastHeardMS: w.HeardMS, Unreachable: w.Lost}
}

func (q *CancellationQuery) wire() *wireAsk {
	if q == nil {
		return nil
	}
	return &wireAsk{At: q.AskedAt, Ledger: q.AppliedRevision, Life: q.Incarnation}
}

func (w *wireAsk) message() *CancellationQuery {
	if w == nil {
		return nil
	}
	return &CancellationQuery{AskedAt: w.At, AppliedRevision: w.Ledger, Incarnation: w.Life}
}

func (r *CancellationReply) wire() *wireVouch {
	if r == nil {
		return nil
	}
	return &wireVouch{At: r.AskedAt, Cancelled: r.Cancelled, Life: r.Incarnation}
}

func (w *wireVouch) message() *CancellationReply {
	if w == nil {
		return nil
	}
	return &CancellationReply{AskedAt: w.At, Cancelled: w.Cancelled, Incarnation: w.Life}
}

func (h *TaskHandoff) wire() *wireForward {
	if h == nil {
		return nil
	}
	return &wireForward{Job: h.Job, Tasks: h.Tasks}
}

func (w *wireForward) message() *TaskHandoff {
	if w == nil {
		return nil
	}
	return &TaskHandoff{Job: w.Job, Tasks: w.Tasks}
}

func (r *RoomRequest) wire() *wireDraw {
	if r == nil {
		return nil
	}
	return &wireDraw{Job: r.Job, Machines: r.Machines}
}

func (w *wireDraw) message() *RoomRequest {
	if w == nil {
		return nil
	}
	return &RoomRequest{Job: w.Job, Machines: w.Machines}
}

func (o *RoomOffer) wire() *wireOffer {
	if o == nil {
		return nil
	}
	return &wireOffer{Job: o.Job, Machines: convertSlice(o.Machines, OfferedMachine.wire)}
}

func (w *wireOffer) message() *RoomOffer {
	if w == nil {
		return nil
	}
	return &RoomOffer{Job: w.Job, Machines: convertSlice(w.Machines, wireOffered.message)}
}

func (m OfferedMachine) wire() wireOffered {
	return wireOffered{Machine: m.Machine, Session: m.Epoch}
}

func (w wireOffered) message() OfferedMachine {
	return OfferedMachine{Machine: w.Machine, Epoch: w.Session}
}

func wireRelayRequest(r *connectivity.RelayRequest) *wireCarry {
	if r == nil {
		return nil
	}
	return &wireCarry{
		Life:      r.Incarnation,
		ID:        r.ID,
		Method:    r.Method,
		Path:      r.Path,
		Body:      r.Body,
		TimeoutMS: r.TimeoutMS,
	}
}

func (w *wireCarry) message() *connectivity.RelayRequest {
	if w == nil {
		return nil
	}
	return &connectivity.RelayRequest{
		Incarnation: w.Life,
		ID:          w.ID,
		Method:      w.Method,
		Path:        w.Path,
		Body:        w.Body,
		TimeoutMS:   w.TimeoutMS,
	}
}

func wireRelayResponse(r *connectivity.RelayResponse) *wireCarried {
	if r == nil {
		return nil
	}
	return &wireCarried{
		Life:       r.Incarnation,
		ID:         r.ID,
		Sum:        r.RequestHash,
		Status:     r.Status,
		Sent:       r.Sent,
		RetryAfter: r.RetryAfter,
		Body:       r.Body,
		Large:      r.TooLarge,
	}
}

func (w *wireCarried) message() *connectivity.RelayResponse {
	if w == nil {
		return nil
	}
	return &connectivity.RelayResponse{
		Incarnation: w.Life,
		ID:          w.ID,
		RequestHash: w.Sum,
		Status:      w.Status,
		Sent:        w.Sent,
		RetryAfter:  w.RetryAfter,
		Body:        w.Body,
		TooLarge:    w.Large,
	}
}

func (m *ForwardedMessage) wire() *wirePass {
	if m == nil {
		return nil
	}
	return &wirePass{From: m.From, To: m.To, Ask: m.Query.wire(), Vouch: m.Reply.wire()}
}

func (w *wirePass) message() *ForwardedMessage {
	if w == nil {
		return nil
	}
	return &ForwardedMessage{From: w.From, To: w.To, Query: w.Ask.message(), Reply: w.Vouch.message()}
}

// convertSlice converts each element; nil stays nil.
func convertSlice[From, To any](from []From, convert func(From) To) []To {
	if from == nil {
		return nil
	}
	to := make([]To, len(from))
	for i, element := range from {
		to[i] = convert(element)
	}
	return to
}
