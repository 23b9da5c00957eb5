package main

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"silvergate/internal/identity"
)

// certsClient manages the site's certificate authority.
type certsClient struct {
	*client
	dir string // the authority's folder
}

// certsCommands returns the commands of the site's certificate authority.
func certsCommands() *cobra.Command {
	cmd := &cobra.Command{Use: "certs", Short: "The site's authority: init, issue, renew, revoke, list",
		Long: `certs manages the site's authority: a folder with its key, the list of issued
certificates and the list of revocations. Whoever can read that folder can act as
anyone on the site. Identities are written node/NAME, agent/MACHINE, operator/NAME,
team/TEAM and customer/TEAM/CUSTOMER (docs/security.md).`}
	k := &certsClient{client: newClient()}
	cmd.PersistentFlags().StringVar(&k.dir, "authority", "", "the authority's folder")
	_ = cmd.MarkPersistentFlagRequired("authority")
	cmd.AddCommand(k.initCommand(), k.issueCommand(), k.renewCommand(), k.revokeCommand(), k.certsListCommand())
	return cmd
}

func (k *certsClient) addIssueFlags(c *cobra.Command, life *time.Duration) {
	c.Flags().DurationVar(life, "life", identity.DefaultLifetime, "how long the certificate is valid")
	k.addOutputFlag(c)
}

// issueInto issues a certificate into a folder and prints it. identityOf returns the identity to
// issue it for.
func (k *certsClient) issueInto(c *cobra.Command, to string, life time.Duration, identityOf func(*identity.Authority) (identity.Identity, error)) error {
	a, err := identity.Open(k.dir)
	if err != nil {
		return err
	}
	who, err := identityOf(a)
	if err != nil {
		return err
	}
	i, err := a.Issue(who, to, life)
	if err != nil {
		return err
	}
	return k.printResult(c, i, fmt.Sprintf("%s: serial %s, until %s, in %s", i.Identity, i.Serial, i.NotAfter.Format(time.RFC3339), to))
}

func (k *certsClient) initCommand() *cobra.Command {
	var site string
	initialize := &cobra.Command{
		Use: "init --authority DIR --site NAME", Short: "Create the site's authority in a folder that has none", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if _, err := identity.Init(k.dir, site, time.Now()); err != nil {
				return err
			}
			return k.printResult(c, map[string]string{"site": site, "authority": k.dir},
				fmt.Sprintf("the authority of %s is in %s; keep that folder to yourself", site, k.dir))
		},
	}
	initialize.Flags().StringVar(&site, "site", "site", "the site's name, which is part of all identities")
	k.addOutputFlag(initialize)
	return initialize
}

func (k *certsClient) issueCommand() *cobra.Command {
	var life time.Duration
	var to string
	issue := &cobra.Command{
		Use: "issue IDENTITY --authority DIR --to DIR", Short: "Issue a certificate into a folder", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return k.issueInto(c, to, life, func(a *identity.Authority) (identity.Identity, error) { return identity.Parse(a.Site(), args[0]) })
		},
	}
	issue.Flags().StringVar(&to, "to", "", "the party's folder")
	_ = issue.MarkFlagRequired("to")
	k.addIssueFlags(issue, &life)
	return issue
}

func (k *certsClient) renewCommand() *cobra.Command {
	var life time.Duration
	renew := &cobra.Command{
		Use: "renew DIR --authority DIR", Short: "Replace the certificate in a party's folder; the party needs no restart", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return k.issueInto(c, filepath.Clean(args[0]), life, func(*identity.Authority) (identity.Identity, error) { return identity.ReadIdentity(args[0]) })
		},
	}
	k.addIssueFlags(renew, &life)
	return renew
}

func (k *certsClient) revokeCommand() *cobra.Command {
	revoke := &cobra.Command{
		Use: "revoke SERIAL|IDENTITY --authority DIR", Short: "Revoke a certificate, or all of an identity", Args: cobra.ExactArgs(1),
		Long: `revoke adds certificates to the signed list of revocations in the authority's
folder. Archive nodes that can read that folder pick it up; send it to others with
silvergate archive revocations. docs/security.md says how soon it applies everywhere.`,
		RunE: func(c *cobra.Command, args []string) error {
			a, err := identity.Open(k.dir)
			if err != nil {
				return err
			}
			n, err := a.Revoke(args[0])
			if err != nil {
				return err
			}
			return k.printResult(c, map[string]any{"revoked": n, "what": args[0]}, fmt.Sprintf("%d certificates of %s revoked", n, args[0]))
		},
	}
	k.addOutputFlag(revoke)
	return revoke
}

func (k *certsClient) certsListCommand() *cobra.Command {
	list := &cobra.Command{
		Use: "list --authority DIR", Short: "List the issued certificates", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			a, err := identity.Open(k.dir)
			if err != nil {
				return err
			}
			all, err := a.List()
			if err != nil {
				return err
			}
			var rows [][]string
			for _, i := range all {
				state := "holds"
				switch {
				case i.Revoked:
					state = "revoked"
				case time.Now().After(i.NotAfter):
					state = "expired"
				}
				rows = append(rows, []string{i.Serial, i.Identity, i.NotAfter.Format(time.RFC3339), state})
			}
			return k.printList(c, all, "SERIAL IDENTITY UNTIL STATE", rows)
		},
	}
	k.addOutputFlag(list)
	return list
}
