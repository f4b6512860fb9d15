package caller

import (
	"bytes"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"verbenagate/core/result"
	"verbenagate/core/sess"
	"verbenagate/core/stmt"
	"verbenagate/core/work"
)

// closedName is the name of a statement that never exists. A Close is passed on with it, so that the statement stays
// prepared for other callers while the CloseComplete comes at its place in the answer.
const closedName = "vg_closed"

// step is what follows from one message of a caller: more, unit, reply, fail or quit.
type step interface{ step() }

// more waits for the next message.
type more struct{}

// unit runs what the cutter has gathered. With flush the answer has no ReadyForQuery.
type unit struct{ flush bool }

// reply answers without a server. With flush the answer has no ReadyForQuery.
type reply struct {
	frames []byte
	flush  bool
}

// fail refuses what the cutter has gathered. With skip, everything up to the next Sync is ignored after the error.
type fail struct {
	err  error
	skip bool
}

// quit ends the connection.
type quit struct{}

func (more) step()  {}
func (unit) step()  {}
func (reply) step() {}
func (fail) step()  {}
func (quit) step()  {}

// op is a change of the session's statement names. It takes effect when the answer confirms it.
type op struct {
	put  bool
	name string
	def  work.Prepared
}

// planned is a statement that the unit parses, describes or binds.
type planned struct {
	infos    []stmt.Info
	executed bool
}

// lookup maps names to numbers. Most units have a few names, for which a slice takes less memory than a map; a unit
// may also have hundreds of thousands, for which a search in a slice takes too long.
type lookup struct {
	few  []named
	many map[string]int
}

type named struct {
	name  string
	value int
}

// maxFew is the number of names that are searched one by one.
const maxFew = 8

func (l *lookup) get(name string) (int, bool) {
	if l.many != nil {
		v, ok := l.many[name]
		return v, ok
	}
	for _, n := range l.few {
		if n.name == name {
			return n.value, true
		}
	}
	return 0, false
}

func (l *lookup) set(name string, value int) {
	if l.many != nil {
		l.many[name] = value
		return
	}
	for i, n := range l.few {
		if n.name == name {
			l.few[i].value = value
			return
		}
	}
	if len(l.few) < maxFew {
		l.few = append(l.few, named{name, value})
		return
	}
	l.many = make(map[string]int, 2*maxFew)
	for _, n := range l.few {
		l.many[n.name] = n.value
	}
	l.many[name] = value
}

// cutter gathers the messages of one caller into units. It has no connection, so that it can be tested alone.
type cutter struct {
	parser stmt.Parser
	names  *sess.PreparedStatements
	max    int // bytes of one unit

	frames   []byte
	infos    []stmt.Info
	prepared []work.Prepared
	ops      []op
	latest   lookup // the last op of each of the caller's names
	planned  []planned
	plans    lookup // index into planned by derived name
	defined  lookup // derived names that this unit parses or has in prepared
	portals  lookup // index into planned
	bind     int    // offset of the first Bind in frames, -1 if there is none
	bound    bool   // a Bind or Execute is in the unit
	remote   bool   // the unit needs a server
	skip     bool   // ignoring messages up to the next Sync
}

func newCutter(p stmt.Parser, names *sess.PreparedStatements, limit int) *cutter {
	return &cutter{parser: p, names: names, max: limit, bind: -1}
}

// empty reports whether the cutter is between units.
func (c *cutter) empty() bool { return len(c.frames) == 0 && !c.skip }

// reset forgets what was gathered; it keeps no memory, since most connections are idle.
func (c *cutter) reset() {
	c.frames, c.infos, c.prepared, c.ops, c.planned = nil, nil, nil, nil, nil
	c.latest, c.plans, c.defined, c.portals = lookup{}, lookup{}, lookup{}, lookup{}
	c.bind, c.bound, c.remote = -1, false, false
}

// fault is an error with an SQLSTATE of its own.
type fault struct {
	error
	state string
}

