//! The rate limits of tenants: a request is checked once its pool is known, and before the pool sees it.

use std::time::Duration;

use sableloom_capacity_share::Share;
use sableloom_exchange::{Message, RequestRejection};
use sableloom_site_config::Site;
use sableloom_tenant_limits::{LimitDecision, LimitShare, TenantLimits, TenantRejections};
use sableloom_types::Time;
use serde_json::{Value, json};

/// Most tenants that the status lists, those with the most rejections first.
const MAX_TENANTS_LISTED: usize = 10;
/// The longest Retry-After. A tiny share of a small limit comes to days, and the share may grow at any time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3_600);

/// Checks a request against the limit of its tenant. `header` names the header field with the tenant's name. Of several
/// such fields the first whose tenant has a limit counts, so that a further field does not lift a limit.
///
/// # Errors
///
/// [`RequestRejection::OverTenantLimit`] if the tenant is over its limit.
pub(super) fn check_limit(
    limits: &mut TenantLimits,
    header: &str,
    service: &str,
    message: &Message,
    now: Time,
    share: LimitShare,
) -> Result<(), RequestRejection> {
    let named = message.fields.iter().filter(|(name, _)| *name == header.as_bytes());
    for (_, value) in named {
        let Ok(tenant) = std::str::from_utf8(&value) else { continue };
        match limits.check(now, service, tenant, share) {
            LimitDecision::Unlimited => {}
            LimitDecision::Within => return Ok(()),
            LimitDecision::Over(after) => {
                let after = Duration::from_micros(after.0.max(0) as u64);
                return Err(RequestRejection::OverTenantLimit(after.min(MAX_RETRY_AFTER)));
            }
        }
    }
    Ok(())
}

/// This balancer's share of every limit: its share of the fleet's capacity, or one of as many balancers as the site says.
pub(super) fn share_of(site: &Site, capacity_share: Option<Share>, now: Time) -> LimitShare {
    match (&site.fleet, capacity_share) {
        (None, _) => LimitShare::new(1.0 / f64::from(site.locality.balancers.max(1))),
        (Some(_), Some(share)) => LimitShare::new(share.fraction(now)),
        // The fleet has not given one yet.
        (Some(_), None) => LimitShare::NONE,
    }
}

/// The limits and rejections as JSON. The work grows with the number of limits.
pub(super) fn status(limits: &TenantLimits, site: &Site, share: LimitShare) -> Value {
    let row = |rejections: TenantRejections| {
        let TenantRejections { service, tenant, count } = rejections;
        json!({"service": &*service, "tenant": &*tenant, "refused": count})
    };
    let named = limits.most_rejected(MAX_TENANTS_LISTED);
    json!({
        "limits": limits.len(),
        "applied": site.tenants.is_some(),
        "share": share.get(),
        "refused": limits.rejected(),
        "most_refused": named.into_iter().map(row).collect::<Vec<_>>(),
    })
}
