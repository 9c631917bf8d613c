//! The sections of a site, what can be wrong with each, and what a running balancer takes over.

mod control;
mod fleet;
mod keys;
mod shadow;
mod site;
mod support;
mod tenants;