func failed(state, format string, args ...any) error {
	return fault{error: result.New(result.StatementFailed, format, args...), state: state}
}

func (f fault) Unwrap() error { return f.error }

// feed takes one message. An error means that the caller broke the protocol.
func (c *cutter) feed(typ byte, body []byte) (step, error) {
	if c.skip && typ != 'S' && typ != 'X' {
		return more{}, nil
	}
	switch typ {
	case 'X':
		return quit{}, nil
	case 'Q':
		return c.query(body)
	case 'F':
		return c.call()
	case 'd', 'c', 'f':
		// A caller that began to send data for a COPY before it saw the refusal; PostgreSQL ignores these as well.
		return more{}, nil
	case 'S':
		return c.sync(body)
	case 'H':
		return c.flush(body)
	case 'P', 'B', 'D', 'E', 'C':
		if len(c.frames)+len(body) > c.max {
			return c.refuse(result.New(result.TooLarge, "messages up to Sync exceed the limit of %d bytes", c.max)), nil
		}
	}
	var err error
	switch typ {
	case 'P':
		err = c.parse(body)
	case 'B':
		err = c.bindTo(body)
	case 'D':
		err = c.describe(body)
	case 'E':
		err = c.execute(body)
	case 'C':
		err = c.close(body)
	default:
		return nil, result.New(result.ProtocolError, "message type %q is not expected here", typ)
	}
	if result.CodeOf(err) == result.ProtocolError {
		return nil, err
	}
	if err != nil {
		return c.refuse(err), nil
	}
	return more{}, nil
}

func (c *cutter) refuse(err error) step {
	c.reset()
	c.skip = true
	return fail{err: err, skip: true}
}

func (c *cutter) query(body []byte) (step, error) {
	if len(c.frames) > 0 {
		return nil, result.New(result.ProtocolError, "simple query between extended-query messages and their Sync")
	}
	n := bytes.IndexByte(body, 0)
	if n < 0 || n != len(body)-1 {
		return nil, result.New(result.ProtocolError, "query string is not terminated")
	}
	infos, err := c.parser.Parse(string(body[:n]))
	if err != nil {
		return nil, err
	}
	empty := true
	for _, i := range infos {
		if i.Effect() == stmt.EffectRefused {
			return fail{err: result.New(result.Unsupported, "%s", i.Reason())}, nil
		}
		empty = empty && i.Class() == stmt.Empty
	}
	if empty {
		return reply{frames: encode(nil, &pgproto3.EmptyQueryResponse{})}, nil
	}
	c.infos = infos
	c.frames = appendMessage(c.frames, 'Q', body)
	return unit{}, nil
}

func (c *cutter) call() (step, error) {
	if len(c.frames) > 0 {
		return nil, result.New(result.ProtocolError, "function call between extended-query messages and their Sync")
	}
	return fail{err: result.New(result.Unsupported, "function call messages are not supported")}, nil
}

func (c *cutter) sync(body []byte) (step, error) {
	if len(body) != 0 {
		return nil, result.New(result.ProtocolError, "Sync has a body of %d bytes", len(body))
	}
	c.skip = false
	if !c.remote {
		return c.local(false), nil
	}
	c.frames = appendMessage(c.frames, 'S', nil)
	return unit{}, nil
}

// flush ends a unit that only parses or describes. The server gets a Sync, since the unit may be the last one that
// its connection runs for this caller.
func (c *cutter) flush(body []byte) (step, error) {
	switch {
	case len(body) != 0:
		return nil, result.New(result.ProtocolError, "Flush has a body of %d bytes", len(body))
	case c.bound:
		return c.refuse(result.New(result.Unsupported, "Flush after Bind or Execute is not supported; use Sync")), nil
	case len(c.frames) == 0:
		return more{}, nil
	case !c.remote:
		return c.local(true), nil
	}
	c.frames = appendMessage(c.frames, 'S', nil)
	return unit{flush: true}, nil
}

