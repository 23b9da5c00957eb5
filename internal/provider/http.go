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

// Serve takes a request; the server holds the lock.
func (p *Provider) Serve(id uint64, r *transport.Request) {
	if p.Extra != nil && p.Extra(id, r.Method, r.Path) {
		return
	}
	now := time.Now()
	p.stats.Requests++
	refuse := func(status int, format string, args ...any) {
		retry := 0
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			retry = 1
			p.stats.Refused++
		}
		p.server.Answer(id, status, protocol.Encode(protocol.ErrorResponse{Error: fmt.Sprintf(format, args...)}), retry)
	}
	if !p.market.Admit(now) {
		refuse(http.StatusTooManyRequests, "more than %g requests a second", p.cfg.RPS)
		return
	}
	switch {
	case r.Path == protocol.PathMachineTypes && r.Method == http.MethodGet:
		p.server.Answer(id, http.StatusOK, protocol.Encode(p.market.MachineTypes()), 0)
	case r.Path == protocol.PathRentals && r.Method == http.MethodPost:
		q, err := readRental(r.Body)
		if err != nil {
			refuse(http.StatusBadRequest, "%v", err)
			return
		}
		names, e, err := p.market.Rent(now, q)
		switch {
		case errors.Is(err, ErrNoCapacity):
			refuse(http.StatusServiceUnavailable, "%v", err)
		case err != nil:
			refuse(http.StatusBadRequest, "%v", err)
		case p.perform(e):
			p.stats.Rented += uint64(len(e.Store))
			p.server.Answer(id, http.StatusOK, protocol.Encode(protocol.MachineNames{Machines: names}), 0)
		}
	case r.Path == protocol.PathRentalsDelete && r.Method == http.MethodPost:
		names, err := readNames(r.Body)
		if err != nil {
			refuse(http.StatusBadRequest, "%v", err)
			return
		}
		p.delete(id, names.Machines)
	case r.Path == PathPreemptions && r.Method == http.MethodPost:
		names, err := readNames(r.Body)
		if err != nil {
			refuse(http.StatusBadRequest, "%v", err)
			return
		}
		if p.perform(p.market.Preempt(now, names.Machines, time.Duration(names.NoticeS*float64(time.Second)))) {
			p.server.Answer(id, http.StatusOK, []byte("{}"), 0)
		}
	case r.Path == protocol.PathRentals && r.Method == http.MethodGet:
		from, page, err := readPage(r.Query)
		if err != nil {
			refuse(http.StatusBadRequest, "%v", err)
			return
		}
		p.server.Answer(id, http.StatusOK, protocol.Encode(p.market.List(now, from, page)), 0)
	case slices.Contains([]string{protocol.PathMachineTypes, protocol.PathRentals, protocol.PathRentalsDelete, PathPreemptions}, r.Path):
		refuse(http.StatusMethodNotAllowed, "method not allowed")
	default:
		refuse(http.StatusNotFound, "no such path")
	}
}

// delete answers when nothing of the machines is left.
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
		Hire   *string  `json:"hire"`
		Rig    *string  `json:"rig"`
		Depot  *string  `json:"depot"`
		Casual *bool    `json:"casual"`
		Number *float64 `json:"number"`
	}
	if err := protocol.DecodeObject(body, &v); err != nil {
		return r, err
	}
	switch {
	case v.Hire == nil || *v.Hire == "" || len(*v.Hire) > 200:
		return r, errors.New("hire: missing or too long")
	case v.Rig == nil:
		return r, errors.New("rig: missing")
	case v.Depot == nil:
		return r, errors.New("depot: missing")
	case v.Casual == nil:
		return r, errors.New("casual: missing")
	case v.Number == nil || *v.Number != float64(int(*v.Number)) || *v.Number < 1 || *v.Number > maxRental:
		return r, fmt.Errorf("number: missing or not between 1 and %d", maxRental)
	}
	return protocol.RentalRequest{RequestID: *v.Hire, MachineType: *v.Rig, Zone: *v.Depot, Spot: *v.Casual, Count: int(*v.Number)}, nil
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

// AnswerAs answers a request of Extra; the lock must be held.
func (p *Provider) AnswerAs(id uint64, contentType string, body []byte) {
	p.server.AnswerAs(id, contentType, body)
}
