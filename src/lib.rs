//! petreltack decides for an HTTP load balancer that runs as a bank of proxies.
//!
//! Each proxy owns one [`decide::Balancer`], tells it what happens, and carries out
//! the [`types::Action`]s it answers with. The module does no I/O and reads no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod decide;
pub mod settings;
pub mod types;

/// The README's example, compiled as a doc test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
pub struct Readme;
