"""The PostgreSQL wire protocol (3.0) on both sides of the dispatcher: clients' sessions and connections to engines.

Clients' side: `listener` accepts, `connection_registry` bounds the number of connections, `connection` is one TCP
connection, `startup` begins a session, `session` is its state machine (with `prepared`, `parameters` and `statements`),
`running_statement` turns the final answer of a request into messages. Both sides share the codec (`messages`), the
error codes (`errors`, `sqlstate`) and the `settings`; `codec` is the form of statements in the handoff.
"""
