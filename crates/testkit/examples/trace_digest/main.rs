//! Plays seeded histories of the decision modules and prints a digest of every action that they return, in order.
//!
//! A change that only renames or moves code leaves every digest equal to the last byte. A digest that differs
//! means that a decision, the order of two floating-point operations or a draw from the generator has changed.
//!
//! ```sh
//! cargo run --release --locked -p sableloom-testkit --example trace_digest
//! ```
//!
//! Actions are written to the digest by number and value, never by the name of a type, so that a rename does not
//! show.

mod distribution;
mod fleet;
mod policy;
mod trace;

fn main() {
    println!("policy          {}", policy::digest());
    println!("membership      {}", fleet::membership_digest());
    println!("capacity share  {}", fleet::capacity_share_digest());
    println!("distribution    {}", distribution::digest());
}
