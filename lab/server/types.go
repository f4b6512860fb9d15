package server

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

// typeByName maps type names of PostgreSQL to their OIDs.
var typeByName = map[string]uint32{
	"int": pgtype.Int4OID, "integer": pgtype.Int4OID, "int4": pgtype.Int4OID, "serial": pgtype.Int4OID,
	"int8": pgtype.Int8OID, "bigint": pgtype.Int8OID, "bigserial": pgtype.Int8OID,
	"int2": pgtype.Int2OID, "smallint": pgtype.Int2OID,
	"float8": pgtype.Float8OID, "double": pgtype.Float8OID, "double precision": pgtype.Float8OID, "real": pgtype.Float4OID, "float4": pgtype.Float4OID,
	"float": pgtype.Float8OID, "numeric": pgtype.NumericOID, "decimal": pgtype.NumericOID,
	"text": pgtype.TextOID, "varchar": pgtype.VarcharOID, "char": pgtype.BPCharOID, "name": pgtype.NameOID,
	"character": pgtype.BPCharOID, "character varying": pgtype.VarcharOID,
	"bool": pgtype.BoolOID, "boolean": pgtype.BoolOID, "bytea": pgtype.ByteaOID, "blob": pgtype.ByteaOID,
	"timestamptz": pgtype.TimestamptzOID, "timestamp": pgtype.TimestampOID, "date": pgtype.DateOID, "uuid": pgtype.UUIDOID,
	"json": pgtype.JSONOID, "jsonb": pgtype.JSONBOID,
}

// typeOf returns the OID of a declared type, or 0.
func typeOf(decl string) uint32 {
	decl = strings.ToLower(strings.TrimSpace(decl))
	if i := strings.IndexByte(decl, '('); i >= 0 {
		decl = strings.TrimSpace(decl[:i])
	}
	if strings.HasPrefix(decl, "timestamp with time zone") {
		return pgtype.TimestamptzOID
	}
	return typeByName[decl]
}

// castType returns the type name for sqlite's CAST, or "" if the value is kept as it is.
func castType(oid uint32) string {
	switch oid {
	case pgtype.Int2OID, pgtype.Int4OID, pgtype.Int8OID:
		return "INTEGER"
	case pgtype.Float4OID, pgtype.Float8OID:
		return "REAL"
	case pgtype.TextOID, pgtype.VarcharOID:
		return "TEXT"
	}
	return ""
}

// typeOfValue guesses a type from a value of the first row.
func typeOfValue(v any) uint32 {
	switch v.(type) {
	case int64:
		return pgtype.Int8OID
	case float64:
		return pgtype.Float8OID
	case bool:
		return pgtype.BoolOID
	case []byte:
		return pgtype.ByteaOID
	case time.Time:
		return pgtype.TimestamptzOID
	}
	return pgtype.TextOID
}

// isText reports whether values of the type are passed on as they are in either format.
func isText(oid uint32) bool {
	switch oid {
	case pgtype.TextOID, pgtype.VarcharOID, pgtype.BPCharOID, pgtype.NameOID:
		return true
	}
	return false
}

const timeFormat = "2006-01-02 15:04:05.999999-07"

func textOf(v any) string {
	switch v := v.(type) {
	case string:
		return v
	case []byte:
		return string(v)
	case int64:
		return strconv.FormatInt(v, 10)
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	case bool:
		return strconv.FormatBool(v)
	case time.Time:
		return v.Format(timeFormat)
	}
	return fmt.Sprint(v)
}

// encode writes a value of the database as the type oid in the given format; nil stands for NULL.
func encode(m *pgtype.Map, oid uint32, format int16, v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	if isText(oid) {
		return []byte(textOf(v)), nil
	}
	if n, ok := v.(int64); ok {
		switch oid {
		case pgtype.BoolOID:
			v = n != 0
		case pgtype.Float4OID, pgtype.Float8OID:
			v = float64(n)
		}
	}
	if s, ok := v.(string); ok {
		if format == pgtype.TextFormatCode {
			return []byte(s), nil
		}
		t, ok := m.TypeForOID(oid)
		if !ok {
			return []byte(s), nil
		}
		w, err := t.Codec.DecodeValue(m, oid, pgtype.TextFormatCode, []byte(s))
		if err != nil {
			return nil, newError("22P02", "value %q is not of the type of its column: %v", s, err)
		}
		v = w
	}
	if f, ok := v.(float64); ok && oid != pgtype.Float8OID && oid != pgtype.Float4OID && f == float64(int64(f)) {
		v = int64(f)
	}
	b, err := m.Encode(oid, format, v, []byte{})
	if err != nil {
		return nil, newError("22P02", "value %v cannot be sent as the type with OID %d: %v", v, oid, err)
	}
	return b, nil
}

// decode reads a parameter into a value that sqlite stores.
func decode(m *pgtype.Map, oid uint32, format int16, b []byte) (any, error) {
	if b == nil {
		return nil, nil
	}
	t, ok := m.TypeForOID(oid)
	if !ok || isText(oid) {
		return string(b), nil
	}
	v, err := t.Codec.DecodeValue(m, oid, format, b)
	if err != nil {
		return nil, newError("22P02", "parameter is not a valid value of type %s: %v", t.Name, err)
	}
	switch v := v.(type) {
	case time.Time: // one format, so that sqlite's comparison of texts orders times
		switch oid {
		case pgtype.TimestamptzOID:
			return v.UTC().Format(timeFormat), nil
		case pgtype.TimestampOID:
			return v.Format("2006-01-02 15:04:05.999999"), nil
		}
	case int16:
		return int64(v), nil
	case int32:
		return int64(v), nil
	case int64, float64, string:
		return v, nil
	case float32:
		return float64(v), nil
	case bool:
		if v {
			return int64(1), nil
		}
		return int64(0), nil
	case []byte:
		return append([]byte{}, v...), nil
	}
	if oid == pgtype.NumericOID {
		s, err := m.Encode(oid, pgtype.TextFormatCode, v, nil)
		if f, convErr := strconv.ParseFloat(string(s), 64); err == nil && convErr == nil {
			return f, nil
		}
	}
	s, err := m.Encode(oid, pgtype.TextFormatCode, v, nil)
	if err != nil {
		return nil, newError("22P02", "parameter of type %s: %v", t.Name, err)
	}
	return string(s), nil
}
