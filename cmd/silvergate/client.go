package main

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"silvergate/internal/config"
	"silvergate/internal/protocol"
	"silvergate/internal/site"
	"silvergate/internal/transport"
)

// client sends requests to a running component, as its users do.
type client struct {
	address string
	site    string
	timeout time.Duration
	format  string
	pool    *transport.Pool
}

func newClient() *client { return &client{timeout: 5 * time.Second, pool: transport.NewPool(2)} }

// addAddressFlags adds the flags for the component's address, the timeout and the output format.
func (k *client) addAddressFlags(c *cobra.Command, address, what string, timeout time.Duration) {
	c.Flags().StringVar(&k.address, "address", address, what+" (IP and port)")
	c.Flags().DurationVar(&k.timeout, "timeout", timeout, "how long to wait for an answer")
	k.addOutputFlag(c)
}

// addOutputFlag adds the flag for the output format.
func (k *client) addOutputFlag(c *cobra.Command) {
	c.Flags().StringVar(&k.format, "output", "text", "text or json")
}

// addControllerFlags adds the flags of commands that send requests to controllers.
func (k *client) addControllerFlags(c *cobra.Command) {
	k.addAddressFlags(c, "127.0.0.1:8080", "a controller's bind address", 5*time.Second)
	c.Flags().StringVar(&k.site, "site", "", "the folder of a site that silvergate up runs, instead of --address")
}

// addresses returns the addresses to send a request to, in the order in which they are tried.
func (k *client) addresses() ([]string, error) {
	if k.site == "" {
		return []string{k.address}, nil
	}
	p, err := site.ReadPorts(k.site)
	if err != nil {
		return nil, err
	}
	return p.Addresses(), nil
}

// errUnavailable marks a failure after which a request may succeed at another controller or later.
var errUnavailable = errors.New("no answer")

// do sends a request to one address after the other until one answers with anything but 429 or
// 5xx. If none does, it returns the last error. A status other than 200 and 201 is an error.
func (k *client) do(method, path string, body []byte) (*transport.Response, error) {
	if k.format != "" && k.format != "text" && k.format != "json" {
		return nil, fmt.Errorf("--output: must be text or json")
	}
	all, err := k.addresses()
	if err != nil {
		return nil, err
	}
	var lastErr error
	for _, a := range all {
		r, err := k.request(a, method, path, body)
		if err != nil {
			lastErr = fmt.Errorf("%s: %w: %w", a, errUnavailable, err)
			continue
		}
		if r.Status == http.StatusOK || r.Status == http.StatusCreated {
			return r, nil
		}
		var p protocol.ErrorResponse
		if json.Unmarshal(r.Body, &p) != nil || p.Error == "" {
			p.Error = strings.TrimSpace(string(r.Body))
		}
		if r.RetryAfter > 0 {
			p.Error += fmt.Sprintf(" (try again in %d s)", r.RetryAfter)
		}
		lastErr = fmt.Errorf("%s: status %d: %s", a, r.Status, p.Error)
		if r.Status == http.StatusTooManyRequests || r.Status >= http.StatusInternalServerError {
			lastErr = fmt.Errorf("%w: %w", errUnavailable, lastErr)
			continue
		}
		return r, lastErr
	}
	return nil, lastErr
}

// request sends one request to an address and waits for its response. The pool has no clock,
// so a timer here expires the request after the timeout.
func (k *client) request(address, method, path string, body []byte) (*transport.Response, error) {
	timer := time.AfterFunc(k.timeout, func() { k.pool.Expire(time.Now().Add(k.timeout)) })
	defer timer.Stop()
	r, _, err := k.pool.Do(address, method, path, body, k.timeout)
	return r, err
}

