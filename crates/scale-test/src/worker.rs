//! A worker: one process with one event loop that carries many hollow balancers, by orders on its standard
//! input. It ends with that.

use std::io::{self, BufRead, Write};
use std::rc::Rc;
use std::thread;

use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::LocalSet;

use crate::lateness::LatenessProbe;
use crate::members::HollowMembers;
use crate::orders::{Order, Reply, Report};
use crate::subscribers::HollowSubscribers;
use crate::usage::Usage;

/// Runs until the standard input ends.
///
/// # Errors
///
/// If the runtime can't be created, or an order can't be read or answered.
pub fn run() -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(orders()))
}

/// The lines of the standard input, read by a thread so that the loop never waits for them.
fn orders() -> UnboundedReceiver<String> {
    let (lines, orders) = unbounded_channel();
    thread::spawn(move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            if lines.send(line).is_err() {
                return;
            }
        }
    });
    orders
}

async fn serve(mut orders: UnboundedReceiver<String>) -> io::Result<()> {
    let lateness = LatenessProbe::start();
    let members = HollowMembers::new();
    let subscribers = HollowSubscribers::default();
    while let Some(line) = orders.recv().await {
        let reply = match serde_json::from_str(&line) {
            Ok(order) => carry_out(order, &members, &subscribers),
            Err(wrong) => Reply::Failed(format!("not an order: {wrong}")),
        };
        let usage = Usage::of(std::process::id()).unwrap_or_default();
        let report = Report { reply, usage, lateness: lateness.take() };
        let mut out = io::stdout().lock();
        serde_json::to_writer(&mut out, &report)?;
        out.write_all(b"\n")?;
        out.flush()?;
    }
    Ok(())
}

fn carry_out(order: Order, members: &Rc<HollowMembers>, subscribers: &HollowSubscribers) -> Reply {
    match order {
        Order::StartMembers(set) => {
            members.start(set);
            Reply::Begun
        }
        Order::Members => Reply::Members(members.report()),
        Order::StartSubscribers(set) => {
            subscribers.start(&set);
            Reply::Begun
        }
        Order::Subscribers => Reply::Subscribers(subscribers.report()),
        Order::BeginStretch => {
            members.begin_stretch();
            subscribers.begin_stretch();
            Reply::Begun
        }
    }
}
