package revlog

import (
	"crypto/sha256"
	"crypto/subtle"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"verbenagate/core/result"
	"verbenagate/core/svcdef"
)

// maxElements limits the length of lists and maps in decoded data, so that a damaged length cannot exhaust the memory.
const maxElements = 1 << 17

var cborModes = sync.OnceValue(func() (m struct {
	enc cbor.EncMode
	dec cbor.DecMode
},
) {
	// The errors are ignored because the options are constant and valid. TestCodec would fail if a mode were nil.
	m.enc, _ = cbor.CoreDetEncOptions().EncMode()
	m.dec, _ = cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		MaxArrayElements: maxElements, MaxMapPairs: maxElements,
	}.DecMode()
	return m
})

// Encode returns the stored form of a revision. The bytes must not be modified.
func Encode(r svcdef.Revision) ([]byte, error) {
	if body := r.Encoded(); body != nil {
		return body, nil
	}
	return encode(r.Spec())
}

// Decode returns the revision that Encode encoded as data. The revision keeps a reference to data.
func Decode(data []byte) (svcdef.Revision, error) {
	spec, err := decodeSpec(data)
	if err != nil {
		return svcdef.Revision{}, err
	}
	return svcdef.NewRevision(spec).WithEncoded(data, decodeSpec), nil
}

func decodeSpec(data []byte) (svcdef.RevisionSpec, error) {
	var spec svcdef.RevisionSpec
	err := decode(data, &spec)
	return spec, err
}

// EncodeSnapshot returns the encoded catalogue, preceded by its SHA-256 checksum.
func EncodeSnapshot(c svcdef.Catalog) ([]byte, error) {
	body, err := encode(c.Spec())
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(body)
	return append(sum[:], body...), nil
}

// DecodeSnapshot returns the catalogue that EncodeSnapshot encoded as data. It fails if data is damaged.
func DecodeSnapshot(data []byte) (svcdef.Catalog, error) {
	if len(data) < sha256.Size {
		return svcdef.Catalog{}, result.New(result.Internal, "snapshot of %d bytes is too short for a checksum", len(data))
	}
	body := data[sha256.Size:]
	if sum := sha256.Sum256(body); subtle.ConstantTimeCompare(sum[:], data[:sha256.Size]) != 1 {
		return svcdef.Catalog{}, result.New(result.Internal, "snapshot does not match its checksum")
	}
	var spec svcdef.CatalogSpec
	if err := decode(body, &spec); err != nil {
		return svcdef.Catalog{}, err
	}
	return svcdef.Restore(spec).WithEncodedHistory(func(r svcdef.Revision) (svcdef.Revision, error) {
		stored, err := Encode(r)
		return r.WithEncoded(stored, decodeSpec), err
	})
}

func encode(v any) ([]byte, error) {
	data, err := cborModes().enc.Marshal(v)
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "encode")
	}
	return data, nil
}

func decode(data []byte, v any) error {
	if err := cborModes().dec.Unmarshal(data, v); err != nil {
		return result.Wrap(result.Internal, err, "cannot decode %d bytes of CBOR", len(data))
	}
	return nil
}
