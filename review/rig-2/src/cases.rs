//! The cases, one a module.

pub mod halves;
pub mod lengths;
pub mod restart;
pub mod share;
