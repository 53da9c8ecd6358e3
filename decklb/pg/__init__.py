"""The PostgreSQL wire protocol (3.0) on both sides of the dispatcher: clients' sessions and connections to engines.

Clients' side: `listener` accepts, `connection_registry` bounds the number of connections, `connection` is one TCP
connection, `startup` begins a session, `session` is its state machine (with `prepared_statements`, `parameters` and
`statements`), `running_statement` turns the final answer of a request into messages.

Engines' side: `engines` keeps a pool of connections to each engine, `engine_connection` is one of them (with
`engine_prepared_statements`), `cancel_request` carries a CancelRequest, `health_check` asks whether an engine runs.

Both sides share the codec (`messages`), the error codes (`errors`, `sqlstate`), the request (`request`) and the
`settings`; `codec` is the form of statements in the handoff.
"""