// local answers a unit that has nothing but Close messages of statements.
func (c *cutter) local(flush bool) step {
	var frames []byte
	for _, o := range c.ops {
		c.names.Remove(o.name)
		frames = encode(frames, &pgproto3.CloseComplete{})
	}
	c.reset()
	return reply{frames: frames, flush: flush}
}

func (c *cutter) parse(body []byte) error {
	var m pgproto3.Parse
	if err := m.Decode(body); err != nil {
		return malformed(err)
	}
	if _, ok := c.find(m.Name); ok && m.Name != "" {
		return failed("42P05", "prepared statement %q already exists", m.Name)
	}
	infos, err := c.parser.Parse(m.Query)
	if err != nil {
		return err
	}
	for _, i := range infos {
		if i.Effect() == stmt.EffectRefused {
			return result.New(result.Unsupported, "%s", i.Reason())
		}
	}
	def := sess.NewPrepared(m.Query, m.ParameterOIDs)
	if err := c.room(m.Name, def); err != nil {
		return err
	}
	c.change(op{put: true, name: m.Name, def: def})
	c.defined.set(def.Name, 0)
	c.plan(def.Name, infos)
	m.Name = def.Name
	return c.append(&m)
}

// room checks the limits on statements before a server prepares one that the session could not remember.
func (c *cutter) room(name string, def work.Prepared) error {
	old, ok := c.names.Get(name)
	if err := c.names.Put(name, def); err != nil {
		return err
	}
	c.names.Remove(name)
	if ok {
		return c.names.Put(name, old)
	}
	return nil
}

func (c *cutter) bindTo(body []byte) error {
	var m pgproto3.Bind
	if err := m.Decode(body); err != nil {
		return malformed(err)
	}
	def, err := c.use(m.PreparedStatement)
	if err != nil {
		return err
	}
	infos, err := c.parser.Parse(def.SQL)
	if err != nil {
		return err
	}
	c.portals.set(m.DestinationPortal, c.plan(def.Name, infos))
	if c.bind < 0 {
		c.bind = len(c.frames)
	}
	c.bound = true
	m.PreparedStatement = def.Name
	return c.append(&m)
}

func (c *cutter) describe(body []byte) error {
	var m pgproto3.Describe
	if err := m.Decode(body); err != nil {
		return malformed(err)
	}
	switch m.ObjectType {
	case 'P':
	case 'S':
		def, err := c.use(m.Name)
		if err != nil {
			return err
		}
		infos, err := c.parser.Parse(def.SQL)
		if err != nil {
			return err
		}
		c.plan(def.Name, infos)
		m.Name = def.Name
	default:
		return result.New(result.ProtocolError, "invalid Describe of type %d", m.ObjectType)
	}
	return c.append(&m)
}

func (c *cutter) execute(body []byte) error {
	var m pgproto3.Execute
	if err := m.Decode(body); err != nil {
		return malformed(err)
	}
	if i, ok := c.portals.get(m.Portal); ok {
		c.planned[i].executed = true
		c.infos = append(c.infos, c.planned[i].infos...)
	} else {
		// A portal of an earlier unit of the transaction.
		c.infos = append(c.infos, stmt.NewInfo(stmt.Unknown, stmt.EffectNone, 0, nil, ""))
	}
	c.bound = true
	return c.append(&m)
}

func (c *cutter) close(body []byte) error {
	var m pgproto3.Close
	if err := m.Decode(body); err != nil {
		return malformed(err)
	}
	remote := c.remote
	switch m.ObjectType {
	case 'S':
		c.change(op{name: m.Name})
		m.Name = closedName
	case 'P':
		// The name has no statement; the entry keeps the place of the CloseComplete.
		c.change(op{name: "\x00"})
		remote = true
	default:
		return result.New(result.ProtocolError, "invalid Close of type %d", m.ObjectType)
	}
	err := c.append(&m)
	c.remote = remote
	return err
}

// change notes a change of a name.
func (c *cutter) change(o op) {
	c.latest.set(o.name, len(c.ops))
	c.ops = append(c.ops, o)
}

