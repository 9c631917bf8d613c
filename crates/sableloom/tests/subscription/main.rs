//! Balancers that take their pools and routes from a control machine, as processes: control machine, balancers
//! and scripted servers over real sockets. Each step waits for a line that a process logs; no test measures time.

mod invalid_messages;
mod service_moves;
mod status;
mod tenants;
mod transactions;
mod without_control;
