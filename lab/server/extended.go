package server

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"
)

// prepared is a prepared statement with what Describe reports of it.
type prepared struct {
	toks     []token
	declared []uint32
	params   []uint32
	cols     []column // nil if the statement returns no rows
	schemaNo uint64
}

// portal is a bound statement; its result is kept while Execute takes parts of it.
type portal struct {
	stmt    *prepared
	params  []any
	formats []int16
	res     *result
	next    int
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
	p := &prepared{declared: append([]uint32(nil), m.ParameterOIDs...)}
	if len(list) == 1 {
		p.toks = list[0]
		if c.failed && !endsTransaction(p.toks) {
			return errFailed()
		}
		if err := c.analyse(p); err != nil {
			return err
		}
	}
	c.prepared[m.Name] = p
	c.be.Send(&pgproto3.ParseComplete{})
	return nil
}

// analyse computes the types of a prepared statement, again if the schema has changed since.
func (c *session) analyse(p *prepared) error {
	no := c.srv.schemaNumber()
	if p.toks == nil || p.schemaNo == no && !(c.tx != nil && c.tx.ddl) {
		return nil
	}
	ctx, done := c.statement()
	defer done()
	params, cols, err := c.describeStatement(ctx, p.toks, p.declared)
	if err != nil {
		return err
	}
	p.params, p.cols, p.schemaNo = params, cols, no
	return nil
}

func (c *session) lookup(name string) (*prepared, error) {
	p, ok := c.prepared[name]
	if !ok {
		return nil, newError("26000", "prepared statement %q does not exist", name)
	}
	if c.failed {
		return p, nil
	}
	return p, c.analyse(p)
}

func (c *session) bind(m *pgproto3.Bind) error {
	p, err := c.lookup(m.PreparedStatement)
	if err != nil {
		return err
	}
	if c.failed && p.toks != nil && !endsTransaction(p.toks) {
		return errFailed()
	}
	if len(m.Parameters) != len(p.params) {
		return newError("08P01", "bind message supplies %d parameters, but prepared statement %q requires %d",
			len(m.Parameters), m.PreparedStatement, len(p.params))
	}
	po := &portal{stmt: p, formats: append([]int16(nil), m.ResultFormatCodes...), params: make([]any, len(p.params))}
	for i, b := range m.Parameters {
		if po.params[i], err = decode(c.types, p.params[i], formatOf(m.ParameterFormatCodes, i), b); err != nil {
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
		if p, err = c.lookup(m.Name); err != nil {
			return err
		}
		c.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.params})
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
	if po.res == nil {
		ctx, done := c.statement()
		defer done()
		res, err := c.runStatement(ctx, po.stmt.toks, append([]any{}, po.params...))
		if err != nil {
			return err
		}
		po.res = res
	}
	sent := 0
	if po.stmt.cols != nil {
		for ; po.next < len(po.res.rows); po.next++ {
			if m.MaxRows > 0 && sent == int(m.MaxRows) {
				c.be.Send(&pgproto3.PortalSuspended{})
				return nil
			}
			row, err := c.dataRow(po.stmt.cols, po.formats, po.res.rows[po.next])
			if err != nil {
				return err
			}
			c.be.Send(row)
			sent++
		}
	}
	c.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(po.res.tag)})
	return nil
}

// describeStatement returns the types of the parameters and of the result columns.
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
	f := &infer{toks: tr.toks, schema: sch, sleepParam: tr.sleepParam}
	params := f.paramTypes(declared)
	if write, _ := writes(tr.toks); write {
		return params, f.returning(), nil
	}
	zeros := make([]any, len(tr.order))
	for i := range zeros {
		zeros[i] = int64(0)
	}
	cols, _, err := c.query(ctx, "SELECT * FROM ("+tr.sql()+") LIMIT 0", zeros)
	if err != nil {
		return nil, nil, err
	}
	return params, f.complete(cols, nil), nil
}
