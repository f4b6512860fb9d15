package slope

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	"verbenagate/core/work"
	"verbenagate/io/caller"
	"verbenagate/io/front"
	"verbenagate/io/parse"
	"verbenagate/io/scram"
)

// idleDuration is the period over which the CPU time of idle connections is measured.
const idleDuration = 4 * time.Second

// parallelOpens is the number of connections that connectAll opens concurrently.
const parallelOpens = 16

// Both ends of each connection are in this process, so a limit of 20,000 open files allows 9,800 connections.
var idlePlain = Measurement{
	name: "idle-plain", x: "connections", help: "idle caller connections on one VM, without TLS",
	sizes: []int{1000, 2500, 5000, 9500}, tiny: 20,
	run: func(ctx context.Context, n int) ([]Value, error) { return measureIdle(ctx, n, false) },
}

var idleTLS = Measurement{
	name: "idle-tls", x: "connections", help: "idle caller connections on one VM, with TLS",
	sizes: []int{500, 1000, 2000, 4000}, tiny: 20,
	run: func(ctx context.Context, n int) ([]Value, error) { return measureIdle(ctx, n, true) },
}

// idleBackend opens the sessions of callers on a front whose servers answer each unit immediately.
type idleBackend struct {
	front *front.Front
}

func (b idleBackend) Service(name string) (svcdef.Service, bool) { return b.front.Service(name) }

func (b idleBackend) Open(ctx context.Context, name, user string) (caller.Session, error) {
	return b.front.Open(ctx, name, user)
}

func (idleBackend) ForwardCancel(uint32, []byte) {}

// echoOwner is an owner of servers that answer each unit immediately with the tag SELECT 1.
type echoOwner struct{}

func (echoOwner) Stream(string, string) (work.Stream, error) { return echoOwner{}, nil }

func (echoOwner) Owner(string, string) string { return "" }

func (echoOwner) Barrier(context.Context, front.BarrierQuery) (work.BarrierConfirmation, error) {
	var infos []work.ServerInfo
	for i, s := range definition(0, 0, "").Servers {
		info := work.ServerInfo{Address: s.Address, Term: 1, Applied: 1, Role: port.RoleReplica}
		if i == 0 {
			info.Role = port.RolePrimary
		}
		infos = append(infos, info)
	}
	return work.NewBarrierConfirmation(point.New(1, 1), nil, infos), nil
}

func (echoOwner) Run(_ context.Context, _ work.Unit, sink work.Sink) work.Final {
	frames, err := (&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}).Encode(nil)
	if err == nil {
		err = sink(frames)
	}
	if err != nil {
		return work.FinalFromError(err)
	}
	return work.Final{Code: result.OK, Status: work.TxIdle}
}

func (echoOwner) Cancel() {}

func (echoOwner) Close() {}

// measureIdle opens n connections that each run one statement and then stay idle.
func measureIdle(ctx context.Context, n int, encrypted bool) ([]Value, error) {
	srv, err := idleServer(encrypted)
	if err != nil {
		return nil, err
	}
	defer srv.Close()
	l, err := newLogin()
	if err != nil {
		return nil, err
	}
	if err := openAndQuery(ctx, l, srv, encrypted); err != nil {
		return nil, err
	}
	before, rss, begin := memoryInUse(), residentBytes(), currentUsage()
	open := make([]*client, n)
	defer func() {
		for _, c := range open {
			if c != nil {
				c.close()
			}
		}
	}()
	if err := openAll(ctx, l, srv, encrypted, open); err != nil {
		return nil, err
	}
	opened := currentUsage()
	after, rssAfter := memoryInUse(), residentBytes()
	from := currentUsage()
	if err := sleep(ctx, scaledDuration(ctx, idleDuration)); err != nil {
		return nil, err
	}
	to := currentUsage()
	if srv.Len() != n {
		return nil, fmt.Errorf("%d of %d connections are open", srv.Len(), n)
	}
	return []Value{
		{"heap and stacks", "KB", (after - before) / 1e3},
		{"resident", "KB", (rssAfter - rss) / 1e3},
		{"CPU to open, both ends", "ms", float64(opened.cpu-begin.cpu) / 1e6},
		{"CPU while idle", "ms/s", float64(to.cpu-from.cpu) / 1e6 / to.at.Sub(from.at).Seconds()},
	}, nil
}

func openAndQuery(ctx context.Context, l *login, srv *caller.Server, encrypted bool) error {
	c, err := l.open(ctx, srv.Addr().String(), encrypted)
	if err != nil {
		return err
	}
	defer c.close()
	return c.query("SELECT 1")
}

func openAll(ctx context.Context, l *login, srv *caller.Server, encrypted bool, open []*client) error {
	if err := connectAll(ctx, l, srv.Addr().String(), encrypted, "SELECT 1", open); err != nil {
		return err
	}
	for srv.Len() != len(open) {
		if err := sleep(ctx, time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// connectAll fills open with connections and runs one statement on each. The connections can run no further statements.
func connectAll(ctx context.Context, l *login, addr string, encrypted bool, sql string, open []*client) error {
	errs := make(chan error, parallelOpens)
	var wg sync.WaitGroup
	for k := range parallelOpens {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := k; i < len(open); i += parallelOpens {
				c, err := l.open(ctx, addr, encrypted)
				if err == nil {
					open[i] = c
					err = c.query(sql)
				}
				if err != nil {
					errs <- err
					return
				}
				c.in = nil // so that the client's read buffer is not part of the measured memory
			}
		}()
	}
	wg.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

func idleServer(encrypted bool) (*caller.Server, error) {
	verifier, err := scram.Verifier(password)
	if err != nil {
		return nil, err
	}
	parser := parse.New()
	f := front.New(front.Config{
		DataCentre: "dc0", Owners: echoOwner{}, Parser: parser, BarrierWait: time.Second, Now: time.Now,
		NewIdempotencyKeys: func(svcdef.Service) front.IdempotencyKeys { return noIdempotencyKeys{} }, Logger: discardLogger{},
	})
	f.Configure([]svcdef.Service{svcdef.New(definition(0, 1, verifier))})
	var opts []caller.Option
	if encrypted {
		cert, err := newSelfSignedCert()
		if err != nil {
			return nil, err
		}
		opts = append(opts, caller.WithTLS(&tls.Config{Certificates: []tls.Certificate{cert}}))
	}
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	opts = append(opts, caller.WithMaxCallers(100_000))
	return caller.New(ln, idleBackend{f}, parser, "vm", opts...), nil
}

func newSelfSignedCert() (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, err
}
