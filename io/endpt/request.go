package endpt

import (
	"bytes"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"verbenagate/core/result"
	"verbenagate/core/work"
)

type stepKind uint8

// What the server's next messages answer.
const (
	stepPrepare  stepKind = iota // a Parse that the caller did not send
	stepEvict                    // a Close that the caller did not send
	stepParse                    // a Parse of the caller
	stepSupplied                 // a Parse of the caller that is answered here
	stepBind
	stepDescribe
	stepShape // a Describe of a portal that the caller did not send
	stepExecute
	stepClose
	stepSync
	stepQuery
)

type step struct {
	kind stepKind
	name string
}

// request is what is sent to the server in one go, and the answers to expect.
type request struct {
	out   []byte
	steps []step
}

func (r *request) send(kind stepKind, name string, m pgproto3.FrontendMessage) error {
	out, err := m.Encode(r.out)
	if err != nil {
		return result.Wrap(result.TooLarge, err, "message cannot be encoded")
	}
	r.out = out
	r.steps = append(r.steps, step{kind, name})
	return nil
}

// statement adds the messages that run one statement with text parameters.
func (r *request) statement(sql string, oids []uint32, params ...[]byte) error {
	if err := r.send(stepParse, "", &pgproto3.Parse{Query: sql, ParameterOIDs: oids}); err != nil {
		return err
	}
	if err := r.send(stepBind, "", &pgproto3.Bind{Parameters: params}); err != nil {
		return err
	}
	return r.send(stepExecute, "", &pgproto3.Execute{})
}

func (r *request) sync() { _ = r.send(stepSync, "", &pgproto3.Sync{}) }

// frame is one frontend message of a unit.
type frame struct {
	kind byte
	raw  []byte
	// shape marks a Describe that the caller did not send.
	shape bool
}

func (f frame) body() []byte { return f.raw[5:] }

// name returns the name of the prepared statement that a Parse, Bind, Describe or Close refers to.
func (f frame) name() (string, bool) {
	b := f.body()
	switch f.kind {
	case 'P':
		return cstring(b)
	case 'B':
		i := bytes.IndexByte(b, 0)
		if i < 0 {
			return "", false
		}
		return cstring(b[i+1:])
	case 'D', 'C':
		if len(b) > 0 && b[0] == 'S' {
			return cstring(b[1:])
		}
	}
	return "", false
}

// replies returns how many messages of the server answer the message if it succeeds, not counting those of an Execute.
func (f frame) replies() int {
	switch {
	case f.kind == 'S', f.kind == 'H':
		return 0
	case f.kind == 'D' && len(f.body()) > 0 && f.body()[0] == 'S':
		return 2
	}
	return 1
}

func cstring(b []byte) (string, bool) {
	i := bytes.IndexByte(b, 0)
	if i < 0 {
		return "", false
	}
	return string(b[:i]), true
}

// split cuts the frames of a unit into messages.
func split(frames []byte) ([]frame, error) {
	var list []frame
	for len(frames) > 0 {
		if len(frames) < 5 {
			return nil, result.New(result.ProtocolError, "the unit ends within a message")
		}
		n := int(binary.BigEndian.Uint32(frames[1:5])) + 1
		if n < 5 || n > len(frames) {
			return nil, result.New(result.ProtocolError, "message %q of %d bytes in a unit", frames[0], n)
		}
		list = append(list, frame{kind: frames[0], raw: frames[:n]})
		frames = frames[n:]
	}
	if len(list) == 0 {
		return nil, result.New(result.ProtocolError, "the unit holds no message")
	}
	return list, nil
}

var stepOf = map[byte]stepKind{
	'P': stepParse, 'B': stepBind, 'D': stepDescribe, 'E': stepExecute, 'C': stepClose, 'S': stepSync, 'Q': stepQuery,
}

// build makes the request of a unit for a connection: it prepares what the connection lacks and leaves out what it has.
func (c *conn) build(list []frame, defs []work.Prepared) (request, error) {
	var r request
	inUse, parsed := map[string]bool{}, map[string]bool{}
	for _, f := range list {
		if _, ok := stepOf[f.kind]; !ok && f.kind != 'H' {
			return r, result.New(result.Unsupported, "message %q cannot be passed to a server", f.kind)
		}
		if name, ok := f.name(); ok {
			inUse[name] = true
			if f.kind == 'P' && !c.hasPrepared(name) {
				parsed[name] = true
			}
			c.touchPrepared(name)
		}
	}
	var missing []work.Prepared
	for _, d := range defs {
		if !c.hasPrepared(d.Name) && !parsed[d.Name] {
			missing = append(missing, d)
		}
		inUse[d.Name] = true
	}
	for _, name := range c.evict(len(missing)+len(parsed), inUse) {
		if err := r.send(stepEvict, name, &pgproto3.Close{ObjectType: 'S', Name: name}); err != nil {
			return r, err
		}
	}
	for _, d := range missing {
		m := pgproto3.Parse{Name: d.Name, Query: d.SQL, ParameterOIDs: d.ParamOIDs}
		if err := r.send(stepPrepare, d.Name, &m); err != nil {
			return r, err
		}
	}
	has := map[string]bool{}
	for name := range inUse {
		has[name] = c.hasPrepared(name)
	}
	for _, f := range list {
		c.add(&r, f, has)
	}
	if last := r.steps[len(r.steps)-1].kind; last != stepSync && last != stepQuery {
		r.sync()
	}
	return r, nil
}

// add appends one message of a unit to the request.
func (c *conn) add(r *request, f frame, has map[string]bool) {
	if f.kind == 'H' {
		return // the Sync that ends the request flushes as well
	}
	name, _ := f.name()
	kind := stepOf[f.kind]
	if f.shape {
		kind = stepShape
	}
	switch kind {
	case stepParse:
		if has[name] && name != "" {
			r.steps = append(r.steps, step{stepSupplied, name})
			return
		}
		has[name] = true
	case stepClose:
		if name != "" {
			has[name] = false
		}
	}
	r.out = append(r.out, f.raw...)
	r.steps = append(r.steps, step{kind, name})
}
