package grant

import (
	"time"

	"verbenagate/core/quota"
)

// call asks the holder of portions for tokens.
type call struct {
	VM   string `cbor:"1,keyasint"` // the caller
	Asks []ask  `cbor:"2,keyasint"`
}

// ask is the need of tokens of a portion of a workspace, with its limit in the caller's configuration of this version. A holder whose
// configuration is older goes by it.
type ask struct {
	Workspace string  `cbor:"1,keyasint"`
	Portion   int     `cbor:"2,keyasint,omitempty"`
	Need      int     `cbor:"3,keyasint"`
	Spare     int     `cbor:"4,keyasint,omitempty"`
	Rate      float64 `cbor:"5,keyasint"`
	Burst     float64 `cbor:"6,keyasint"`
	Version   uint64  `cbor:"7,keyasint"`
	// Life is how long the tokens that are needed must be usable.
	Life time.Duration `cbor:"8,keyasint"`
}

// reply has an answer for each ask, in their order.
type reply struct {
	Answers []answer `cbor:"1,keyasint"`
}

// answer is the encoded form of a quota.Grant. NotHolder says that the VM does not hold the portion, or has lent it.
type answer struct {
	Tokens    int           `cbor:"1,keyasint,omitempty"`
	Life      time.Duration `cbor:"2,keyasint,omitempty"`
	Spare     int           `cbor:"3,keyasint,omitempty"`
	SpareLife time.Duration `cbor:"4,keyasint,omitempty"`
	Retry     time.Duration `cbor:"5,keyasint,omitempty"`
	NotHolder bool          `cbor:"6,keyasint,omitempty"`
	Borrowed  uint          `cbor:"7,keyasint,omitempty"`
}

func newAnswer(g quota.Grant) answer {
	return answer{Tokens: g.Tokens, Life: g.Life, Spare: g.Spare, SpareLife: g.SpareLife, Retry: g.Retry, Borrowed: g.Borrowed}
}

// loanCall asks the holder of portions to lend them to the VM that holds lower ones.
type loanCall struct {
	VM   string `cbor:"1,keyasint"` // the caller
	Keys []key  `cbor:"2,keyasint"`
}

// key is the encoded form of a quota.Key.
type key struct {
	_        struct{} `cbor:",toarray"`
	Shard    int
	Portion  int
	Borrower int // the portion for which it is borrowed
}

// loanReply has for each key how long it is lent from now on, 0 if it is not.
type loanReply struct {
	Lives []time.Duration `cbor:"1,keyasint"`
}
