//! The balancer as a process, between scripted clients, upstreams and discovery.

mod bad_input;
mod bulk;
mod discovery;
mod duplicate_answers;
mod ends;
mod limits;
mod memory;
mod outcomes;
mod reload;
mod requests;
mod server_files;
mod shadow;
mod shutdown;
mod sizes;
