// Package schema is the goa design of the operators' service. The generated code and the .proto file are in
// io/admin/gen. Operators generate the clients of their own tools from the .proto file.
package schema

//go:generate goa gen verbenagate/io/schema -o ../admin

import (
	// goa designs import the DSL with a dot by convention.
	. "goa.design/goa/v3/dsl" //revive:disable-line:dot-imports
)

// maxAuthorLength limits the author's name that is stored with each revision, in characters.
const maxAuthorLength = 100

var _ = API("verbenagate", func() {
	Title("verbenagate operators' service")
	Description("Defines services, lists VMs and stops them gracefully.")
})

// ServerType describes one database server.
var ServerType = Type("Server", func() {
	Description("One database server of the group behind a service.")
	Field(1, "address", String, "IP:port of the server.")
	Field(2, "data_centre", String, "Data centre that the server is in.")
	Field(3, "slots", Int32, "Statements that the server executes at a time.")
	Field(4, "connections", Int32, "Connections that all VMs together may hold, control connections included.")
	Required("address", "data_centre", "slots", "connections")
})

// Caller describes one caller that may use the service.
var Caller = Type("Caller", func() {
	Description("A caller that may reach the service.")
	Field(1, "user", String, "User name.")
	Field(2, "verifier", String, "SCRAM-SHA-256 verifier in PostgreSQL's form. Answers show ********; sent back, it "+
		"keeps the stored verifier.")
	Required("user", "verifier")
})

// StaleRead declares reads that accept older data.
var StaleRead = Type("StaleRead", func() {
	Description("Reads that accept data of a stated age. An empty field matches everything.")
	Field(1, "user", String, "User name of the caller.")
	Field(2, "table", String, "Table that the statement reads.")
	Field(3, "statement", String, "Text of the statement.")
	Field(4, "max_age_ms", Int64, "Greatest age of the data in milliseconds.")
	Required("user", "table", "statement", "max_age_ms")
})

// Once declares a non-idempotent statement.
var Once = Type("Once", func() {
	Description("A non-idempotent statement that takes effect at most once for each request.")
	Field(1, "statement", String, "Text of the statement.")
	Field(2, "key", ArrayOf(Int32), "Numbers of the parameters that identify a request, counted from 1.")
	Field(3, "keep_ms", Int64, "Time for which an outcome is kept, in milliseconds.")
	Required("statement", "keep_ms")
})

// Login is the account with which VMs log in to the servers.
var Login = Type("Login", func() {
	Description("Account with which VMs log in to the servers.")
	Field(1, "user", String, "User name.")
	Field(2, "password", String, "Password. Answers show ********; sent back, it keeps the stored password.")
	Required("user", "password")
})

// Spec is the definition of a service.
var Spec = Type("Spec", func() {
	Description("Definition of a service.")
	Field(1, "name", String, "Name of the service; callers give it as the database name.")
	Field(2, "database", String, "Name of the database on the servers.")
	Field(3, "servers", ArrayOf(ServerType), "Servers of the group.")
	Field(4, "ack", String, "When a commit is acknowledged: quorum (default) or primary.")
	Field(5, "timeout_ms", Int64, "Time limit of a unit of work in milliseconds; 0 stands for 30 s.")
	Field(6, "callers", ArrayOf(Caller), "Callers that may reach the service.")
	Field(7, "stale_reads", ArrayOf(StaleRead), "Reads that accept older data.")
	Field(8, "once", ArrayOf(Once), "Non-idempotent statements.")
	Field(9, "login", Login, "Account on the servers.")
	Field(10, "max_wait_ms", Int64, "Expected wait for a server in milliseconds from which new short work is refused; 0 stands for 1 s.")
	Required("name", "database", "ack", "timeout_ms", "login", "max_wait_ms")
})

