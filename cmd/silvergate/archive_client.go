package main

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	anode "silvergate/internal/archive/node"
	"silvergate/internal/archive/reader"
	"silvergate/internal/identity"
	"silvergate/internal/protocol"
	"silvergate/internal/site"
)

// archiveClient reads the archive as the identity of a certificate.
type archiveClient struct {
	*client
	certs string   // the folder with the certificate; default with --site: that of the site's operator
	nodes []string // archive nodes as NAME=IP:PORT, besides those of the site
}

func (k *archiveClient) addArchiveFlags(c *cobra.Command) {
	c.Flags().StringVar(&k.site, "site", "", "the folder of a site that silvergate up runs; read as its operator unless --certs is given")
	c.Flags().StringVar(&k.certs, "certs", "", "the folder with the certificate to read with")
	c.Flags().StringSliceVar(&k.nodes, "node", nil, "an archive node, NAME=IP:PORT; may be repeated")
	c.Flags().DurationVar(&k.timeout, "timeout", 10*time.Second, "how long to wait for an answer")
	k.addOutputFlag(c)
}

// open returns a client of the archive and the archive's nodes.
func (k *archiveClient) open() (*reader.Client, []anode.Member, error) {
	if k.format != "text" && k.format != "json" {
		return nil, nil, errors.New("--output: must be text or json")
	}
	var members []anode.Member
	certs := k.certs
	if k.site != "" {
		m, operatorCerts, err := site.ReadArchive(k.site)
		if err != nil {
			return nil, nil, err
		}
		members = m
		if certs == "" {
			certs = operatorCerts
		}
	}
	for _, s := range k.nodes {
		name, address, _ := strings.Cut(s, "=")
		members = append(members, anode.Member{Name: name, Address: address})
	}
	if certs == "" {
		return nil, nil, errors.New("give --site, or --certs and --node")
	}
	if err := anode.CheckMembers(members); err != nil {
		return nil, nil, err
	}
	credentials, err := identity.OpenCredentials(certs, newLogger("error"))
	if err != nil {
		return nil, nil, err
	}
	return reader.New(credentials, members, k.timeout), members, nil
}

// warnIfIncomplete prints a warning if an answer may be incomplete because nodes did not answer.
func warnIfIncomplete(c *cobra.Command, a anode.Completeness) {
	if !a.Complete {
		fmt.Fprintf(c.ErrOrStderr(), "no answer from %s: the result may be incomplete\n", strings.Join(a.Unresponsive, ", "))
	}
}

// parseJobTask parses JOB or JOB/TASK. Without a task it returns -1, which means all tasks.
func parseJobTask(s string) (job string, task int, err error) {
	job, index, hasTask := strings.Cut(s, "/")
	task = -1
	if hasTask {
		if task, err = strconv.Atoi(index); err != nil || task < 0 {
			return "", 0, fmt.Errorf("%q: must be JOB or JOB/TASK", s)
		}
	}
	if !protocol.ValidJobID(job) {
		return "", 0, fmt.Errorf("%q is not a job id: the form is wk-000412", job)
	}
	return job, task, nil
}