func (k *client) get(path string, v any) error {
	r, err := k.do(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(r.Body, v)
}

func (k *client) post(path string, body, v any) error {
	r, err := k.do(http.MethodPost, path, protocol.Encode(body))
	if err != nil {
		return err
	}
	return json.Unmarshal(r.Body, v)
}

// printResult prints a result: text for people, or v as JSON for programs.
func (k *client) printResult(c *cobra.Command, v any, text string) error {
	if k.format == "json" {
		return json.NewEncoder(c.OutOrStdout()).Encode(v)
	}
	_, err := fmt.Fprintln(c.OutOrStdout(), text)
	return err
}

// printList prints a list: a table for people, or v as JSON for programs.
func (k *client) printList(c *cobra.Command, v any, head string, rows [][]string) error {
	if k.format == "json" {
		return json.NewEncoder(c.OutOrStdout()).Encode(v)
	}
	return printTable(c.OutOrStdout(), head, rows)
}

// jobFile is a job as people write it: the protocol's fields in YAML. Fields that
// have a default may be left out.
type jobFile struct {
	ID                  string            `yaml:"ref" json:"ref"`
	Class               string            `yaml:"jobclass" json:"jobclass"`
	Team                string            `yaml:"crew" json:"crew"`
	Shape               string            `yaml:"shape" json:"shape"`
	Priority            string            `yaml:"urgency" json:"urgency"`
	Tasks               int64             `yaml:"loads" json:"loads"`
	CPUs                float64           `yaml:"cpus" json:"cpus"`
	GPUs                float64           `yaml:"accelerators" json:"accelerators"`
	MemoryGB            float64           `yaml:"ramGb" json:"ramGb"`
	Image               string            `yaml:"kit" json:"kit"`
	ImageGB             float64           `yaml:"sizeGb" json:"sizeGb"`
	MachineTypes        []string          `yaml:"rigs" json:"rigs"`
	Zone                *string           `yaml:"depot" json:"depot"`
	OneZone             bool              `yaml:"oneZone" json:"oneZone"`
	Spread              bool              `yaml:"apart" json:"apart"`
	Spot                bool              `yaml:"casual" json:"casual"`
	EstimateS           float64           `yaml:"etaS" json:"etaS"`
	CheckpointIntervalS float64           `yaml:"waypointS" json:"waypointS"`
	CheckpointSaveS     float64           `yaml:"stowS" json:"stowS"`
	DeadlineS           *float64          `yaml:"dueS" json:"dueS"`
	Command             []string          `yaml:"command" json:"command,omitempty"`
	Env                 map[string]string `yaml:"env" json:"env,omitempty"`
	Customer            string            `yaml:"customer" json:"customer,omitempty"`
	Keep                []string          `yaml:"keep" json:"keep,omitempty"`
	Inputs              []struct {
		Set     string `yaml:"set" json:"set"`
		Version string `yaml:"version" json:"version"`
		Place   string `yaml:"place" json:"place"`
	} `yaml:"inputs" json:"inputs,omitempty"`
}

// newJobID returns a random job id.
func newJobID() (string, error) {
	n, err := rand.Int(rand.Reader, big.NewInt(1e15))
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("wk-%015d", n), nil
}

// readJob parses a job in JSON, or in YAML with defaults for missing fields, and returns it as JSON.
func readJob(raw []byte) ([]byte, error) {
	if t := strings.TrimLeft(string(raw), " \t\r\n"); strings.HasPrefix(t, "{") {
		_, err := protocol.ParseSubmission(raw)
		if err == nil {
			_, err = protocol.ParseExtra(raw)
		}
		return raw, err
	}
	j := jobFile{Class: "batch", Shape: "batch", Priority: "standard", Tasks: 1, CPUs: 1, MemoryGB: 0.1, Image: "base", EstimateS: 60}
	if err := config.DecodeYAML(raw, &j); err != nil {
		return nil, err
	}
	if j.ID == "" {
		var err error
		if j.ID, err = newJobID(); err != nil {
			return nil, err
		}
	}
	body, err := json.Marshal(j)
	if err != nil {
		return nil, err
	}
	if _, err := protocol.ParseSubmission(body); err != nil {
		return nil, err
	}
	_, err = protocol.ParseExtra(body)
	return body, err
}

// submit submits a job as the protocol asks of users: with --site it repeats the same request
// for up to a minute while no controller of the site is available.
func (k *client) submit(body []byte) (protocol.JobState, error) {
	var s protocol.JobState
	until := time.Now().Add(time.Minute)
	for {
		r, err := k.do(http.MethodPost, protocol.PathJobs, body)
		if err == nil {
			return s, json.Unmarshal(r.Body, &s)
		}
		// With a single controller (--address) a failure is reported at once: a person would
		// rather know than wait.
		if !errors.Is(err, errUnavailable) || k.site == "" || time.Now().After(until) {
			return s, err
		}
		time.Sleep(time.Second)
	}
}

// wait polls a job's state until the job is over or limit has passed (0: no limit), and calls
// onState with every state that it reads.
func (k *client) wait(ref string, limit time.Duration, onState func(protocol.JobState)) (protocol.JobState, error) {
	begin := time.Now()
	for {
		var s protocol.JobState
		err := k.get(protocol.PathJobs+"/"+ref, &s)
		switch {
		case err == nil:
			onState(s)
			if s.Status == "done" || s.Status == "cancelled" {
				return s, nil
			}
		case !errors.Is(err, errUnavailable):
			return s, err
		}
		if limit > 0 && time.Since(begin) > limit {
			return s, exitCode{exitTimeout, fmt.Errorf("%s is not over after %s", ref, limit)}
		}
		time.Sleep(250 * time.Millisecond)
	}
}

func (k *client) submitCommand() *cobra.Command {
	var wait bool
	var limit time.Duration
	c := &cobra.Command{
		Use: "submit FILE", Short: "Submit the job in a YAML or JSON file (- for standard input)", Args: cobra.ExactArgs(1),
		Long: `submit submits a job. In YAML, fields with a default may be left out, and
a random id is chosen when there is none. With --wait it waits until the job is over
and exits with status 0 when it is done, 4 when it was cancelled, 5 when --limit
has passed.`,
		RunE: func(c *cobra.Command, args []string) error {
			var raw []byte
			var err error
			if args[0] == "-" {
				raw, err = io.ReadAll(io.LimitReader(c.InOrStdin(), 1<<20))
			} else {
				raw, err = os.ReadFile(args[0])
			}
			if err != nil {
				return err
			}
			body, err := readJob(raw)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if len(body) > protocol.MaxBody {
				return fmt.Errorf("%s: larger than %d bytes", args[0], protocol.MaxBody)
			}
			s, err := k.submit(body)
			if err != nil {
				return err
			}
			if wait {
				last := ""
				s, err = k.wait(s.ID, limit, func(s protocol.JobState) {
					if now := describe(s); now != last {
						fmt.Fprintln(c.ErrOrStderr(), now)
						last = now
					}
				})
				if err != nil {
					return err
				}
			}
			if err := k.printResult(c, s, describe(s)); err != nil {
				return err
			}
			if wait && s.Status == "cancelled" {
				return exitCode{exitCancelled, fmt.Errorf("%s was cancelled", s.ID)}
			}
			return nil
		},
	}
	k.addControllerFlags(c)
	c.Flags().BoolVar(&wait, "wait", false, "wait until the job is over")
	c.Flags().DurationVar(&limit, "limit", 0, "with --wait: how long to wait; 0 means without limit")
	return c
}

// describe returns a job's state as one line of text.
func describe(s protocol.JobState) string {
	line := s.ID + " " + s.Status
	if s.Done != nil && s.Running != nil {
		line += fmt.Sprintf(", %d done, %d running", *s.Done, *s.Running)
	}
	return line
}

// jobRequestCommand returns a command that sends one request for a job and prints the job's state.
// suffix is appended to the job's path.
func (k *client) jobRequestCommand(use, short, method, suffix string) *cobra.Command {
	c := &cobra.Command{
		Use: use, Short: short, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if !protocol.ValidJobID(args[0]) {
				return fmt.Errorf("%q is not a job id: the form is wk-000412", args[0])
			}
			r, err := k.do(method, protocol.PathJobs+"/"+args[0]+suffix, nil)
			if err != nil {
				return err
			}
			var s protocol.JobState
			if err := json.Unmarshal(r.Body, &s); err != nil {
				return err
			}
			return k.printResult(c, s, describe(s))
		},
	}
	k.addControllerFlags(c)
	return c
}

