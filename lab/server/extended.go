package server

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"
)

// prepared is a prepared statement with the parameter types and columns that Describe reports.
type prepared struct {
	toks          []token
	declaredTypes []uint32
	paramTypes    []uint32
	cols          []column // nil if the statement returns no rows
	schemaVersion uint64
}

// portal is a bound statement. It keeps the result so that several Execute messages can fetch it in parts.
type portal struct {
	stmt    *prepared
	params  []any
	formats []int16
	result  *result
	nextRow int
}

func (c *session) parse(m *pgproto3.Parse) error {
	toks, err := scan(m.Query)
	if err != nil {
		return err
	}
	list := splitStatements(toks)
	if len(list) > 1 {
		return newError("42601", "cannot insert multiple commands into a prepared statement")
	}
	if _, exists := c.prepared[m.Name]; exists && m.Name != "" {
		return newError("42P05", "prepared statement %q already exists", m.Name)
	}
	p := &prepared{declaredTypes: append([]uint32(nil), m.ParameterOIDs...)}
	if len(list) == 1 {
		p.toks = list[0]
		if c.transactionFailed && !endsTransaction(p.toks) {
			return errTransactionAborted()
		}
		if err := c.analyse(p); err != nil {
			return err
		}
	}
	c.prepared[m.Name] = p
	c.be.Send(&pgproto3.ParseComplete{})
	return nil
}

// analyse determines the parameter types and result columns of a prepared statement. It does so again if the schema may
// have changed since the last time.
func (c *session) analyse(p *prepared) error {
	version := c.srv.currentSchemaVersion()
	if p.toks == nil || p.schemaVersion == version && !(c.tx != nil && c.tx.ddl) {
		return nil
	}
	ctx, done := c.statementContext()
	defer done()
	params, cols, err := c.describeStatement(ctx, p.toks, p.declaredTypes)
	if err != nil {
		return err
	}
	p.paramTypes, p.cols, p.schemaVersion = params, cols, version
	return nil
}

func (c *session) lookupPrepared(name string) (*prepared, error) {
	p, ok := c.prepared[name]
	if !ok {
		return nil, newError("26000", "prepared statement %q does not exist", name)
	}
	if c.transactionFailed {
		return p, nil
	}
	return p, c.analyse(p)
}

func (c *session) bind(m *pgproto3.Bind) error {
	p, err := c.lookupPrepared(m.PreparedStatement)
	if err != nil {
		return err
	}
	if c.transactionFailed && p.toks != nil && !endsTransaction(p.toks) {
		return errTransactionAborted()
	}
	if len(m.Parameters) != len(p.paramTypes) {
		return newError("08P01", "bind message supplies %d parameters, but prepared statement %q requires %d",
			len(m.Parameters), m.PreparedStatement, len(p.paramTypes))
	}
	po := &portal{stmt: p, formats: append([]int16(nil), m.ResultFormatCodes...), params: make([]any, len(p.paramTypes))}
	for i, b := range m.Parameters {
		if po.params[i], err = decodeParam(c.types, p.paramTypes[i], formatOf(m.ParameterFormatCodes, i), b); err != nil {
			return err
		}
	}
	c.portals[m.DestinationPortal] = po
	c.be.Send(&pgproto3.BindComplete{})
	return nil
}

func (c *session) describe(m *pgproto3.Describe) error {
	var p *prepared
	var formats []int16
	if m.ObjectType == 'S' {
		var err error
		if p, err = c.lookupPrepared(m.Name); err != nil {
			return err
		}
		c.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.paramTypes})
	} else {
		po, ok := c.portals[m.Name]
		if !ok {
			return newError("34000", "portal %q does not exist", m.Name)
		}
		p, formats = po.stmt, po.formats
	}
	if p.cols == nil {
		c.be.Send(&pgproto3.NoData{})
		return nil
	}
	c.be.Send(rowDescription(p.cols, formats))
	return nil
}

func (c *session) execute(m *pgproto3.Execute) error {
	po, ok := c.portals[m.Portal]
	if !ok {
		return newError("34000", "portal %q does not exist", m.Portal)
	}
	if po.stmt.toks == nil {
		c.be.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if po.result == nil {
		ctx, done := c.statementContext()
		defer done()
		res, err := c.runStatement(ctx, po.stmt.toks, append([]any{}, po.params...))
		if err != nil {
			return err
		}
		po.result = res
	}
	sent := 0
	if po.stmt.cols != nil {
		for ; po.nextRow < len(po.result.rows); po.nextRow++ {
			if m.MaxRows > 0 && sent == int(m.MaxRows) {
				c.be.Send(&pgproto3.PortalSuspended{})
				return nil
			}
			row, err := c.dataRow(po.stmt.cols, po.formats, po.result.rows[po.nextRow])
			if err != nil {
				return err
			}
			c.be.Send(row)
			sent++
		}
	}
	c.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(po.result.tag)})
	return nil
}

// describeStatement returns the parameter types and the result columns of a statement.
func (c *session) describeStatement(ctx context.Context, toks []token, declared []uint32) ([]uint32, []column, error) {
	if cols, ok := commandColumns(toks); ok {
		return append([]uint32{}, declared...), cols, nil
	}
	if err := checkVerb(toks); err != nil {
		return nil, nil, err
	}
	tr, err := translate(toks, c.env(nil))
	if err != nil {
		return nil, nil, err
	}
	sch, err := c.schema(ctx)
	if err != nil {
		return nil, nil, err
	}
	f := &typeInference{toks: tr.toks, schema: sch, sleepParam: tr.sleepParam}
	params := f.paramTypes(declared)
	if write, _ := classifyWrite(tr.toks); write {
		return params, f.returningColumns(), nil
	}
	zeros := make([]any, len(tr.paramNumbers))
	for i := range zeros {
		zeros[i] = int64(0)
	}
	cols, _, err := c.runQuery(ctx, "SELECT * FROM ("+tr.sql()+") LIMIT 0", zeros)
	if err != nil {
		return nil, nil, err
	}
	return params, f.completeColumns(cols, nil), nil
}
