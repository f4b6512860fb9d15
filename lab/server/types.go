package server

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

// typeByName maps PostgreSQL type names, and sqlite's blob, to type OIDs.
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

// declaredTypeOID returns the OID of the type in a column declaration or a cast, or 0 if the type is unknown.
func declaredTypeOID(decl string) uint32 {
	decl = strings.ToLower(strings.TrimSpace(decl))
	if i := strings.IndexByte(decl, '('); i >= 0 {
		decl = strings.TrimSpace(decl[:i])
	}
	if strings.HasPrefix(decl, "timestamp with time zone") {
		return pgtype.TimestamptzOID
	}
	return typeByName[decl]
}

// sqliteCastType returns the type name for sqlite's CAST, or "" if the value needs no conversion.
func sqliteCastType(oid uint32) string {
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

// valueTypeOID infers a column's type from its value in the first row.
func valueTypeOID(v any) uint32 {
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

// isTextType reports whether the text and binary formats of the type are the same, so that values need no conversion.
func isTextType(oid uint32) bool {
	switch oid {
	case pgtype.TextOID, pgtype.VarcharOID, pgtype.BPCharOID, pgtype.NameOID:
		return true
	}
	return false
}

const timeFormat = "2006-01-02 15:04:05.999999-07"

func valueText(v any) string {
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

// encodeValue encodes a database value as the type oid in the given wire format. It returns nil for NULL.
func encodeValue(m *pgtype.Map, oid uint32, format int16, v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	if isTextType(oid) {
		return []byte(valueText(v)), nil
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
			return nil, newError("22P02", "value %q cannot be parsed as the type of its column: %v", s, err)
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

// decodeParam decodes a statement parameter into a value that sqlite can store.
func decodeParam(m *pgtype.Map, oid uint32, format int16, b []byte) (any, error) {
	if b == nil {
		return nil, nil
	}
	t, ok := m.TypeForOID(oid)
	if !ok || isTextType(oid) {
		return string(b), nil
	}
	v, err := t.Codec.DecodeValue(m, oid, format, b)
	if err != nil {
		return nil, newError("22P02", "parameter is not a valid value of type %s: %v", t.Name, err)
	}
	switch v := v.(type) {
	case time.Time: // a single format, because sqlite compares times as text
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
		return nil, newError("22P02", "parameter of type %s cannot be converted to text: %v", t.Name, err)
	}
	return string(s), nil
}