// printTable prints rows in aligned columns.
func printTable(w io.Writer, head string, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.ReplaceAll(head, " ", "\t"))
	for _, r := range rows {
		fmt.Fprintln(t, strings.Join(r, "\t"))
	}
	return t.Flush()
}

// maxPages is the most pages of a list that readList reads.
const maxPages = 10_000

// readList reads a list page by page. path ends with the query parameter for the name of the last
// entry read. content returns the entries of a page and whether more pages follow; name returns
// the name of an entry.
func readList[Page, Entry any](k *client, path string, content func(*Page) (entries []Entry, truncated bool), name func(*Entry) string) ([]Entry, error) {
	all := []Entry{}
	from := ""
	for range maxPages {
		var page Page
		if err := k.get(path+url.QueryEscape(from), &page); err != nil {
			return all, err
		}
		entries, truncated := content(&page)
		all = append(all, entries...)
		if !truncated || len(entries) == 0 {
			break
		}
		if from = name(&entries[len(entries)-1]); from == "" {
			break
		}
	}
	return all, nil
}

func (k *client) jobsCommand() *cobra.Command {
	var all bool
	c := &cobra.Command{
		Use: "jobs", Short: "List the jobs that are not over, and what they wait for", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			jobs, err := readList(k, fmt.Sprintf("%s?all=%t&from=", protocol.PathJobList, all),
				func(p *protocol.JobPage) ([]protocol.JobSummary, bool) { return p.Jobs, p.Truncated },
				func(j *protocol.JobSummary) string { return j.ID })
			if err != nil {
				return err
			}
			var rows [][]string
			for _, j := range jobs {
				rows = append(rows, []string{j.ID, j.Status, j.Priority, j.Class, j.Team, j.Shape, fmt.Sprintf("%d/%d", j.Done, j.Tasks),
					fmt.Sprint(j.Running), formatAge(j.AgeS), j.WaitingFor})
			}
			return k.printList(c, jobs, "JOB STATUS URGENCY CLASS TEAM SHAPE DONE RUNNING AGE WAITS-FOR", rows)
		},
	}
	k.addControllerFlags(c)
	c.Flags().BoolVar(&all, "all", false, "also list jobs that are over")
	return c
}

