package provider

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"silvergate/internal/protocol"
	"silvergate/internal/transport"
)

// Serve handles a request; the server holds the lock.
func (p *Provider) Serve(id uint64, r *transport.Request) {
	if p.Extra != nil && p.Extra(id, r.Method, r.Path) {
		return
	}
	now := time.Now()
	p.stats.Requests++
	if !p.market.Admit(now) {
		p.refuse(id, http.StatusTooManyRequests, "more than %g requests a second", p.cfg.RPS)
		return
	}
	switch {
	case r.Path == protocol.PathMachineTypes && r.Method == http.MethodGet:
		p.server.Answer(id, http.StatusOK, protocol.Encode(p.market.MachineTypes()), 0)
	case r.Path == protocol.PathRentals && r.Method == http.MethodPost:
		p.rent(id, now, r.Body)
	case r.Path == protocol.PathRentalsDelete && r.Method == http.MethodPost:
		names, err := readNames(r.Body)
		if err != nil {
			p.refuse(id, http.StatusBadRequest, "%v", err)
			return
		}
		p.delete(id, names.Machines)
	case r.Path == PathPreemptions && r.Method == http.MethodPost:
		p.preempt(id, now, r.Body)
	case r.Path == protocol.PathRentals && r.Method == http.MethodGet:
		from, page, err := readPage(r.Query)
		if err != nil {
			p.refuse(id, http.StatusBadRequest, "%v", err)
			return
		}
		p.server.Answer(id, http.StatusOK, protocol.Encode(p.market.List(now, from, page)), 0)
	case slices.Contains([]string{protocol.PathMachineTypes, protocol.PathRentals, protocol.PathRentalsDelete, PathPreemptions}, r.Path):
		p.refuse(id, http.StatusMethodNotAllowed, "method not allowed")
	default:
		p.refuse(id, http.StatusNotFound, "no such path")
	}
}

// refuse answers a request with an error; the lock is held.
func (p *Provider) refuse(id uint64, status int, format string, args ...any) {
	retryAfterS := 0
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		retryAfterS = 1
		p.stats.Refused++
	}
	p.server.Answer(id, status, protocol.Encode(protocol.ErrorResponse{Error: fmt.Sprintf(format, args...)}), retryAfterS)
}

// rent answers a request for machines; the lock is held.
func (p *Provider) rent(id uint64, now time.Time, body []byte) {
	request, err := readRental(body)
	if err != nil {
		p.refuse(id, http.StatusBadRequest, "%v", err)
		return
	}
	names, e, err := p.market.Rent(now, request)
	switch {
	case errors.Is(err, ErrNoCapacity):
		p.refuse(id, http.StatusServiceUnavailable, "%v", err)
	case err != nil:
		p.refuse(id, http.StatusBadRequest, "%v", err)
	case p.perform(e):
		p.stats.Rented += uint64(len(e.Store))
		p.server.Answer(id, http.StatusOK, protocol.Encode(protocol.MachineNames{Machines: names}), 0)
	}
}

// preempt handles an operator's request to preempt machines; the lock is held.
func (p *Provider) preempt(id uint64, now time.Time, body []byte) {
	names, err := readNames(body)
	if err != nil {
		p.refuse(id, http.StatusBadRequest, "%v", err)
		return
	}
	if p.perform(p.market.Preempt(now, names.Machines, time.Duration(names.NoticeS*float64(time.Second)))) {
		p.server.Answer(id, http.StatusOK, []byte("{}"), 0)
	}
}

// delete ends machines and answers the request when all of them are gone; the lock is held.
func (p *Provider) delete(id uint64, names []string) {
	wait, e := p.market.Delete(names)
	left := len(wait)
	done := func() {
		if left--; left <= 0 {
			p.server.Answer(id, http.StatusOK, []byte("{}"), 0)
		}
	}
	for _, n := range wait {
		p.waiting[n] = append(p.waiting[n], done)
	}
	if p.perform(e) && left == 0 {
		done()
	}
}

func readRental(body []byte) (r protocol.RentalRequest, err error) {
	var v struct {
		RequestID   *string  `json:"hire"`
		MachineType *string  `json:"rig"`
		Zone        *string  `json:"depot"`
		Spot        *bool    `json:"casual"`
		Count       *float64 `json:"number"`
	}
	if err := protocol.DecodeObject(body, &v); err != nil {
		return r, err
	}
	switch {
	case v.RequestID == nil || *v.RequestID == "" || len(*v.RequestID) > 200:
		return r, errors.New("hire: missing or too long")
	case v.MachineType == nil:
		return r, errors.New("rig: missing")
	case v.Zone == nil:
		return r, errors.New("depot: missing")
	case v.Spot == nil:
		return r, errors.New("casual: missing")
	case v.Count == nil || *v.Count != float64(int(*v.Count)) || *v.Count < 1 || *v.Count > maxRental:
		return r, fmt.Errorf("number: missing or not between 1 and %d", maxRental)
	}
	return protocol.RentalRequest{RequestID: *v.RequestID, MachineType: *v.MachineType, Zone: *v.Zone, Spot: *v.Spot, Count: int(*v.Count)}, nil
}

type machineNames struct {
	Machines []string `json:"stokers"`
	NoticeS  float64  `json:"noticeS"`
}

func readNames(body []byte) (v machineNames, err error) {
	if err := protocol.DecodeObject(body, &v); err != nil {
		return v, err
	}
	switch {
	case v.Machines == nil:
		return v, errors.New("stokers: missing")
	case len(v.Machines) > maxDelete:
		return v, fmt.Errorf("stokers: more than %d names", maxDelete)
	case !(v.NoticeS >= 0 && v.NoticeS < 1e6):
		return v, errors.New("noticeS: not a duration")
	}
	return v, nil
}

func readPage(query string) (from string, page int, err error) {
	q, err := url.ParseQuery(query)
	if err != nil {
		return "", 0, errors.New("the query is malformed")
	}
	page = maxPage
	if s := q.Get("page"); s != "" {
		if page, err = strconv.Atoi(s); err != nil || page < 1 {
			return "", 0, errors.New("page: must be at least 1")
		}
	}
	return q.Get("from"), min(page, maxPage), nil
}

// AnswerWithType answers a request that Extra has accepted; the lock must be held.
func (p *Provider) AnswerWithType(id uint64, contentType string, body []byte) {
	p.server.AnswerWithType(id, contentType, body)
}
