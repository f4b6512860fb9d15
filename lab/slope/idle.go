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

// idleTime is how long the CPU of idle connections is counted.
const idleTime = 4 * time.Second

// openers is how many connections are opened at the same time.
const openers = 16

// Both ends of each connection are in this process, so a limit of 20,000 open files allows 9,800 connections.
var idlePlain = Measurement{
	name: "idle-plain", x: "connections", help: "idle caller connections on one VM, without TLS",
	sizes: []int{1000, 2500, 5000, 9500}, tiny: 20,
	run: func(ctx context.Context, n int) ([]Value, error) { return idle(ctx, n, false) },
}

var idleTLS = Measurement{
	name: "idle-tls", x: "connections", help: "idle caller connections on one VM, with TLS",
	sizes: []int{500, 1000, 2000, 4000}, tiny: 20,
	run: func(ctx context.Context, n int) ([]Value, error) { return idle(ctx, n, true) },
}

// idleBackend runs the sessions of a front whose servers answer each unit at once.
type idleBackend struct {
	front *front.Front
}

func (b idleBackend) Service(name string) (svcdef.Service, bool) { return b.front.Service(name) }

func (b idleBackend) Open(ctx context.Context, name, user string) (caller.Session, error) {
	return b.front.Open(ctx, name, user)
}

func (idleBackend) ForwardCancel(uint32, []byte) {}

// echo is an owner whose server answers at once.
type echo struct{}

func (echo) Stream(string, string) (work.Stream, error) { return echo{}, nil }

func (echo) Owner(string, string) string { return "" }

func (echo) Barrier(context.Context, front.BarrierQuery) (work.BarrierConfirmation, error) {
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

func (echo) Run(_ context.Context, _ work.Unit, sink work.Sink) work.Final {
	frames, err := (&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}).Encode(nil)
	if err == nil {
		err = sink(frames)
	}
	if err != nil {
		return work.FinalFromError(err)
	}
	return work.Final{Code: result.OK, Status: work.TxIdle}
}

func (echo) Cancel() {}

func (echo) Close() {}

// idle opens connections that run one statement each and then stay idle.
func idle(ctx context.Context, n int, encrypted bool) ([]Value, error) {
	srv, err := idleServer(encrypted)
	if err != nil {
		return nil, err
	}
	defer srv.Close()
	l, err := newLogin()
	if err != nil {
		return nil, err
	}
	if err := openOne(ctx, l, srv, encrypted); err != nil {
		return nil, err
	}
	before, rss, begin := memory(), resident(), used()
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
	opened := used()
	after, rssAfter := memory(), resident()
	from := used()
	if err := wait(ctx, span(ctx, idleTime)); err != nil {
		return nil, err
	}
	to := used()
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

func openOne(ctx context.Context, l *login, srv *caller.Server, encrypted bool) error {
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
		if err := wait(ctx, time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// connectAll opens connections that run one statement each.
func connectAll(ctx context.Context, l *login, addr string, encrypted bool, sql string, open []*client) error {
	errs := make(chan error, openers)
	var wg sync.WaitGroup
	for k := range openers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := k; i < len(open); i += openers {
				c, err := l.open(ctx, addr, encrypted)
				if err == nil {
					open[i] = c
					err = c.query(sql)
				}
				if err != nil {
					errs <- err
					return
				}
				c.in = nil // the buffer of the client does not count
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
		DataCentre: "dc0", Owners: echo{}, Parser: parser, BarrierWait: time.Second, Now: time.Now,
		NewIdempotencyKeys: func(svcdef.Service) front.IdempotencyKeys { return noIdempotencyKeys{} }, Logger: noLog{},
	})
	f.Configure([]svcdef.Service{svcdef.New(definition(0, 1, verifier))})
	var opts []caller.Option
	if encrypted {
		cert, err := certificate()
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

func certificate() (tls.Certificate, error) {
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
