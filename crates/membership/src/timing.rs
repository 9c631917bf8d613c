//! The intervals and factors of the protocol.

use sableloom_types::Span;

/// Intervals and factors of probes, suspicion and gossip.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// From one probe to the next (SWIM's protocol period).
    pub probe_interval: Span,
    /// How long a probed member may take before it is probed indirectly.
    pub probe_timeout: Span,
    /// How many other members are asked for an indirect probe.
    pub indirect_probes: usize,
    /// The shortest suspicion, in probe intervals for each power of ten of the fleet's size (Lifeguard's alpha).
    pub suspicion_factor: f64,
    /// The longest suspicion, in shortest ones (Lifeguard's beta).
    pub max_suspicion_factor: f64,
    /// How often an update is sent, for each doubling of the fleet's size (Lifeguard's lambda).
    pub retransmit_factor: f64,
    /// Whether the member lengthens its own timeouts when it is late, suspected or not answered (Lifeguard's local
    /// health). Without it the protocol is plain SWIM, which comparisons need.
    pub local_health_enabled: bool,
    /// The longest list whose members are all pinged by a process that starts. In a longer one, pings of all would
    /// shorten no wait: a process that starts pulls the table from the first member that answers, and only after that
    /// queries the systems of members that it never heard of, as a system says nothing if its member is there.
    pub max_short_list: usize,
}

impl Default for Timing {
    /// The values of Lifeguard's evaluation (alpha 5, beta 6, K 3), with a probe interval of 200 ms.
    fn default() -> Self {
        Self {
            probe_interval: Span(200_000),
            probe_timeout: Span(80_000),
            indirect_probes: 3,
            suspicion_factor: 5.0,
            max_suspicion_factor: 6.0,
            retransmit_factor: 3.0,
            local_health_enabled: true,
            max_short_list: 512,
        }
    }
}
