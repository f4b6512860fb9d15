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

// closedName is the name of a statement that never exists. A caller's Close of a statement is forwarded with this name,
// so that the server sends CloseComplete at the right place in the answer but keeps the statement for other callers.
const closedName = "vg_closed"

// action is what the connection does after a message of a caller: readMore, runUnit, sendReply, sendError or
// endConnection.
type action interface{ action() }

// readMore reads the next message; the unit is not yet complete.
type readMore struct{}

// runUnit runs the unit that the unitBuilder has built. With flush the answer has no ReadyForQuery.
type runUnit struct{ flush bool }

// sendReply sends frames as the answer, without a server. With flush the answer has no ReadyForQuery.
type sendReply struct {
	frames []byte
	flush  bool
}

// sendError refuses the unit that the unitBuilder was building. With skipToSync, the messages up to the next Sync are
// ignored after the error.
type sendError struct {
	err        error
	skipToSync bool
}

// endConnection closes the connection, as the caller asked.
type endConnection struct{}

func (readMore) action()      {}
func (runUnit) action()       {}
func (sendReply) action()     {}
func (sendError) action()     {}
func (endConnection) action() {}

// nameChange defines or removes a prepared statement of the session. It takes effect when the server's answer confirms
// it.
type nameChange struct {
	define bool   // false if the name is removed
	name   string // the caller's name
	def    work.Prepared
}

// plannedStatement is a statement that the unit parses, describes or binds.
type plannedStatement struct {
	infos    []stmt.Info
	executed bool
}

// nameIndex maps names to numbers. Most units have few names, for which a slice takes less memory than a map. A unit may
// also have hundreds of thousands of names, for which a linear search takes too long.
type nameIndex struct {
	list   []nameEntry
	byName map[string]int
}

type nameEntry struct {
	name  string
	value int
}

// maxListedNames is the number of names up to which nameIndex uses a slice.
const maxListedNames = 8

func (x *nameIndex) get(name string) (int, bool) {
	if x.byName != nil {
		v, ok := x.byName[name]
		return v, ok
	}
	for _, n := range x.list {
		if n.name == name {
			return n.value, true
		}
	}
	return 0, false
}

func (x *nameIndex) set(name string, value int) {
	if x.byName != nil {
		x.byName[name] = value
		return
	}
	for i, n := range x.list {
		if n.name == name {
			x.list[i].value = value
			return
		}
	}
	if len(x.list) < maxListedNames {
		x.list = append(x.list, nameEntry{name, value})
		return
	}
	x.byName = make(map[string]int, 2*maxListedNames)
	for _, n := range x.list {
		x.byName[n.name] = n.value
	}
	x.byName[name] = value
}

// unitBuilder collects the messages of one caller into units. It doesn't use the connection, so that it can be tested
// alone.
type unitBuilder struct {
	parser            stmt.Parser
	sessionStatements *sess.PreparedStatements
	maxUnitBytes      int

	frames           []byte
	infos            []stmt.Info
	prepared         []work.Prepared
	nameChanges      []nameChange
	latestChange     nameIndex // index into nameChanges of the last change of each of the caller's names
	planned          []plannedStatement
	plannedByName    nameIndex // index into planned by derived statement name
	definedNames     nameIndex // derived names of the statements that this unit parses or has in prepared
	plannedByPortal  nameIndex // index into planned by portal name
	firstBind        int       // offset of the first Bind in frames, -1 if there is none
	hasBindOrExecute bool      // the unit contains a Bind or Execute
	needsServer      bool      // the unit contains a message other than a Close of a statement
	skipToSync       bool      // messages up to the next Sync are ignored, after an error
}

func newUnitBuilder(p stmt.Parser, sessionStatements *sess.PreparedStatements, limit int) *unitBuilder {
	return &unitBuilder{parser: p, sessionStatements: sessionStatements, maxUnitBytes: limit, firstBind: -1}
}

// empty reports whether no message of a unit is collected and none is being ignored.
func (u *unitBuilder) empty() bool { return len(u.frames) == 0 && !u.skipToSync }

// reset drops the collected messages and keeps no memory, because most connections are idle.
func (u *unitBuilder) reset() {
	u.frames, u.infos, u.prepared, u.nameChanges, u.planned = nil, nil, nil, nil, nil
	u.latestChange, u.plannedByName, u.definedNames, u.plannedByPortal = nameIndex{}, nameIndex{}, nameIndex{}, nameIndex{}
	u.firstBind, u.hasBindOrExecute, u.needsServer = -1, false, false
}

