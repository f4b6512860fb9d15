package labcli

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"verbenagate/core/port"
	"verbenagate/lab/exper"
	"verbenagate/lab/load"
	"verbenagate/lab/plat"
	"verbenagate/lab/server"
)

// readHeaderTimeout bounds the time in which the control interface must receive the header of a request.
const readHeaderTimeout = 2 * time.Second

// decode reads a YAML file into out. The error contains the line and column.
func decode(path string, out any) error {
	if err := exper.Decode(path, out); err != nil {
		return usageError{err}
	}
	return nil
}

// endpointCmd runs one stand-in database server.
type endpointCmd struct {
	Config string `yaml:"-" help:"YAML file with the settings; it replaces all other flags but --control." type:"path"`
	// The settings are both flags and keys of the file. They are in a separate struct, which the file is decoded into.
	endpointSettings `embed:"" yaml:"-"`
	Control          string `yaml:"-" help:"Address of the control interface." default:"127.0.0.1:0"`
}

type endpointSettings struct {
	Listen      string        `yaml:"listen" help:"Address to listen on." default:"127.0.0.1:0"`
	Advertise   string        `yaml:"advertise" help:"Address that a replica reports as its own."`
	User        string        `yaml:"user" help:"User that may log in." default:"verbenagate"`
	Password    string        `yaml:"password" help:"Password of the user; none turns authentication off."`
	Scram       bool          `yaml:"scram" help:"Ask for SCRAM-SHA-256 instead of a clear-text password."`
	Primary     bool          `yaml:"primary" help:"Start as the primary."`
	Term        uint64        `yaml:"term" help:"Term to start in." default:"1"`
	Follow      string        `yaml:"follow" help:"Address of the primary to follow."`
	Slots       int           `yaml:"slots" help:"Statements that run at the same time; 0 for no bound." default:"5"`
	Connections int           `yaml:"connections" help:"Limit of connections; 0 for no bound." default:"35"`
	OpenDelay   time.Duration `yaml:"open_delay" help:"Time to open a connection." default:"12ms"`
	ServiceTime time.Duration `yaml:"service_time" help:"Time for which a statement holds its slot in addition to its execution time."`
	NetDelay    time.Duration `yaml:"net_delay" help:"One-way latency of replication."`
	Lag         time.Duration `yaml:"lag" help:"Time from receiving to applying a log entry."`
	Schema      string        `yaml:"schema" help:"SQL that creates the tables." placeholder:"SQL"`
	LoadSchema  bool          `yaml:"load_schema" help:"Create the tables of the load."`
}

// Run implements the command.
func (c *endpointCmd) Run(r *run) error {
	s := c.endpointSettings
	if c.Config != "" {
		s = endpointSettings{
			Listen: "127.0.0.1:0", User: "verbenagate", Term: 1, Slots: 5, Connections: 35, OpenDelay: server.DefaultOpenDelay,
		}
		if err := decode(c.Config, &s); err != nil {
			return err
		}
	}
	schema := s.Schema
	if s.LoadSchema {
		schema += load.Schema
	}
	srv, err := server.New(server.Config{
		Listen: s.Listen, Advertise: s.Advertise, User: s.User, Password: s.Password, Scram: s.Scram, Primary: s.Primary,
		Term: s.Term, Follow: s.Follow, Slots: s.Slots, MaxConnections: s.Connections, OpenDelay: s.OpenDelay,
		ServiceTime: s.ServiceTime, NetDelay: s.NetDelay, Lag: s.Lag, Schema: schema,
	})
	if err != nil {
		return err
	}
	defer srv.Close()
	return r.serve(srv.Addr(), c.Control, endpointFaults(srv), func() any { return endpointStatus(srv) })
}

// status is the answer of a server's control interface to GET /status.
type status struct {
	Status         port.Status `json:"status"`
	MaxConnections int         `json:"max_connections"`
	MaxRunning     int         `json:"max_running"`
	Refused        int         `json:"refused_connections"`
}

func endpointStatus(srv *server.Server) status {
	return status{srv.Status(), srv.MaxConnections(), srv.MaxRunning(), srv.RefusedConnections()}
}

// fault injects a fault into a stand-in, or ends one. Value is the parameter of the request.
type fault func(value string) error

