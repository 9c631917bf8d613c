//! The signals that a balancer handles: SIGTERM ends it, SIGHUP reads the site again, SIGUSR1 logs its status.

use std::rc::Rc;

use sableloom_fleet::RunningMember;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::control::ControlPlane;
use super::error::ServeError;
use super::pools::PoolContext;
use super::reload::reload;
use super::routing::Router;
use crate::fleet;
use crate::site_file::lines_of;

/// The signals that a balancer handles.
pub(super) struct Signals {
    pub(super) terminate: Signal,
    pub(super) hangup: Signal,
    pub(super) status: Signal,
}

impl Signals {
    pub(super) fn new() -> Result<Self, ServeError> {
        let handle = |kind, name| signal(kind).map_err(|cause| ServeError::Signal { name, cause });
        Ok(Self {
            terminate: handle(SignalKind::terminate(), "SIGTERM")?,
            hangup: handle(SignalKind::hangup(), "SIGHUP")?,
            status: handle(SignalKind::user_defined1(), "SIGUSR1")?,
        })
    }

    /// Waits until the subscription has a first state. `false` if the balancer is to end before.
    pub(super) async fn wait_for_state(&mut self, control: &ControlPlane, router: &Router) -> bool {
        if !control.has_state() {
            eprintln!(
                "sableloom: control: no state yet; listening once a control machine has given it"
            );
        }
        loop {
            tokio::select! {
                origin = control.wait_for_state() => {
                    eprintln!("sableloom: control: serving with the state from {origin}");
                    return true;
                }
                _ = self.terminate.recv() => return false,
                _ = self.hangup.recv() => {
                    eprintln!("sableloom: SIGHUP; nothing is changed: nothing is served yet");
                }
                _ = self.status.recv() => {
                    eprintln!("sableloom: status {}", router.status(None, Some(control.status())));
                }
            }
        }
    }
}

/// Reads the site again with each SIGHUP.
pub(super) async fn reload_on(
    mut hangup: Signal,
    context: Rc<PoolContext>,
    router: Rc<Router>,
    fleet: Option<Rc<RunningMember>>,
    control: Option<ControlPlane>,
) {
    while hangup.recv().await.is_some() {
        let summary = match reload(&context, &router).await {
            Ok(summary) => summary,
            Err(problems) => {
                eprintln!("sableloom: SIGHUP; nothing is changed: {}", lines_of(&problems));
                continue;
            }
        };
        eprintln!("sableloom: SIGHUP; {summary}");
        let routing = router.routing.borrow().clone();
        if let (Some(running), Some(fleet)) = (&fleet, &routing.site.fleet) {
            running.update_list(&fleet::others(fleet));
            // New pools don't know the capacity share yet.
            router.set_capacity_share(running.share());
        }
        if let (Some(running), Some(control)) = (&control, &routing.site.control) {
            running.set_scope(control);
        }
    }
}

/// Logs the status with each SIGUSR1.
pub(super) async fn log_status_on(
    mut status: Signal,
    router: Rc<Router>,
    fleet: Option<Rc<RunningMember>>,
    control: Option<ControlPlane>,
) {
    while status.recv().await.is_some() {
        let control = control.as_ref().map(ControlPlane::status);
        eprintln!("sableloom: status {}", router.status(fleet.as_deref(), control));
    }
}
