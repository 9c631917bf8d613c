//! Tenant quotas: this balancer's share of the requests that a tenant may send over all balancers.

use sableloom_types::{TenantQuota, Time};

use crate::token_bucket::TokenBucket;

/// The burst of a tenant within its quota: the requests of this many times T_QoS at its rate.
const BURST_IN_TARGET_TIMES: f64 = 4.0;
/// The number of microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// One token bucket for each tenant.
#[derive(Debug)]
pub(crate) struct TenantQuotas {
    buckets: Vec<TokenBucket>,
    /// By tenant: the quota in requests a second, over all balancers.
    rates: Vec<f64>,
    /// T_QoS in microseconds.
    target_time: f64,
}

impl TenantQuotas {
    pub(crate) fn new(tenants: &[TenantQuota], target_time: f64, now: Time) -> Self {
        Self {
            buckets: vec![TokenBucket::with_tokens(1.0, now); tenants.len()],
            rates: tenants.iter().map(|tenant| tenant.quota_rps).collect(),
            target_time,
        }
    }

    /// Whether one more request of a tenant is within this balancer's share of its quota. Rejected requests do not
    /// count. A tenant that is not in the settings has no quota and is always within.
    pub(crate) fn is_within(&mut self, now: Time, tenant: usize, balancers: u32) -> bool {
        let Some(bucket) = self.buckets.get_mut(tenant) else { return true };
        let rate = self.rates[tenant] / MICROS_PER_SECOND / f64::from(balancers);
        let capacity = (rate * self.target_time * BURST_IN_TARGET_TIMES).max(1.0);
        *bucket = TokenBucket::with_tokens(bucket.available(now, rate, capacity), now);
        bucket.tokens() >= 1.0
    }

    /// Takes a token for a request that was admitted within the quota.
    pub(crate) fn record_admitted(&mut self, tenant: usize) {
        if let Some(bucket) = self.buckets.get_mut(tenant) {
            bucket.take();
        }
    }
}
