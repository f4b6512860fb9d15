package endpt

import (
	"bytes"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"verbenagate/core/result"
	"verbenagate/core/work"
)

type stepKind uint8

// The kinds of steps of a request.
const (
	stepInjectedParse stepKind = iota // a Parse that the caller did not send
	stepInjectedClose                 // a Close that the caller did not send
	stepParse                         // a Parse of the caller
	stepOmittedParse                  // a Parse of the caller that is answered here, since the connection has the statement
	stepBind
	stepDescribe
	stepInjectedDescribe // a Describe of a portal that the caller did not send
	stepExecute
	stepClose
	stepSync
	stepQuery
)

type step struct {
	kind stepKind
	name string
}

// request is the bytes that are sent to the server in one go, and the steps whose answers are expected.
type request struct {
	out   []byte
	steps []step
}

func (r *request) send(kind stepKind, name string, m pgproto3.FrontendMessage) error {
	out, err := m.Encode(r.out)
	if err != nil {
		return result.Wrap(result.TooLarge, err, "a message for the server cannot be encoded")
	}
	r.out = out
	r.steps = append(r.steps, step{kind, name})
	return nil
}

// addStatement adds the messages that run one statement with text parameters.
func (r *request) addStatement(sql string, oids []uint32, params ...[]byte) error {
	if err := r.send(stepParse, "", &pgproto3.Parse{Query: sql, ParameterOIDs: oids}); err != nil {
		return err
	}
	if err := r.send(stepBind, "", &pgproto3.Bind{Parameters: params}); err != nil {
		return err
	}
	return r.send(stepExecute, "", &pgproto3.Execute{})
}

func (r *request) addSync() { _ = r.send(stepSync, "", &pgproto3.Sync{}) }

// frame is one frontend message of a unit.
type frame struct {
	kind byte
	raw  []byte
	// injected marks a Describe that the caller did not send.
	injected bool
}

func (f frame) body() []byte { return f.raw[5:] }

// statementName returns the name of the prepared statement that a Parse, Bind, Describe or Close refers to.
func (f frame) statementName() (string, bool) {
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

// replyCount returns the number of messages with which the server answers the frame if it succeeds. It does not count
// those of an Execute.
func (f frame) replyCount() int {
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

// splitFrames splits the frames of a unit into messages.
func splitFrames(frames []byte) ([]frame, error) {
	var list []frame
	for len(frames) > 0 {
		if len(frames) < 5 {
			return nil, result.New(result.ProtocolError, "the unit ends in the middle of a message")
		}
		n := int(binary.BigEndian.Uint32(frames[1:5])) + 1
		if n < 5 || n > len(frames) {
			return nil, result.New(result.ProtocolError, "the unit holds message %q with the invalid size of %d bytes", frames[0], n)
		}
		list = append(list, frame{kind: frames[0], raw: frames[:n]})
		frames = frames[n:]
	}
	if len(list) == 0 {
		return nil, result.New(result.ProtocolError, "the unit holds no message")
	}
	return list, nil
}

var stepKinds = map[byte]stepKind{
	'P': stepParse, 'B': stepBind, 'D': stepDescribe, 'E': stepExecute, 'C': stepClose, 'S': stepSync, 'Q': stepQuery,
}

// buildRequest makes the request of a unit for a connection. It injects a Parse for each statement that the connection
// lacks, and omits the Parse of each one that it has.
func (c *conn) buildRequest(frames []frame, defs []work.Prepared) (request, error) {
	var r request
	inUse, parsed := map[string]bool{}, map[string]bool{}
	for _, f := range frames {
		if _, ok := stepKinds[f.kind]; !ok && f.kind != 'H' {
			return r, result.New(result.Unsupported, "message %q cannot be passed to a server", f.kind)
		}
		if name, ok := f.statementName(); ok {
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
	for _, name := range c.evictPrepared(len(missing)+len(parsed), inUse) {
		if err := r.send(stepInjectedClose, name, &pgproto3.Close{ObjectType: 'S', Name: name}); err != nil {
			return r, err
		}
	}
	for _, d := range missing {
		m := pgproto3.Parse{Name: d.Name, Query: d.SQL, ParameterOIDs: d.ParamOIDs}
		if err := r.send(stepInjectedParse, d.Name, &m); err != nil {
			return r, err
		}
	}
	prepared := map[string]bool{}
	for name := range inUse {
		prepared[name] = c.hasPrepared(name)
	}
	for _, f := range frames {
		c.addFrame(&r, f, prepared)
	}
	if last := r.steps[len(r.steps)-1].kind; last != stepSync && last != stepQuery {
		r.addSync()
	}
	return r, nil
}

// addFrame appends one message of a unit to the request. prepared tells which statements the connection has at this
// step of the request.
func (c *conn) addFrame(r *request, f frame, prepared map[string]bool) {
	if f.kind == 'H' {
		return // the Sync at the end of the request also flushes
	}
	name, _ := f.statementName()
	kind := stepKinds[f.kind]
	if f.injected {
		kind = stepInjectedDescribe
	}
	switch kind {
	case stepParse:
		if prepared[name] && name != "" {
			r.steps = append(r.steps, step{stepOmittedParse, name})
			return
		}
		prepared[name] = true
	case stepClose:
		if name != "" {
			prepared[name] = false
		}
	}
	r.out = append(r.out, f.raw...)
	r.steps = append(r.steps, step{kind, name})
}
