package node_test

import (
	"os"
	"time"

	"verbenagate/io/node"
)

func ExampleState_WriteTable() {
	at := time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)
	s := node.State{
		VM: "vm1", DataCentre: "north", At: at, Started: at.Add(-time.Hour), StoreUp: true, Revision: 3, Services: []string{"dues"},
		Members: []node.MemberState{{ID: "vm1", DataCentre: "north", Address: "10.20.1.1:7400", Incarnation: 1, State: "live"}},
	}
	_ = s.WriteTable(os.Stdout)
	// Output:
	// VM               vm1
	// data centre      north
	// at               2026-05-01T12:00:00Z
	// started          2026-05-01T11:00:00Z
	// config revision  3
	// services         dues
	// sessions         0
	// store reachable  true
	// draining         false
	// units            replica reads 0, primary reads 0, writes 0, retries 0, not run 0, unknown 0
	//
	// SERVICE  PRIMARY  TERM  RESERVED TERM  HEALTH
	//
	// WATCHED  ROLE  TERM  PROMISED  RECEIVED  APPLIED  LEAVING  STATUS AGE  DATA AGE  REFUSED
	//
	// OWNED  QUEUED  SHORT  LONG  SLOTS  CONNECTIONS  IDLE  OPENING  HELD  FAILURES  SHED  LONG FROM
	//
	// VM   DATA CENTRE  STATE  ADDRESS         INCARNATION
	// vm1  north        live   10.20.1.1:7400  1
	//
	// SESSION AT WORK  SERVICE  USER  REMOTE  RUNNING  TRANSACTION  FOR  PREPARED
}