// Revision is an accepted change.
var Revision = Type("Revision", func() {
	Description("One accepted change.")
	Field(1, "number", UInt64, "Number of the revision.")
	Field(2, "service", String, "Name of the service that changed.")
	Field(3, "removal", Boolean, "Whether the service was removed.")
	Field(4, "spec", Spec, "New definition with secrets masked; absent for a removal.")
	Field(5, "author", String, "Who made the change.")
	Field(6, "unix_ms", Int64, "Time of the change in milliseconds since 1970, UTC.")
	Required("number", "service", "removal", "author", "unix_ms")
})

// ServiceState is a service in force.
var ServiceState = Type("ServiceState", func() {
	Description("A service and the revision that defined it.")
	Field(1, "revision", UInt64, "Revision that defined the service.")
	Field(2, "spec", Spec, "Definition with secrets masked.")
	Required("revision", "spec")
})

// VM describes one VM.
var VM = Type("VM", func() {
	Description("One VM as the asked VM sees it.")
	Field(1, "id", String, "Name of the VM.")
	Field(2, "data_centre", String, "Data centre that the VM is in.")
	Field(3, "peer_address", String, "IP:port for other VMs.")
	Field(4, "state", String, "live, leaving, suspected or dead.")
	Field(5, "revision", UInt64, "Configuration revision in force on the VM, 0 if it is not known.")
	Field(6, "self", Boolean, "Whether this is the asked VM.")
	Required("id", "data_centre", "peer_address", "state", "revision", "self")
})

// Summary contains the main figures of a state dump.
var Summary = Type("Summary", func() {
	Description("Main figures of a state dump.")
	Field(1, "vm", String, "Name of the VM.")
	Field(2, "data_centre", String, "Data centre that the VM is in.")
	Field(3, "revision", UInt64, "Configuration revision in force.")
	Field(4, "services", Int32, "Number of services.")
	Field(5, "callers", Int32, "Open connections of callers.")
	Field(6, "owned_servers", ArrayOf(String), "Addresses of the servers that the VM owns.")
	Field(7, "members", Int32, "Known live VMs, this one included.")
	Field(8, "store_up", Boolean, "Whether the last request to the platform's store succeeded.")
	Field(9, "draining", Boolean, "Whether a graceful stop is under way.")
	Field(10, "started_unix_ms", Int64, "Start of the VM in milliseconds since 1970, UTC.")
	Required("vm", "data_centre", "revision", "services", "callers", "members", "store_up", "draining",
		"started_unix_ms")
})

// LogLayer is the level setting of one log layer.
var LogLayer = Type("LogLayer", func() {
	Description("Threshold of one layer of the log.")
	Field(1, "layer", String, "Name of the layer.")
	Field(2, "switch", String, "default, off or a level.")
	Required("layer", "switch")
})

// Problem is one violation in a definition.
var Problem = Type("Problem", func() {
	Description("One violation in a definition.")
	Field(1, "path", String, "Key path of the field, such as servers[0].address.")
	Field(2, "text", String, "What is wrong.")
	Field(3, "warning", Boolean, "Whether the definition is accepted all the same.")
	Required("path", "text", "warning")
})

// No list is a required field: Protocol Buffers does not distinguish an empty list from an absent one, and the generated
// validation would reject both.

// FaultType is the error of every method.
var FaultType = Type("Fault", func() {
	Description("An error with its numbered result code; docs/codes.md lists the codes.")
	Field(1, "name", String, "Name of the error.", func() { Meta("struct:error:name") })
	Field(2, "code", UInt32, "Number of the result code.")
	Field(3, "outcome", String, "What is known about the effect: failed, not run or unknown.")
	Field(4, "text", String, "What happened.")
	Field(5, "current_revision", UInt64, "Current revision, with the code revision_conflict.")
	Field(6, "problems", ArrayOf(Problem), "All violations, with the code invalid_config.")
	Required("name", "code", "outcome", "text", "current_revision")
})