// find returns a statement by the caller's name, including the changes of this unit.
func (c *cutter) find(name string) (work.Prepared, bool) {
	if i, ok := c.latest.get(name); ok {
		return c.ops[i].def, c.ops[i].put
	}
	return c.names.Get(name)
}

// use finds a statement for a Bind or Describe and adds its definition to the unit.
func (c *cutter) use(name string) (work.Prepared, error) {
	def, ok := c.find(name)
	if !ok {
		if name == "" {
			return def, failed("26000", "unnamed prepared statement does not exist")
		}
		return def, failed("26000", "prepared statement %q does not exist", name)
	}
	if _, ok := c.defined.get(def.Name); ok {
		return def, nil
	}
	c.defined.set(def.Name, 0)
	c.prepared = append(c.prepared, def)
	return def, nil
}

// plan notes a statement that is parsed, described or bound, and returns its index.
func (c *cutter) plan(name string, infos []stmt.Info) int {
	if i, ok := c.plans.get(name); ok {
		return i
	}
	c.plans.set(name, len(c.planned))
	c.planned = append(c.planned, planned{infos: infos})
	return len(c.planned) - 1
}

// statements returns the infos of the executed statements, followed by those of statements that are only planned.
// These have no effect, but anything other than a read must be planned on the primary or in its transaction.
func (c *cutter) statements() []stmt.Info {
	infos := c.infos
	for _, p := range c.planned {
		if p.executed {
			continue
		}
		for _, i := range p.infos {
			if i.Class() != stmt.Read && i.Class() != stmt.Empty {
				i = stmt.NewInfo(stmt.Unknown, stmt.EffectNone, i.Fingerprint(), i.Tables(), "")
			}
			infos = append(infos, i)
		}
	}
	return infos
}

func (c *cutter) append(m pgproto3.FrontendMessage) error {
	b, err := m.Encode(c.frames)
	if err != nil {
		return malformed(err)
	}
	c.frames = b
	c.remote = true
	return nil
}

// confirm applies the first n changes of names.
func (c *cutter) confirm(n int) {
	for _, o := range c.ops[:min(n, len(c.ops))] {
		c.names.Remove(o.name)
		if o.put {
			// room has checked the limits one by one. A unit that exceeds them only with all its statements leaves
			// the last ones undefined, and their use fails as it does for an unknown name.
			_ = c.names.Put(o.name, o.def)
		}
	}
}

// args returns the parameters of the first Bind and their formats. They alias frames.
func (c *cutter) args() ([][]byte, []int16) {
	if c.bind < 0 {
		return nil, nil
	}
	n := int(binary.BigEndian.Uint32(c.frames[c.bind+1:]))
	var m pgproto3.Bind
	if err := m.Decode(c.frames[c.bind+5 : c.bind+1+n]); err != nil {
		return nil, nil
	}
	if m.Parameters == nil {
		m.Parameters = [][]byte{}
	}
	return m.Parameters, m.ParameterFormatCodes
}

func malformed(err error) error {
	return result.Wrap(result.ProtocolError, err, "malformed message: %v", err)
}

func appendMessage(dst []byte, typ byte, body []byte) []byte {
	dst = append(dst, typ)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)+4))
	return append(dst, body...)
}

// encode appends a message of the backend. It fails only for messages beyond 1 GiB.
func encode(dst []byte, m pgproto3.BackendMessage) []byte {
	b, err := m.Encode(dst)
	if err != nil {
		return dst
	}
	return b
}

// text returns the text of a statement of this unit by its derived name.
func (c *cutter) text(name string) string {
	for _, o := range c.ops {
		if o.put && o.def.Name == name {
			return o.def.SQL
		}
	}
	for _, p := range c.prepared {
		if p.Name == name {
			return p.SQL
		}
	}
	return ""
}

// messageLen returns the length of the message at the start of b, its type and length included.
func messageLen(b []byte) int { return 1 + int(binary.BigEndian.Uint32(b[1:5])) }
