package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"silvergate/internal/dataset"
	"silvergate/internal/proc"
	"silvergate/internal/protocol"
	"silvergate/internal/site"
)

// dataCommands returns the commands that publish, list, check and serve data sets, and
// that announce work which needs them.
func dataCommands() *cobra.Command {
	cmd := &cobra.Command{Use: "data", Short: "Data sets: put, list, show, verify, announce, serve"}
	cmd.AddCommand(dataPut(), dataList(), dataShow(), dataVerify(), dataAnnounce(), dataServe())
	return cmd
}

func dataPut() *cobra.Command {
	k := newClient()
	var root string
	var sources []string
	c := &cobra.Command{
		Use: "put SET VERSION FOLDER", Short: "Publish a folder as a version of a data set", Args: cobra.ExactArgs(3),
		Long: `put copies a folder into a file server's root and registers it as a version of
a data set. Versions never change: the same contents may be put again, others are
refused. With --site the site's own file server is used; otherwise name its root
and the addresses at which file servers serve it.`,
		RunE: func(c *cobra.Command, args []string) error {
			if k.site != "" {
				p, err := site.ReadPorts(k.site)
				if err != nil {
					return err
				}
				root, sources = site.DataRoot(k.site), []string{p.FileServer()}
			}
			if root == "" || len(sources) == 0 {
				return errors.New("give --site, or --root and --source")
			}
			last := time.Now()
			m, err := dataset.Build(args[2], args[0], args[1], func(n int64) {
				if time.Since(last) > time.Second {
					last = time.Now()
					fmt.Fprintf(c.ErrOrStderr(), "%d MB read\n", n/1e6)
				}
			})
			if err != nil {
				return err
			}
			digest, err := dataset.Publish(args[2], root, m)
			if err != nil {
				return err
			}
			v := protocol.DataSet{Set: m.Set, Version: m.Version, Digest: digest.String(), Bytes: m.Bytes(), Sources: sources}
			if err := v.Check(); err != nil {
				return err
			}
			if err := k.post(protocol.PathDataSets, v, &v); err != nil {
				return err
			}
			return k.printResult(c, v, fmt.Sprintf("%s/%s: %d files, %d bytes, digest %s", v.Set, v.Version, len(m.Files), v.Bytes, v.Digest))
		},
	}
	k.addControllerFlags(c)
	c.Flags().StringVar(&root, "root", "", "the folder that the file servers serve")
	c.Flags().StringSliceVar(&sources, "source", nil, "a file server's address (IP and port); may be repeated")
	return c
}

// versions returns all registered versions.
func (k *client) versions() ([]protocol.DataSet, error) {
	return readList(k, protocol.PathDataSets+"?from=",
		func(p *protocol.DataSetPage) ([]protocol.DataSet, bool) { return p.DataSets, p.Truncated },
		func(d *protocol.DataSet) string { return d.Set + "/" + d.Version })
}

func dataList() *cobra.Command {
	k := newClient()
	c := &cobra.Command{
		Use: "list", Short: "List the versions that are registered", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			all, err := k.versions()
			if err != nil {
				return err
			}
			var rows [][]string
			for _, v := range all {
				rows = append(rows, []string{v.Set, v.Version, fmt.Sprint(v.Bytes), time.UnixMilli(v.AtMS).UTC().Format(time.RFC3339), v.Digest[:16], strings.Join(v.Sources, ",")})
			}
			return k.printList(c, all, "SET VERSION BYTES REGISTERED DIGEST SOURCES", rows)
		},
	}
	k.addControllerFlags(c)
	return c
}

// manifest returns a version and its manifest, fetched from the first source that serves it and
// checked against the registered digest.
func (k *client) manifest(name string) (*protocol.DataSet, *dataset.Manifest, error) {
	all, err := k.versions()
	if err != nil {
		return nil, nil, err
	}
	for i := range all {
		v := &all[i]
		if v.Set+"/"+v.Version != name {
			continue
		}
		digest, err := dataset.ParseHash(v.Digest)
		if err != nil {
			return nil, nil, err
		}
		var lastErr error
		for _, s := range v.Sources {
			r, err := k.request(s, http.MethodGet, dataset.SetsPath+v.Set+"/"+v.Version+"/"+dataset.ManifestName, nil)
			if err == nil && r.Status != http.StatusOK {
				err = fmt.Errorf("status %d", r.Status)
			}
			var m *dataset.Manifest
			if err == nil {
				m, err = dataset.Decode(r.Body, digest)
			}
			if err == nil {
				return v, m, nil
			}
			lastErr = fmt.Errorf("%s: %w", s, err)
		}
		return nil, nil, lastErr
	}
	return nil, nil, fmt.Errorf("no version %s is registered (SET/VERSION)", name)
}