var _ = Service("operators", func() {
	Description("Operators define services, list VMs and stop them gracefully. Each change names the revision that it is " +
		"based on; of concurrent changes exactly one is accepted.")

	// goa generates one message for each method and error. There are therefore only two errors: their gRPC status says
	// whether the effect is known, and the result code in the message gives the reason.
	Error("refused", FaultType, "The request had no effect; its code says why.")
	Error("undetermined", FaultType, "The effect of the request is not known.")
	GRPC(func() {
		Response("refused", CodeFailedPrecondition)
		Response("undetermined", CodeUnknown)
	})

	Method("apply_service", func() {
		Description("Create or replace a service.")
		Payload(func() {
			Field(1, "spec", Spec, "Definition of the service.")
			Field(2, "based_on", UInt64, "Revision that the change is based on; 0 before the first change.")
			Field(3, "author", String, "Who makes the change.", func() { MaxLength(maxAuthorLength) })
			Required("spec", "based_on", "author")
		})
		Result(func() {
			Field(1, "revision", Revision, "The accepted revision.")
			Field(2, "warnings", ArrayOf(Problem), "Recommendations that the definition does not follow.")
			Required("revision")
		})
		GRPC(func() { Response(CodeOK) })
	})

	Method("get_service", func() {
		Description("Show one service.")
		Payload(func() {
			Field(1, "name", String, "Name of the service.")
			Required("name")
		})
		Result(func() {
			Field(1, "service", ServiceState, "The service.")
			Field(2, "current_revision", UInt64, "Configuration revision in force.")
			Required("service", "current_revision")
		})
		GRPC(func() { Response(CodeOK) })
	})

	Method("list_services", func() {
		Description("Show all services.")
		Result(func() {
			Field(1, "services", ArrayOf(ServiceState), "The services, sorted by name.")
			Field(2, "current_revision", UInt64, "Configuration revision in force.")
			Required("current_revision")
		})
		GRPC(func() { Response(CodeOK) })
	})

	Method("history", func() {
		Description("Show the latest revisions.")
		Payload(func() {
			Field(1, "service", String, "Name of a service; empty for all.")
			Required("service")
		})
		Result(func() {
			Field(1, "revisions", ArrayOf(Revision), "Revisions in ascending order.")
		})
		GRPC(func() { Response(CodeOK) })
	})

	Method("remove_service", func() {
		Description("Remove a service.")
		Payload(func() {
			Field(1, "name", String, "Name of the service.")
			Field(2, "based_on", UInt64, "Revision that the change is based on.")
			Field(3, "author", String, "Who makes the change.", func() { MaxLength(maxAuthorLength) })
			Required("name", "based_on", "author")
		})
		Result(func() {
			Field(1, "revision", Revision, "The accepted revision.")
			Required("revision")
		})
		GRPC(func() { Response(CodeOK) })
	})

	Method("list_vms", func() {
		Description("Show the VMs.")
		Result(func() {
			Field(1, "vms", ArrayOf(VM), "The VMs, sorted by name.")
		})
		GRPC(func() { Response(CodeOK) })
	})

	Method("drain_vm", func() {
		Description("Start the graceful stop of a VM. The answer does not wait for its end.")
		Payload(func() {
			Field(1, "id", String, "Name of the VM.")
			Required("id")
		})
		GRPC(func() { Response(CodeOK) })
	})

	Method("dump", func() {
		Description("Show the state of the asked VM.")
		Result(func() {
			Field(1, "summary", Summary, "Main figures.")
			Field(2, "state", Bytes, "Whole state in JSON.")
			Required("summary", "state")
		})
		GRPC(func() { Response(CodeOK) })
	})

	Method("log_levels", func() {
		Description("Show the level of the log of the asked VM and the switches of its layers.")
		Result(func() {
			Field(1, "level", String, "Level that layers follow by default: debug, info, warn or error.")
			Field(2, "layers", ArrayOf(LogLayer), "Switches of the layers, sorted by name.")
			Required("level")
		})
		GRPC(func() { Response(CodeOK) })
	})

	Method("set_log_level", func() {
		Description("Change the level of the log of the asked VM, or the switch of one layer, until the VM stops.")
		Payload(func() {
			Field(1, "layer", String, "Name of a layer; empty for the level that layers follow by default.")
			Field(2, "level", String, "debug, info, warn or error; for a layer also default or off.")
			Required("layer", "level")
		})
		GRPC(func() { Response(CodeOK) })
	})
})
