//! The body of a route.

use sableloom_routes::{HeaderCondition, HostPattern, PathPattern, Rule};
use serde::{Deserialize, Serialize};

/// A route to a service, or a route that refuses its requests. Its name is the key of its resource. Encoded by position:
/// the order of the fields must stay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// The order among all routes, the lowest first; equal ranks are ordered by service, then by name.
    pub rank: u32,
    /// The hosts; none for all.
    pub hosts: Vec<HostPattern>,
    /// The paths; none for all.
    pub paths: Vec<PathPattern>,
    /// The methods; none for all.
    pub methods: Vec<String>,
    /// The headers that a request must have, all of them.
    pub headers: Vec<HeaderCondition>,
    /// The names of request classes; none for all. Each balancer's site defines its classes.
    pub classes: Vec<String>,
    /// The HTTP status with which the route refuses its requests; without one it leads to the service's pool.
    pub refusal_status: Option<u16>,
}

impl RouteRule {
    /// The rule from which routes are compiled; `classes` are those of the balancer's site in their order.
    ///
    /// # Errors
    ///
    /// The first class of the route that is not among them.
    pub fn to_rule(&self, classes: &[&str]) -> Result<Rule, UnknownClass> {
        let index = |name: &String| {
            let position = classes.iter().position(|class| class == name);
            position.ok_or_else(|| UnknownClass(name.clone()))
        };
        Ok(Rule {
            hosts: self.hosts.clone(),
            paths: self.paths.clone(),
            methods: self.methods.clone(),
            headers: self.headers.clone(),
            classes: self.classes.iter().map(index).collect::<Result<_, _>>()?,
        })
    }
}

/// A route names a class that the balancer's site does not define.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no class {0:?}")]
pub struct UnknownClass(pub String);