// sqlStateError is an error with an SQLSTATE that replaces that of its result code.
type sqlStateError struct {
	error
	sqlState string
}

func statementError(sqlState, format string, args ...any) error {
	return sqlStateError{error: result.New(result.StatementFailed, format, args...), sqlState: sqlState}
}

func (e sqlStateError) Unwrap() error { return e.error }

// feed adds one message and returns what the connection does next. An error means that the caller violated the protocol.
func (u *unitBuilder) feed(typ byte, body []byte) (action, error) {
	if u.skipToSync && typ != 'S' && typ != 'X' {
		return readMore{}, nil
	}
	switch typ {
	case 'X':
		return endConnection{}, nil
	case 'Q':
		return u.query(body)
	case 'F':
		return u.functionCall()
	case 'd', 'c', 'f':
		// The caller began to send data for a COPY before it received the refusal. PostgreSQL ignores these messages too.
		return readMore{}, nil
	case 'S':
		return u.sync(body)
	case 'H':
		return u.flush(body)
	case 'P', 'B', 'D', 'E', 'C':
		if len(u.frames)+len(body) > u.maxUnitBytes {
			return u.refuse(result.New(result.TooLarge, "messages up to Sync exceed the limit of %d bytes", u.maxUnitBytes)), nil
		}
	}
	var err error
	switch typ {
	case 'P':
		err = u.parse(body)
	case 'B':
		err = u.bind(body)
	case 'D':
		err = u.describe(body)
	case 'E':
		err = u.execute(body)
	case 'C':
		err = u.close(body)
	default:
		return nil, result.New(result.ProtocolError, "message type %q is not expected here", typ)
	}
	if result.CodeOf(err) == result.ProtocolError {
		return nil, err
	}
	if err != nil {
		return u.refuse(err), nil
	}
	return readMore{}, nil
}

func (u *unitBuilder) refuse(err error) action {
	u.reset()
	u.skipToSync = true
	return sendError{err: err, skipToSync: true}
}

func (u *unitBuilder) query(body []byte) (action, error) {
	if len(u.frames) > 0 {
		return nil, result.New(result.ProtocolError, "simple query between extended-query messages and their Sync")
	}
	n := bytes.IndexByte(body, 0)
	if n < 0 || n != len(body)-1 {
		return nil, result.New(result.ProtocolError, "query string is not terminated")
	}
	infos, err := u.parser.Parse(string(body[:n]))
	if err != nil {
		return nil, err
	}
	empty := true
	for _, i := range infos {
		if i.Effect() == stmt.EffectRefused {
			return sendError{err: result.New(result.Unsupported, "%s", i.Reason())}, nil
		}
		empty = empty && i.Class() == stmt.Empty
	}
	if empty {
		return sendReply{frames: encode(nil, &pgproto3.EmptyQueryResponse{})}, nil
	}
	u.infos = infos
	u.frames = appendMessage(u.frames, 'Q', body)
	return runUnit{}, nil
}

func (u *unitBuilder) functionCall() (action, error) {
	if len(u.frames) > 0 {
		return nil, result.New(result.ProtocolError, "function call between extended-query messages and their Sync")
	}
	return sendError{err: result.New(result.Unsupported, "function call messages are not supported")}, nil
}

func (u *unitBuilder) sync(body []byte) (action, error) {
	if len(body) != 0 {
		return nil, result.New(result.ProtocolError, "Sync has a body of %d bytes", len(body))
	}
	u.skipToSync = false
	if !u.needsServer {
		return u.answerLocally(false), nil
	}
	u.frames = appendMessage(u.frames, 'S', nil)
	return runUnit{}, nil
}

// flush ends a unit that only parses or describes. The server gets a Sync instead, because the unit may be the last one
// that the server connection runs for this caller.
func (u *unitBuilder) flush(body []byte) (action, error) {
	switch {
	case len(body) != 0:
		return nil, result.New(result.ProtocolError, "Flush has a body of %d bytes", len(body))
	case u.hasBindOrExecute:
		return u.refuse(result.New(result.Unsupported, "Flush after Bind or Execute is not supported; use Sync")), nil
	case len(u.frames) == 0:
		return readMore{}, nil
	case !u.needsServer:
		return u.answerLocally(true), nil
	}
	u.frames = appendMessage(u.frames, 'S', nil)
	return runUnit{flush: true}, nil
}