// formatAge formats an age in seconds, cut to whole seconds, minutes or hours.
func formatAge(s float64) string {
	switch d := time.Duration(s * float64(time.Second)); {
	case d < time.Minute:
		return fmt.Sprintf("%ds", int(d.Seconds()))
	case d < time.Hour:
		return fmt.Sprintf("%dm", int(d.Minutes()))
	default:
		return fmt.Sprintf("%dh", int(d.Hours()))
	}
}

func (k *client) nodesCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "nodes", Short: "List the machines, what runs on them and which controller owns them", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			nodes, err := readList(k, protocol.PathMachineList+"?from=",
				func(p *protocol.MachinePage) ([]protocol.MachineSummary, bool) { return p.Machines, p.Truncated },
				func(m *protocol.MachineSummary) string { return m.Machine })
			if err != nil {
				return err
			}
			var rows [][]string
			for _, n := range nodes {
				kind := "ordinary"
				if n.Spot {
					kind = "spot"
				}
				rows = append(rows, []string{n.Machine, n.MachineType, n.Zone, kind, n.Status, fmt.Sprint(n.Tasks), fmt.Sprintf("%g/%g", n.CPUs, n.CPUCapacity),
					fmt.Sprintf("%g/%g", n.GPUs, n.GPUCapacity), fmt.Sprintf("%.3g/%g", n.MemoryGB, n.MemoryCapacityGB), n.Owner, n.Address})
			}
			return k.printList(c, nodes, "MACHINE TYPE ZONE KIND STATUS TASKS CPUS ACCELERATORS RAM-GB CONTROLLER ADDRESS", rows)
		},
	}
	k.addControllerFlags(c)
	return c
}

// clientCommands returns the commands that send requests to controllers, as their users do.
func clientCommands() []*cobra.Command {
	stats := newClient()
	st := &cobra.Command{
		Use: "stats", Short: "Show a controller's counters and latencies", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r, err := stats.do(http.MethodGet, "/stats", nil)
			if err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), strings.TrimSpace(string(r.Body)))
			return nil
		},
	}
	stats.addControllerFlags(st)
	return []*cobra.Command{
		newClient().submitCommand(),
		newClient().jobRequestCommand("show JOB", "Show a job's state", http.MethodGet, ""),
		newClient().jobRequestCommand("cancel JOB", "Cancel a job", http.MethodPost, "/"+protocol.PathCancel),
		newClient().jobsCommand(),
		newClient().nodesCommand(),
		reachCommand(),
		st,
	}
}
