package slope

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"io"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

// login opens connections with one shared SCRAM client, which derives the keys from the password only once.
type login struct {
	client *scram.Client
	from   net.Addr // local address of the connections; chosen by the system if nil
}

func newLogin() (*login, error) {
	c, err := scram.SHA256.NewClient("", password, "")
	return &login{client: c}, err
}

// client is a caller connection that uses as little CPU and memory as possible, since it may share the measured process.
type client struct {
	net net.Conn
	in  *bufio.Reader
}

// open connects and logs in.
func (l *login) open(ctx context.Context, addr string, encrypted bool) (*client, error) {
	nc, err := (&net.Dialer{LocalAddr: l.from}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &client{net: nc, in: bufio.NewReaderSize(nc, 1024)}
	if encrypted {
		err = c.encrypt()
	}
	if err == nil {
		err = l.authenticate(c)
	}
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	return c, nil
}

func (c *client) encrypt() error {
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return err
	}
	if _, err := c.net.Write(request); err != nil {
		return err
	}
	reply, err := c.in.ReadByte()
	if err != nil || reply != 'S' {
		return fmt.Errorf("VM answered %q to the SSLRequest: %w", reply, err)
	}
	// The certificate of the measurement is signed by no authority that the client trusts.
	c.net = tls.Client(c.net, &tls.Config{InsecureSkipVerify: true})
	c.in.Reset(c.net)
	return nil
}

func (l *login) authenticate(c *client) error {
	conv := l.client.NewConversation()
	if err := c.send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": user, "database": service},
	}); err != nil {
		return err
	}
	for {
		typ, body, err := c.receive()
		if err != nil {
			return err
		}
		switch typ {
		case 'Z':
			return nil
		case 'E':
			return fmt.Errorf("VM refused the login: %q", body)
		case 'R':
			if err := continueSCRAM(c, conv, body); err != nil {
				return err
			}
		}
	}
}

// continueSCRAM answers one authentication message of the VM.
func continueSCRAM(c *client, conv *scram.ClientConversation, body []byte) error {
	switch binary.BigEndian.Uint32(body) {
	case pgproto3.AuthTypeSASL:
		first, err := conv.Step("")
		if err != nil {
			return err
		}
		return c.send(&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-256", Data: []byte(first)})
	case pgproto3.AuthTypeSASLContinue:
		next, err := conv.Step(string(body[4:]))
		if err != nil {
			return err
		}
		return c.send(&pgproto3.SASLResponse{Data: []byte(next)})
	case pgproto3.AuthTypeSASLFinal:
		_, err := conv.Step(string(body[4:]))
		return err
	}
	return nil
}

func (c *client) send(m pgproto3.FrontendMessage) error {
	b, err := m.Encode(nil)
	if err == nil {
		_, err = c.net.Write(b)
	}
	return err
}

// receive reads one message and returns its type and body.
func (c *client) receive() (byte, []byte, error) {
	var head [5]byte
	if _, err := io.ReadFull(c.in, head[:]); err != nil {
		return 0, nil, err
	}
	body := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	_, err := io.ReadFull(c.in, body)
	return head[0], body, err
}

// query runs a statement and discards its rows.
func (c *client) query(sql string) error {
	if err := c.send(&pgproto3.Query{String: sql}); err != nil {
		return err
	}
	var failure error
	for {
		typ, body, err := c.receive()
		switch {
		case err != nil:
			return err
		case typ == 'E':
			failure = fmt.Errorf("statement %q failed: %q", sql, body)
		case typ == 'Z':
			return failure
		}
	}
}

func (c *client) close() { _ = c.net.Close() }
