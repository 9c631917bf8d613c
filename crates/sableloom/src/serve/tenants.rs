//! Limits of tenants at the router: judged once the pool of a request is known, and before the pool hears of it.

use std::time::Duration;

use sableloom_exchange::{Message, RequestRejection};
use sableloom_site_config::Site;
use sableloom_tenant_limits::{Refusals, Share, Verdict};
use sableloom_types::Time;
use serde_json::{Value, json};

use super::routing::Router;

/// Tenants that the status names, those with the most refusals first.
const MAX_REFUSED_NAMED: usize = 10;
/// The longest that a client is told to stay away. A tiny share of a small limit comes to days, and the share may grow
/// at any time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3_600);

impl Router {
    /// Judges a request to a service by its tenant's limit, if the site says how tenants are named, the request names
    /// one and that one has a limit. Of several fields of the name the first with a limit counts, so that a further one
    /// does not lift a limit.
    pub(super) fn judge_tenant(
        &self,
        site: &Site,
        service: &str,
        message: &Message,
    ) -> Result<(), RequestRejection> {
        let Some(tenants) = &site.tenants else { return Ok(()) };
        let limits = &mut self.subscribed.borrow_mut().tenants;
        if limits.is_empty() {
            return Ok(());
        }
        let now = self.clock.now();
        let share = self.tenant_share(site, now);
        let named = message.fields.iter().filter(|(name, _)| *name == tenants.header.as_bytes());
        for (_, value) in named {
            let Ok(tenant) = std::str::from_utf8(&value) else { continue };
            match limits.judge(now, service, tenant, share) {
                Verdict::Unlimited => {}
                Verdict::Within => return Ok(()),
                Verdict::Over(after) => {
                    let after = Duration::from_micros(after.0.max(0) as u64);
                    return Err(RequestRejection::OverTenantLimit(after.min(MAX_RETRY_AFTER)));
                }
            }
        }
        Ok(())
    }

    /// This balancer's share of every limit: its part of the fleet, or its part of as many balancers as the site says.
    fn tenant_share(&self, site: &Site, now: Time) -> Share {
        match (&site.fleet, self.part()) {
            (None, _) => Share::new(1.0 / f64::from(site.locality.balancers.max(1))),
            (Some(_), Some(part)) => Share::new(part.share(now)),
            // The fleet has not said yet.
            (Some(_), None) => Share::NONE,
        }
    }

    /// What is known of limits and refusals, as JSON. Work by the number of limits.
    pub(super) fn tenants_status(&self, site: &Site) -> Value {
        let limits = &self.subscribed.borrow().tenants;
        let refusals = |refusals: Refusals| {
            let Refusals { service, tenant, count } = refusals;
            json!({"service": &*service, "tenant": &*tenant, "refused": count})
        };
        let named = limits.most_refused(MAX_REFUSED_NAMED);
        json!({
            "limits": limits.len(),
            "applied": site.tenants.is_some(),
            "share": self.tenant_share(site, self.clock.now()).get(),
            "refused": limits.refused(),
            "most_refused": named.into_iter().map(refusals).collect::<Vec<_>>(),
        })
    }
}
