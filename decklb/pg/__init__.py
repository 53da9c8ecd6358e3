"""The PostgreSQL wire protocol (3.0) on both sides of the dispatcher: clients' sessions and connections to engines.

Client side: `listener` accepts connections, `connection_registry` limits their number, `connection` handles one TCP
connection, `startup` starts a session, `session` is its state machine (with `prepared_statements`, `parameters` and
`statements`), and `running_statement` converts the final answer of a request into messages.

Engine side: `engines` keeps a pool of connections to each engine, `engine_connection` is one of them (with
`engine_prepared_statements`), `cancel_request` sends a CancelRequest, and `health_check` checks whether an engine is
up.

Both sides share the message codec (`messages`), the errors (`errors`, `sqlstate`), the request (`request`) and the
`settings`. `codec` encodes statements for the handoff.
"""