func durationFault(set func(time.Duration)) fault {
	return func(v string) error {
		d, err := time.ParseDuration(v)
		if err == nil {
			set(d)
		}
		return err
	}
}

func boolFault(set func(bool)) fault {
	return func(v string) error {
		b, err := strconv.ParseBool(v)
		if err == nil {
			set(b)
		}
		return err
	}
}

func actionFault(action func()) fault {
	return func(string) error {
		action()
		return nil
	}
}

func endpointFaults(srv *server.Server) map[string]fault {
	return map[string]fault{
		"lag":             durationFault(srv.SetLag),
		"net-delay":       durationFault(srv.SetNetDelay),
		"service-time":    durationFault(srv.SetServiceTime),
		"leaving":         boolFault(srv.SetLeaving),
		"cut-replication": boolFault(srv.CutReplication),
		"freeze":          actionFault(srv.Freeze),
		"unfreeze":        actionFault(srv.Unfreeze),
		"crash":           actionFault(srv.Crash),
		"restart":         func(string) error { return srv.Restart() },
	}
}

type platformCmd struct {
	Config           string `help:"YAML file with the settings; it replaces all other flags but --control." type:"path"`
	platformSettings `embed:"" yaml:"-"`
	Control          string `help:"Address of the control interface." default:"127.0.0.1:0"`
}

type platformSettings struct {
	Listen  string        `yaml:"listen" help:"Address to listen on." default:"127.0.0.1:0"`
	ListLag time.Duration `yaml:"list_lag" help:"Delay of the list of VMs."`
}

// Run implements the command.
func (c *platformCmd) Run(r *run) error {
	s := c.platformSettings
	if c.Config != "" {
		s = platformSettings{Listen: "127.0.0.1:0"}
		if err := decode(c.Config, &s); err != nil {
			return err
		}
	}
	p, err := plat.New(plat.Config{Listen: s.Listen, ListLag: s.ListLag})
	if err != nil {
		return err
	}
	defer p.Close()
	return r.serve(p.Addr(), c.Control, platformFaults(p), func() any {
		reads, writes := p.Counts()
		return map[string]int{"reads": reads, "writes": writes}
	})
}

func platformFaults(p *plat.Platform) map[string]fault {
	return map[string]fault{
		"down":     boolFault(p.SetDown),
		"delay":    durationFault(p.SetDelay),
		"list-lag": durationFault(p.SetListLag),
		"lose-answers": func(v string) error {
			n, err := strconv.Atoi(v)
			if err == nil {
				p.LoseAnswers(n)
			}
			return err
		},
		"loss": func(v string) error {
			f, err := strconv.ParseFloat(v, 64)
			if err == nil {
				p.SetLoss(f, 1)
			}
			return err
		},
	}
}

// serve prints the address of a stand-in on the first line and the URL of its control interface on the second, and serves the
// control interface until the context of the command is cancelled.
func (r *run) serve(addr, control string, faults map[string]fault, status func() any) error {
	ln, err := net.Listen("tcp", control)
	if err != nil {
		return fmt.Errorf("control interface: listen on %s: %w", control, err)
	}
	srv := &http.Server{Handler: controlHandler(faults, status), ReadHeaderTimeout: readHeaderTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(ln) }()
	fmt.Fprintf(r.app.out, "%s\ncontrol http://%s\n", addr, ln.Addr())
	select {
	case <-r.ctx.Done():
		_ = srv.Close()
		<-serveErr
		return nil
	case err := <-serveErr:
		return err
	}
}

// controlHandler serves GET /status, GET /faults and POST /faults/NAME?value=VALUE.
func controlHandler(faults map[string]fault, status func() any) http.Handler {
	mux := http.NewServeMux()
	writeJSONAnswer := func(w http.ResponseWriter, v any) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	}
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSONAnswer(w, status()) })
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		var names []string
		for n := range faults {
			names = append(names, n)
		}
		slices.Sort(names)
		writeJSONAnswer(w, names)
	})
	mux.HandleFunc("POST /faults/{name}", func(w http.ResponseWriter, q *http.Request) {
		f := faults[q.PathValue("name")]
		if f == nil {
			http.Error(w, fmt.Sprintf("fault %q does not exist", q.PathValue("name")), http.StatusNotFound)
			return
		}
		if err := f(q.FormValue("value")); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSONAnswer(w, status())
	})
	return mux
}