// answerLocally answers a unit that consists only of Close messages for statements.
func (u *unitBuilder) answerLocally(flush bool) action {
	var frames []byte
	for _, change := range u.nameChanges {
		u.sessionStatements.Remove(change.name)
		frames = encode(frames, &pgproto3.CloseComplete{})
	}
	u.reset()
	return sendReply{frames: frames, flush: flush}
}

func (u *unitBuilder) parse(body []byte) error {
	var m pgproto3.Parse
	if err := m.Decode(body); err != nil {
		return malformedError(err)
	}
	if _, ok := u.findStatement(m.Name); ok && m.Name != "" {
		return statementError("42P05", "prepared statement %q already exists", m.Name)
	}
	infos, err := u.parser.Parse(m.Query)
	if err != nil {
		return err
	}
	for _, i := range infos {
		if i.Effect() == stmt.EffectRefused {
			return result.New(result.Unsupported, "%s", i.Reason())
		}
	}
	def := sess.NewPrepared(m.Query, m.ParameterOIDs)
	if err := u.checkStatementLimits(m.Name, def); err != nil {
		return err
	}
	u.addNameChange(nameChange{define: true, name: m.Name, def: def})
	u.definedNames.set(def.Name, 0)
	u.addPlanned(def.Name, infos)
	m.Name = def.Name
	return u.append(&m)
}

// checkStatementLimits returns an error if the session's limits don't allow one more statement. It runs before a server
// prepares the statement.
func (u *unitBuilder) checkStatementLimits(name string, def work.Prepared) error {
	old, ok := u.sessionStatements.Get(name)
	if err := u.sessionStatements.Put(name, def); err != nil {
		return err
	}
	u.sessionStatements.Remove(name)
	if ok {
		return u.sessionStatements.Put(name, old)
	}
	return nil
}

func (u *unitBuilder) bind(body []byte) error {
	var m pgproto3.Bind
	if err := m.Decode(body); err != nil {
		return malformedError(err)
	}
	def, err := u.useStatement(m.PreparedStatement)
	if err != nil {
		return err
	}
	infos, err := u.parser.Parse(def.SQL)
	if err != nil {
		return err
	}
	u.plannedByPortal.set(m.DestinationPortal, u.addPlanned(def.Name, infos))
	if u.firstBind < 0 {
		u.firstBind = len(u.frames)
	}
	u.hasBindOrExecute = true
	m.PreparedStatement = def.Name
	return u.append(&m)
}

func (u *unitBuilder) describe(body []byte) error {
	var m pgproto3.Describe
	if err := m.Decode(body); err != nil {
		return malformedError(err)
	}
	switch m.ObjectType {
	case 'P':
	case 'S':
		def, err := u.useStatement(m.Name)
		if err != nil {
			return err
		}
		infos, err := u.parser.Parse(def.SQL)
		if err != nil {
			return err
		}
		u.addPlanned(def.Name, infos)
		m.Name = def.Name
	default:
		return result.New(result.ProtocolError, "invalid Describe of type %d", m.ObjectType)
	}
	return u.append(&m)
}

func (u *unitBuilder) execute(body []byte) error {
	var m pgproto3.Execute
	if err := m.Decode(body); err != nil {
		return malformedError(err)
	}
	if i, ok := u.plannedByPortal.get(m.Portal); ok {
		u.planned[i].executed = true
		u.infos = append(u.infos, u.planned[i].infos...)
	} else {
		// The portal was bound in an earlier unit of the transaction.
		u.infos = append(u.infos, stmt.NewInfo(stmt.Unknown, stmt.EffectNone, 0, nil, ""))
	}
	u.hasBindOrExecute = true
	return u.append(&m)
}

func (u *unitBuilder) close(body []byte) error {
	var m pgproto3.Close
	if err := m.Decode(body); err != nil {
		return malformedError(err)
	}
	needsServer := u.needsServer
	switch m.ObjectType {
	case 'S':
		u.addNameChange(nameChange{name: m.Name})
		m.Name = closedName
	case 'P':
		// No statement has this name. The entry stands for the portal's CloseComplete, because confirmNameChanges
		// counts confirmations.
		u.addNameChange(nameChange{name: "\x00"})
		needsServer = true
	default:
		return result.New(result.ProtocolError, "invalid Close of type %d", m.ObjectType)
	}
	err := u.append(&m)
	u.needsServer = needsServer
	return err
}

