//! The resources that exist before a change.

use sableloom_distribution::{Resource, ServiceName, Store};

/// The resources that exist before a change. Only the services that the change touches are visited, so that the cost
/// follows the change and the size of these services.
pub trait Inventory {
    /// Calls `visit` with each resource of a service.
    fn visit(&self, service: &ServiceName, visit: &mut dyn FnMut(&Resource));
}

/// An inventory without resources.
pub struct EmptyInventory;

impl Inventory for EmptyInventory {
    fn visit(&self, _: &ServiceName, _: &mut dyn FnMut(&Resource)) {}
}

impl Inventory for Store {
    fn visit(&self, service: &ServiceName, visit: &mut dyn FnMut(&Resource)) {
        self.resources(service).for_each(visit);
    }
}