func dataShow() *cobra.Command {
	k := newClient()
	c := &cobra.Command{
		Use: "show SET/VERSION", Short: "Show a version's files", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			_, m, err := k.manifest(args[0])
			if err != nil {
				return err
			}
			var rows [][]string
			for _, f := range m.Files {
				rows = append(rows, []string{f.Path, fmt.Sprint(f.Size), fmt.Sprint(len(f.Chunks))})
			}
			return k.printList(c, m, "FILE BYTES CHUNKS", rows)
		},
	}
	k.addControllerFlags(c)
	return c
}

func dataVerify() *cobra.Command {
	k := newClient()
	c := &cobra.Command{
		Use: "verify SET/VERSION FOLDER", Short: "Compare a folder with a version, chunk by chunk", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			v, m, err := k.manifest(args[0])
			if err != nil {
				return err
			}
			if err := dataset.VerifyTree(args[1], m); err != nil {
				return fmt.Errorf("%s differs from %s: %w", args[1], args[0], err)
			}
			return k.printResult(c, v, fmt.Sprintf("%s is %s, whole: %d files, %d bytes", args[1], args[0], len(m.Files), m.Bytes()))
		},
	}
	k.addControllerFlags(c)
	return c
}

func dataAnnounce() *cobra.Command {
	k := newClient()
	a := protocol.Staging{}
	var zone string
	var by time.Duration
	c := &cobra.Command{
		Use: "announce SET/VERSION", Short: "Have a version copied to machines ahead of work that will need it", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var ok bool
			if a.Set, a.Version, ok = strings.Cut(args[0], "/"); !ok {
				return fmt.Errorf("%q: must be SET/VERSION", args[0])
			}
			if a.ID == "" {
				ref, err := newJobID()
				if err != nil {
					return err
				}
				a.ID = ref
			}
			if zone != "" {
				a.Zone = &zone
			}
			a.ByS = by.Seconds()
			if err := a.Check(); err != nil {
				return err
			}
			if err := k.post(protocol.PathStagings, a, &a); err != nil {
				return err
			}
			return k.printResult(c, a, fmt.Sprintf("%s: %s/%s on %d machines within %s", a.ID, a.Set, a.Version, a.Machines, by))
		},
	}
	k.addControllerFlags(c)
	f := c.Flags()
	f.StringVar(&a.ID, "ref", "", "the announcement's name; default: random")
	f.StringVar(&a.Team, "crew", "", "the team whose work it is")
	f.StringVar(&a.Priority, "urgency", "standard", "the work's priority: prod, urgent, standard or idle")
	f.IntVar(&a.Machines, "machines", 1, "how many machines should hold the version")
	f.DurationVar(&by, "within", 0, "how soon they should hold it")
	f.StringVar(&zone, "zone", "", "only machines of this zone")
	_ = c.MarkFlagRequired("crew")
	return c
}

// dataServe returns the command that serves data sets to machines. Any other HTTP server that
// serves a folder with range requests would do.
func dataServe() *cobra.Command {
	var root, listen string
	c := &cobra.Command{
		Use: "serve --root DIR --listen ADDRESS", Short: "Serve the data sets of a folder", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := proc.WaitForRelease(); err != nil {
				return err
			}
			if err := os.MkdirAll(root, 0o700); err != nil {
				return err
			}
			l, err := net.Listen("tcp4", listen)
			if err != nil {
				return err
			}
			log := componentLogger("files")
			log.Info("serving", "listen", l.Addr().String(), "root", root)
			files := http.FileServer(http.Dir(root))
			srv := &http.Server{ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10,
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					// Serves only published files: no listings of folders, and no hidden files, which are
					// incomplete.
					if r.Method != http.MethodGet || !strings.HasPrefix(r.URL.Path, dataset.SetsPath) || strings.HasSuffix(r.URL.Path, "/") || strings.Contains(r.URL.Path, "/.") {
						http.NotFound(w, r)
						return
					}
					files.ServeHTTP(w, r)
				})}
			onStopSignal(func() { srv.Close() })
			if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		},
	}
	c.Flags().StringVar(&root, "root", "", "the folder")
	c.Flags().StringVar(&listen, "listen", "", "the address to serve at")
	_ = c.MarkFlagRequired("root")
	_ = c.MarkFlagRequired("listen")
	return c
}
