//! The intervals and factors of the protocol.

use sableloom_types::Span;

/// Intervals and factors of probes, suspicion and gossip.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// The time from one probe to the next (SWIM's protocol period).
    pub probe_interval: Span,
    /// How long the answer of a probed member may take before the member is probed indirectly.
    pub probe_timeout: Span,
    /// The number of other members from which an indirect probe is requested.
    pub indirect_probes: usize,
    /// The minimum duration of a suspicion, in probe intervals for each power of ten of the fleet's size (Lifeguard's
    /// alpha).
    pub suspicion_factor: f64,
    /// The maximum duration of a suspicion, as a multiple of the minimum (Lifeguard's beta).
    pub max_suspicion_factor: f64,
    /// How often an update is sent, for each doubling of the fleet's size (Lifeguard's lambda).
    pub retransmit_factor: f64,
    /// Whether the member lengthens its own timeouts when it is late, suspected or not answered (Lifeguard's local
    /// health). Without it the protocol is plain SWIM, to which it can be compared.
    pub local_health_enabled: bool,
    /// The maximum number of other members on a short list, all of which a process pings at its start. A process with a
    /// longer list pulls the table from the first member that answers. Only after that does it send absence queries to
    /// unknown members, because the operating system of a running member does not answer a query. Pings of all members
    /// would not shorten that wait.
    pub max_short_list: usize,
}

impl Default for Timing {
    /// Returns the values of Lifeguard's evaluation (alpha 5, beta 6, K 3), with a probe interval of 200 ms.
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