// addNameChange records a change for confirmNameChanges.
func (u *unitBuilder) addNameChange(change nameChange) {
	u.latestChange.set(change.name, len(u.nameChanges))
	u.nameChanges = append(u.nameChanges, change)
}

// findStatement returns the statement with the caller's name. It takes the changes of this unit into account.
func (u *unitBuilder) findStatement(name string) (work.Prepared, bool) {
	if i, ok := u.latestChange.get(name); ok {
		return u.nameChanges[i].def, u.nameChanges[i].define
	}
	return u.sessionStatements.Get(name)
}

// useStatement returns the statement for a Bind or Describe and adds its definition to the unit.
func (u *unitBuilder) useStatement(name string) (work.Prepared, error) {
	def, ok := u.findStatement(name)
	if !ok {
		if name == "" {
			return def, statementError("26000", "unnamed prepared statement does not exist")
		}
		return def, statementError("26000", "prepared statement %q does not exist", name)
	}
	if _, ok := u.definedNames.get(def.Name); ok {
		return def, nil
	}
	u.definedNames.set(def.Name, 0)
	u.prepared = append(u.prepared, def)
	return def, nil
}

// addPlanned records a statement that is parsed, described or bound, and returns its index into planned.
func (u *unitBuilder) addPlanned(name string, infos []stmt.Info) int {
	if i, ok := u.plannedByName.get(name); ok {
		return i
	}
	u.plannedByName.set(name, len(u.planned))
	u.planned = append(u.planned, plannedStatement{infos: infos})
	return len(u.planned) - 1
}

// statementInfos returns the infos of the executed statements, followed by those of statements that are only planned.
// The latter have no effect, but any that is not a read must be planned on the primary or in its transaction.
func (u *unitBuilder) statementInfos() []stmt.Info {
	infos := u.infos
	for _, p := range u.planned {
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

func (u *unitBuilder) append(m pgproto3.FrontendMessage) error {
	b, err := m.Encode(u.frames)
	if err != nil {
		return malformedError(err)
	}
	u.frames = b
	u.needsServer = true
	return nil
}

// confirmNameChanges applies the first n name changes to the session; n is the number of confirmations in the answer.
func (u *unitBuilder) confirmNameChanges(n int) {
	for _, change := range u.nameChanges[:min(n, len(u.nameChanges))] {
		u.sessionStatements.Remove(change.name)
		if change.define {
			// checkStatementLimits has checked each statement alone. If only all of a unit's statements together exceed
			// the limits, the last ones stay undefined, and their use fails like that of an unknown name.
			_ = u.sessionStatements.Put(change.name, change.def)
		}
	}
}

// args returns the parameters of the first Bind and their format codes. They share memory with frames.
func (u *unitBuilder) args() ([][]byte, []int16) {
	if u.firstBind < 0 {
		return nil, nil
	}
	n := int(binary.BigEndian.Uint32(u.frames[u.firstBind+1:]))
	var m pgproto3.Bind
	if err := m.Decode(u.frames[u.firstBind+5 : u.firstBind+1+n]); err != nil {
		return nil, nil
	}
	if m.Parameters == nil {
		m.Parameters = [][]byte{}
	}
	return m.Parameters, m.ParameterFormatCodes
}

func malformedError(err error) error {
	return result.Wrap(result.ProtocolError, err, "malformed message: %v", err)
}

func appendMessage(dst []byte, typ byte, body []byte) []byte {
	dst = append(dst, typ)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)+4))
	return append(dst, body...)
}

// encode appends an encoded backend message. It appends nothing if the message is longer than 1 GiB, the only case in
// which encoding fails.
func encode(dst []byte, m pgproto3.BackendMessage) []byte {
	b, err := m.Encode(dst)
	if err != nil {
		return dst
	}
	return b
}

// statementText returns the SQL text of the statement of this unit with the derived name.
func (u *unitBuilder) statementText(name string) string {
	for _, change := range u.nameChanges {
		if change.define && change.def.Name == name {
			return change.def.SQL
		}
	}
	for _, p := range u.prepared {
		if p.Name == name {
			return p.SQL
		}
	}
	return ""
}

// messageLen returns the length of the message at the start of b, including its type and length fields.
func messageLen(b []byte) int { return 1 + int(binary.BigEndian.Uint32(b[1:5])) }
