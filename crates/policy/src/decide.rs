//! Every decision of the balancer, and nothing else: no clock, no I/O, no threads.
//!
//! The ordinary path is the mechanism of Ould Deye et al.: a first-come queue at the
//! proxy, at most `K_i = 2*TP_i/TS_i + 1` requests out per upstream, and refusal once
//! queued plus in-flight reach the sum of `N_i = T_QoS / (2*TP_i + TS_i)`. Comments give the reasons.

use std::collections::VecDeque;

use oorandom::Rand64;
use rustc_hash::FxHashMap;

use sableloom_types::*;

// ---------------------------------------------------------------- tunables

/// Housekeeping period as a share of the shortest aim: held requests are refused close to their limit.
const SWEEP_OF_AIM: f64 = 1.0 / 32.0;
/// Most answers that an upstream's own mean stands for: about the last eight count.
const OWN_MOST: f64 = 8.0;
/// What is known of a level (all upstreams, one kind) counts as this many answers of the level below
/// it, or as fewer where those differ: Buhlmann's credibility, variance within over between. Failure:
/// with one or two answers of an upstream a day a quarter of the tries at the smallest failed.
const LEVEL_WEIGHT: f64 = 4.0;
/// However far they differ, it counts as this many.
const LEVEL_LEAST: f64 = 0.5;
/// Answers of its own from which an upstream tells how far those of its kind differ.
const TELLING: f64 = 4.0;
/// Weight of a new answer in a mean over many upstreams: about the last fifty count.
const MEAN_GAIN: f64 = 0.02;
/// A time-out tells only that the answer would have taken longer: so many times as long.
const CENSORED: f64 = 2.0;
/// An attempt that failed counts as this many mean service times at least.
const FAULT_SLOWNESS: f64 = 5.0;
/// One answer counts as this many mean service times at most: a heavy request condemns nobody.
const SLOWNESS_MAX: f64 = 10.0;
/// A timed-out attempt keeps its slot for this many times its time-out: the upstream may
/// still be at work on it, and a slot freed at once piles unseen work on it.
const GHOST_OF_TIMEOUT: f64 = 1.0;
/// An upstream that turned a request away gets nothing for this share of the mean service time;
/// one that can't be reached, twice as long each time in a row.
const PAUSE_OF_TS: f64 = 0.5;
/// Failed attempts of one class in a row, at one upstream, after which it is left out for the class
/// as well, and tried with one request at a time until one is served.
const STREAK: u32 = 2;
/// A turn-away tells the propagation time only within this share of the mean service time. Failure:
/// upstreams that took 95 ms to turn a class away seemed far off, and K went from 4 to 39.
const QUICK_OF_TS: f64 = 0.25;
/// Most doublings of the pause: some thirty service times between trials of a dead upstream.
const PAUSE_DOUBLINGS: u32 = 6;
/// A refused client is told to come back no sooner than after this share of the mean service time.
const COME_BACK_OF_TS: f64 = 0.5;
/// Share of the aim that queue and service may take; the rest is for the spread of service times.
const HOLD_OF_AIM: f64 = 0.7;
/// A held request with less time left than this many mean latencies of its class is given up. Failure:
/// repeats with what was left of their first try's time were sent too late; a sixth of all timed out.
const LEAST_LEFT: f64 = 1.0;
/// Part of the bearable wait that the class of least worth for its work may use.
const LEAST_PART: f64 = 0.2;
/// A request with less than this share of the usual wait left is a repeat that its client's end
/// cuts short: the rest is for what the way to the proxy took.
const FULL_WAIT: f64 = 0.9;
/// A request moves the usual wait of its class by this share of the class's deadline.
const FULL_WAIT_STEP: f64 = 0.002;
/// Requests inside its quota that a tenant may save up, as this many times T_QoS of its rate.
const QUOTA_BURST_OF_QOS: f64 = 4.0;
/// An upstream this many times slower than the mean is a suspect.
const SUSPECT: f64 = 2.0;
/// An upstream across zones costs so many times one nearby where crossing has a price. Failure:
/// with near ones always first, a zone with more clients than upstreams was overrun, others idle.
const FAR_COST: f64 = 100.0;
/// Fewest lanes of an upstream, over all proxies. Failure: when all is slow at once, latency is
/// over its target even unloaded, and lanes that fall further leave upstreams idle.
const LEAST_LANES: f64 = 6.0;
/// Weight of a new answer in a class's pressure: about the last dozen answers count.
const PRESSURE_GAIN: f64 = 0.08;
/// Share of its aim that a class may take on average before lanes are given up:
/// the rest leaves room for the spread of service times around their mean.
const PRESSURE_TARGET: f64 = 0.5;
/// A class that takes long even alone may take up to this share of its aim.
const PRESSURE_MOST: f64 = 0.7;
/// So many times its unloaded latency is no sign yet that a class waits for others.
const UNCONTENDED: f64 = 1.5;
/// Weight of a new answer by which the unloaded latency rises again: what was once quick and is
/// not any more counts for about a thousand answers.
const UNLOADED_GAIN: f64 = 0.001;
/// Lanes won per answer at no pressure by a proxy that holds what it started with: about a tenth
/// of these per round trip, whatever it holds.
const LANE_STEP: f64 = 0.1;
/// Lanes are given up so many times faster than won: late answers are worth less than held ones.
const LANE_FALL: f64 = 2.0;
/// Lanes of an upstream, over all proxies, before any answer.
const START_LANES: f64 = 12.0;
/// Lanes of a young upstream, over all proxies, while no warm one has told what they serve.
const YOUNG_LANES: f64 = 4.0;
/// Share of the lanes that must be in use before more are won.
const LANES_USED: f64 = 0.7;
/// TS of an upstream before any answer from any upstream, as a share of T_QoS.
const TS_PRIOR_OF_QOS: f64 = 0.25;
/// Longest first wait before the list is asked, as a share of `poll_interval`: banks restart together.
const ASK_JITTER_OF_EVERY: f64 = 0.05;
/// A list call unanswered for this share of `poll_interval` is made again.
const ASK_AGAIN_OF_EVERY: f64 = 0.5;

// ---------------------------------------------------------------- settings

fn checked(mut settings: PolicySettings) -> Result<PolicySettings, PolicySettingsError> {
    if settings.classes.is_empty() {
        return Err(PolicySettingsError::NoClasses);
    }
    if let Some(i) =
        settings.classes.iter().position(|c| c.latency_objective.0 <= 0 || c.deadline.0 <= 0)
    {
        return Err(PolicySettingsError::BadLatencyObjective(i));
    }
    // Safe defaults: a zero tick or cold share would stop a clock or a cold server for ever.
    settings.tick.0 = settings.tick.0.max(100);
    settings.balancers = settings.balancers.max(1);
    settings.limits.max_attempts = settings.limits.max_attempts.max(1);
    settings.rules.slow_start_initial_share =
        settings.rules.slow_start_initial_share.clamp(0.01, 1.0);
    settings.rules.poll_interval.0 = settings.rules.poll_interval.0.max(settings.tick.0 * 10);
    Ok(settings)
}

/// T_QoS: one target for all, as stated or the mean of the class aims.
fn t_qos(settings: &PolicySettings) -> f64 {
    if let Some(stated) = settings.t_qos.filter(|t| t.0 > 0) {
        return stated.as_micros_f64();
    }
    settings.classes.iter().map(|c| c.latency_objective.as_micros_f64()).sum::<f64>()
        / settings.classes.len() as f64
}

fn sweep_every(settings: &PolicySettings) -> Span {
    let latency_objective =
        settings.classes.iter().map(|c| c.latency_objective.0).min().unwrap_or(0);
    Span(((latency_objective as f64 * SWEEP_OF_AIM) as i64).max(settings.tick.0))
}

// ---------------------------------------------------------------- state

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    server: usize,
    sent: Time,
    fate: Fate,
}

#[derive(Debug)]
struct Entry {
    class: usize,
    key: Option<u64>,
    deadline: Time,
    /// When an answer stops being worth anything.
    worth_until: Time,
    /// When a held request must be given up.
    hold_until: Time,
    held: bool,
    ended: bool,
    attempts: Vec<Attempt>,
}

impl Entry {
    fn out(&self) -> bool {
        self.attempts.iter().any(|a| a.fate == Fate::Out)
    }
    fn all_never_ran(&self) -> bool {
        self.attempts.iter().all(|a| a.fate == Fate::NeverRan)
    }
}

#[derive(Debug)]
struct Server {
    id: ServerId,
    zone: u32,
    kind: u32,
    cell: u32,
    status: EndpointStatus,
    weight: f64,
    started: Option<Time>,
    identity: u64,
    in_flight: u32,
    paused_until: Time,
    /// Connections failed in a row, pauses apart.
    setbacks: u32,
    /// By class.
    trust: Vec<Trust>,
    est: Estimate,
    /// How much of it is there.
    present: f64,
    /// Sends a young upstream may still get.
    tokens: Tokens,
}

/// How an upstream fares with one class. Guards against whatever makes it useless for some work
/// only: a part of it that fails, turns away or hangs. Failure: six upstreams of ten turned a class
/// away after 95 ms; all classes paused there, as many came again, and half of that class's attempts
/// ended there. Does harm where failures come in a row by chance: it stands idle for one pause.
#[derive(Clone, Copy, Debug)]
struct Trust {
    /// Failures in a row, those sent before a pause apart.
    streak: u32,
    paused_until: Time,
    out: u32,
}

impl Trust {
    fn new(now: Time) -> Self {
        Self { streak: 0, paused_until: now, out: 0 }
    }

    fn allows(&self, now: Time) -> bool {
        now >= self.paused_until && (self.streak < STREAK || self.out == 0)
    }

    fn shuts_out(&self, now: Time) -> bool {
        now < self.paused_until || self.streak >= STREAK
    }

    /// `forgiven` failures in a row bring no pause.
    fn fail(&mut self, now: Time, sent: Time, ts: f64, forgiven: u32) {
        if now < self.paused_until || (self.streak >= STREAK && sent < self.paused_until) {
            return; // Sent before the pause: the same trouble, already counted.
        }
        if self.streak >= forgiven {
            let times = 1 << (self.streak - forgiven).min(PAUSE_DOUBLINGS);
            self.paused_until =
                now.plus(Span::from_micros_f64(ts * PAUSE_OF_TS * f64::from(times)));
        }
        self.streak = (self.streak + 1).min(STREAK + PAUSE_DOUBLINGS);
    }
}

impl Server {
    /// Failure: the upstreams of a lost zone, long still on the list, were tried again every few
    /// milliseconds by every proxy, and most attempts of the bank ended there.
    fn unreachable(&mut self, now: Time, ts: f64) {
        if now < self.paused_until {
            return; // Sent before the pause began: the same trouble, already counted.
        }
        let times = f64::from(1 << self.setbacks);
        self.paused_until = now.plus(Span::from_micros_f64(ts * PAUSE_OF_TS * times));
        self.setbacks = (self.setbacks + 1).min(PAUSE_DOUBLINGS);
    }
}

/// Sends or requests saved up at a steady rate, and when that was last reckoned.
#[derive(Clone, Copy, Debug)]
struct Tokens {
    left: f64,
    at: Time,
}

impl Tokens {
    /// What is there by now, at most `most`.
    fn by(&self, now: Time, rate: f64, most: f64) -> f64 {
        (self.left + now.since(self.at).as_micros_f64().max(0.0) * rate).min(most)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct ClassQueue {
    queued: usize,
    shut_out: bool,
}

/// The bank's share of one proxy: all its decisions.
#[derive(Debug)]
pub struct Balancer {
    settings: PolicySettings,
    t_qos: f64,
    rng: Rand64,
    servers: Vec<Server>,
    by_id: FxHashMap<ServerId, usize>,
    /// How connections to each zone fare.
    zones: FxHashMap<u32, Trust>,
    /// Places in `servers` of upstreams that are forgotten, for those that come.
    vacant: Vec<usize>,
    requests: FxHashMap<RequestId, Entry>,
    queue: VecDeque<RequestId>,
    in_flight: usize,
    /// Timed-out attempts that may still run: when their slot is free, and where.
    ghosts: Vec<(Time, usize)>,
    queued: usize,
    /// By class: how many of it are queued, and whether every upstream is left out for it.
    class_queue: Vec<ClassQueue>,
    fleet: Fleet,
    ask: Asking,
    /// Requests each tenant has left inside its quota.
    quota: Vec<Tokens>,
    /// The usual wait that a request of each class comes with.
    full_wait: Vec<Span>,
}

// ---------------------------------------------------------------- estimator: TP, TS -> K, N

/// What the answers of one upstream told: the round trip is split into 2*TP + TS.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// Twice the propagation time: the least round trip of an answer that did no work.
    tp2: Option<f64>,
    /// Slowness: service time, waiting at the upstream included, over the fleet's mean for
    /// the same class. TS_i is this times the fleet's mean, whatever mix of classes it drew. Its
    /// kind's slowness stands in for what few answers of its own tell.
    slow: f64,
    /// The mean of its own answers, and how many it stands for.
    own: f64,
    answers: f64,
}

impl Estimate {
    /// Before any answer.
    const NONE: Self = Self { tp2: None, slow: 1.0, own: 1.0, answers: 0.0 };

    /// Takes in an answer of this latency, where the fleet's mean for its class is `mean`; returns
    /// how far a served one lay from those before it, squared.
    fn learn(&mut self, outcome: Outcome, latency: f64, mean: f64) -> Option<f64> {
        if outcome == Outcome::Rejected && latency < mean * QUICK_OF_TS {
            self.tp2 = Some(self.tp2.map_or(latency, |t| t.min(latency)));
        }
        let service = (latency - self.tp2.unwrap_or(0.0)).max(1.0) / mean;
        let service = match outcome {
            Outcome::Ok => service,
            // A quick error must not look like a fast upstream (it would earn slots).
            Outcome::Error | Outcome::Timeout | Outcome::Reset => service.max(FAULT_SLOWNESS),
            _ => return None,
        };
        let (off, before) = (service.min(SLOWNESS_MAX) - self.own, self.answers);
        self.answers = (before + 1.0).min(OWN_MOST);
        self.own += off / self.answers;
        // The mean of so few is off by chance as well.
        let told = outcome == Outcome::Ok && before >= 1.0;
        told.then_some(off * off * before / (before + 1.0))
    }

    fn blend(&mut self, (level, weight): (f64, f64)) {
        self.slow = (level * weight + self.own * self.answers) / (weight + self.answers);
    }
}

/// Takes `x` into a mean and the answers it stands for, beside `prior` of the level above.
fn toward((mean, answers): &mut (f64, f64), x: f64, prior: f64) {
    *answers += 1.0;
    *mean += (x - *mean) * (1.0 / (prior + *answers)).max(MEAN_GAIN);
}

/// Mean slowness that the upstreams of one kind showed over all requests, and how much slower each
/// class was than that; each with the count of its answers.
#[derive(Debug, Default)]
struct Kind {
    all: (f64, f64),
    class: Vec<(f64, f64)>,
    /// Variance of single answers of one upstream, and how many of those the kind counts for.
    noise: (f64, f64),
    weight: f64,
    /// Answers of warm upstreams, a decaying count; and their highest rate per unit of weight lately.
    warm_served: f64,
    warm_rate: f64,
}

/// What the fleet as a whole sustains for this proxy.
#[derive(Debug, Default)]
struct Fleet {
    /// TS, and the answers that told it.
    ts: (f64, f64),
    /// Mean latency of each class and its answers; the least that the mean has been: what a class
    /// takes when it waits for no other, zero until enough answers make a mean; latency over aim.
    mean: Vec<(f64, f64)>,
    unloaded: Vec<f64>,
    pressure: Vec<f64>,
    kinds: Vec<Kind>,
    /// The longest wait that each class can bear, and the part of it that a class may use.
    bearable: f64,
    part: Vec<f64>,
    /// Requests that all upstreams together serve at once for this proxy: the sum of their
    /// lanes L_i. The paper's upstreams run one at a time and have a lane each; many proxies
    /// that share many-core upstreams have any number, also less than one each.
    lanes: f64,
    tp2: f64,
    /// Sum of L_i / (2*TP_i + TS_i), and of speeds, over live upstreams.
    n_per_time: f64,
    speed_sum: f64,
    /// Upstreams that are there, a cold one by its share.
    present: f64,
    /// The highest rate of answers of warm upstreams per unit of weight that was seen lately.
    any_rate: f64,
    counted: Time,
}

/// What is there of an upstream's speed, over that of the fleet's mean.
fn speed(s: &Server) -> f64 {
    s.present * s.weight / s.est.slow
}

impl Balancer {
    fn ts(&self, s: &Server) -> f64 {
        self.fleet.ts.0 * s.est.slow
    }

    fn tp2(&self, s: &Server) -> f64 {
        s.est.tp2.unwrap_or(self.fleet.tp2)
    }

    /// L_i: the upstream's part of the lanes, by its speed.
    fn lane_share(&self, s: &Server) -> f64 {
        self.fleet.lanes * speed(s) / self.fleet.speed_sum.max(1e-12)
    }

    /// K_i in whole requests; below one it still is one, or the upstream would never update.
    fn k(&self, s: &Server) -> u32 {
        let k = self.tp2(s) / self.ts(s) + self.lane_share(s);
        (k.ceil() as u32).max(1)
    }

    /// This proxy's part of so many lanes for each live upstream over the whole bank.
    fn own_part(&self, lanes: f64) -> f64 {
        self.fleet.present * lanes / f64::from(self.settings.balancers)
    }

    /// So many proxies share the upstreams from now on. A part that grew is no more than a start.
    pub fn set_balancers(&mut self, balancers: u32) {
        let before = std::mem::replace(&mut self.settings.balancers, balancers.max(1));
        let scaled = self.fleet.lanes * f64::from(before) / f64::from(self.settings.balancers);
        self.fleet.lanes = scaled.min(self.fleet.lanes.max(self.own_part(START_LANES)));
    }

    /// N_i per unit of time: L_i / (2*TP_i + TS_i).
    fn n_rate(&self, s: &Server) -> f64 {
        self.lane_share(s) / (self.tp2(s) + self.ts(s))
    }

    fn learn_means(&mut self, class: usize, latency: f64) {
        let f = &mut self.fleet;
        toward(&mut f.ts, latency, LEVEL_WEIGHT);
        toward(&mut f.mean[class], latency, 0.0);
        let ((mean, answers), least) = (f.mean[class], &mut f.unloaded[class]);
        if *least > 0.0 || answers * MEAN_GAIN >= 1.0 {
            let risen = if *least > 0.0 { *least + (mean - *least) * UNLOADED_GAIN } else { mean };
            *least = risen.min(mean);
        }
    }

    /// Mean latency of a class; TS before any answer of it.
    fn mean(&self, class: usize) -> f64 {
        Some(self.fleet.mean[class].0).filter(|m| *m > 0.0).unwrap_or(self.fleet.ts.0)
    }

    /// How much slower than at other work the upstreams of this kind are at this class. Failure: of
    /// two classes each quick on another kind, either was sent where the other was quick.
    fn fit(&self, class: usize, kind: u32) -> f64 {
        self.fleet.kinds.get(kind as usize).map_or(1.0, |k| k.class[class].0)
    }

    /// How slow upstreams of this kind are, and how many answers of one that counts for.
    fn level(&self, kind: u32) -> (f64, f64) {
        let level = |k: &Kind| (k.all.0, k.weight);
        self.fleet.kinds.get(kind as usize).map_or((1.0, LEVEL_WEIGHT), level)
    }

    fn learn_kind(&mut self, class: usize, kind: u32, latency: f64) {
        let slow = (latency / self.mean(class)).min(SLOWNESS_MAX);
        let (f, classes) = (&mut self.fleet, self.settings.classes.len());
        let fresh = || Kind {
            all: (1.0, 0.0),
            class: vec![(1.0, 0.0); classes],
            weight: LEVEL_WEIGHT,
            ..Kind::default()
        };
        f.kinds.resize_with(f.kinds.len().max(kind as usize + 1), fresh);
        let k = &mut f.kinds[kind as usize];
        toward(&mut k.all, slow, LEVEL_WEIGHT);
        toward(&mut k.class[class], slow / k.all.0, LEVEL_WEIGHT);
    }

    /// Brings what is known of each upstream together with what is known of its kind.
    fn refresh_levels(&mut self, now: Time) {
        let rules = &self.settings.rules;
        let forget = (-now.since(self.fleet.counted).as_micros_f64()
            / rules.slow_start.as_micros_f64().max(1.0))
        .exp();
        let mut spread = vec![(0.0, 0.0); self.fleet.kinds.len()];
        for s in &mut self.servers {
            // What an upstream was a warm-up ago tells little of what it is.
            s.est.answers *= forget;
            let kind = self.fleet.kinds.get(s.kind as usize);
            if let Some(k) = kind.filter(|_| s.est.answers >= TELLING) {
                let (sum, count) = &mut spread[s.kind as usize];
                *sum += (s.est.own - k.all.0).powi(2) - k.noise.0 / s.est.answers;
                *count += 1.0;
            }
        }
        for (k, (sum, count)) in self.fleet.kinds.iter_mut().zip(spread) {
            let like = if count > 0.0 { k.noise.0 / (sum / count).max(1e-9) } else { f64::MAX };
            k.weight = like.clamp(LEVEL_LEAST, LEVEL_WEIGHT);
        }
        for i in 0..self.servers.len() {
            let level = self.level(self.servers[i].kind);
            self.servers[i].present = self.presence(now, &self.servers[i]);
            self.servers[i].est.blend(level);
        }
        if self.servers.iter().all(|s| s.present == 0.0) {
            // Nothing tells one from another, and N must not be zero.
            let live = |s: &Server| f64::from(u8::from(s.status == EndpointStatus::Live));
            self.servers.iter_mut().for_each(|s| s.present = live(s));
        }
    }

    /// Moves the lanes by one answer: up while its class has room, down once it has not.
    fn press(&mut self, class: usize, latency: f64) {
        let latency_objective = self.settings.classes[class].latency_objective.as_micros_f64();
        let (least, fair) = (self.own_part(LEAST_LANES), self.own_part(START_LANES));
        let f = &mut self.fleet;
        let p = &mut f.pressure[class];
        *p += ((latency / latency_objective).min(2.0) - *p) * PRESSURE_GAIN;
        // Only the class that answers has a say: one refused whole would never update. Failure: work that
        // takes half its aim even alone kept the lanes at their floor, half refused beside idle cores.
        let alone = f.unloaded[class] * UNCONTENDED / latency_objective;
        let room = (1.0 - *p / alone.clamp(PRESSURE_TARGET, PRESSURE_MOST)).clamp(-1.0, 1.0);
        let used = (self.in_flight + self.queued) as f64 >= LANES_USED * f.lanes;
        if room < 0.0 {
            f.lanes += LANE_STEP * LANE_FALL * room;
        } else if used {
            // The more lanes, the slower they grow. Failure: grown in proportion they stayed with who
            // had them: of three proxies one refused at its floor of 11, beside one with 90 half unused.
            f.lanes += LANE_STEP * room * fair.max(1.0) / f.lanes;
        }
        f.lanes = f.lanes.max(least);
    }

    /// Requests out at an upstream, its K_i, and its N_i within the time `t`; for gauges.
    pub fn upstream(&self, id: ServerId, t: Span) -> Option<(u32, u32, f64)> {
        let s = &self.servers[*self.by_id.get(&id)?];
        Some((s.in_flight, self.k(s), self.n_rate(s) * t.as_micros_f64()))
    }

    /// Brings up to date what is reckoned over all upstreams.
    fn refresh(&mut self, now: Time) {
        for (c, queue) in self.class_queue.iter_mut().enumerate() {
            let mut live =
                self.servers.iter().filter(|s| s.status == EndpointStatus::Live).peekable();
            queue.shut_out = live.peek().is_some() && live.all(|s| s.trust[c].shuts_out(now));
        }
        self.refresh_levels(now);
        self.refresh_warm(now);
        self.refresh_fleet();
    }

    /// How much of an upstream is there: a cold one counts by its share, one that can't be reached
    /// not at all. Failure: when most of the bank was new or gone, the lanes meant for it all went
    /// to what was left, which then answered hardly anything in time.
    fn presence(&self, now: Time, s: &Server) -> f64 {
        let cut = self.zones.get(&s.zone).is_some_and(|z| z.streak >= STREAK);
        let there = s.status == EndpointStatus::Live && s.setbacks == 0 && !cut;
        if there { self.cold_share(now, s).unwrap_or(1.0) } else { 0.0 }
    }

    fn refresh_fleet(&mut self) {
        let told = || self.servers.iter().filter_map(|s| s.est.tp2);
        if told().next().is_some() {
            self.fleet.tp2 = told().sum::<f64>() / told().count() as f64;
        }
        let live = || self.servers.iter().filter(|s| s.status == EndpointStatus::Live);
        let present: f64 = live().map(|s| s.present).sum();
        if self.fleet.present > 0.0 && present > 0.0 {
            // Failure: a fleet that doubled kept its old lanes, and refused beside idle upstreams.
            self.fleet.lanes *= present / self.fleet.present;
        }
        if present > 0.0 {
            self.fleet.present = present;
        }
        if self.fleet.lanes == 0.0 {
            self.fleet.lanes = self.own_part(START_LANES).max(present.min(1.0));
        }
        self.fleet.speed_sum = live().map(speed).sum();
        self.fleet.n_per_time = live().map(|s| self.n_rate(s)).sum();
        self.refresh_admission();
    }
}

// ---------------------------------------------------------------- admission

impl Balancer {
    /// A client request has arrived; it is sent, held or refused.
    pub fn request(&mut self, now: Time, r: Request, out: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(r.class) else {
            out.push(Action::Reject { request: r.id, retry_after: Span(0) });
            return;
        };
        if self.requests.contains_key(&r.id) {
            return;
        }
        // A held request is worth holding only while its aim can be met, also where a late answer
        // keeps some worth: else, in lasting overload, the whole queue is served late.
        let aim_at = r.deadline.min(now.plus(class.latency_objective));
        let worth_until = if class.late_priority_weight > 0.0 { r.deadline } else { aim_at };
        // Two sweeps early at least: a refusal must come while it is still harmless.
        let harmless = aim_at.0 - 2 * sweep_every(&self.settings).0;
        let least = Span::from_micros_f64(self.fleet.mean[r.class].0 * LEAST_LEFT);
        let hold_until = Time(harmless.min(aim_at.0 - least.0));
        let entry = Entry {
            class: r.class,
            key: r.key,
            deadline: r.deadline,
            worth_until,
            hold_until,
            held: false,
            ended: false,
            attempts: Vec::new(),
        };
        self.requests.insert(r.id, entry);
        let inside = self.inside_quota(now, r.tenant);
        let late = self.late_for_sure(now, &r);
        // Where nobody has time enough one of a class at a time is tried, or no answer tells otherwise.
        // Failure: after answers slower than the aim a class was refused for good, by idle upstreams.
        let usual =
            self.settings.classes[r.class].latency_objective.0.min(self.full_wait[r.class].0);
        let same = |e: &Entry| e.class == r.class && e.out();
        let hopeless = now.0 >= harmless || least.0 < usual || self.requests.values().any(same);
        let in_vain = now >= hold_until && hopeless;
        if !self.admits(r.class, inside && !late) || in_vain {
            self.refuse(r.id, out);
            return;
        }
        if let Some(tokens) = self.quota.get_mut(r.tenant).filter(|_| inside) {
            tokens.left -= 1.0;
        }
        self.hold(r.id, false);
        self.dispatch(now, out);
    }

    /// Whether an answer would miss the aim that counts from the client's first try. A repeat is
    /// told by less time left than a first try brings. Failure: in overload, repeats past their
    /// aim took the slots, and most of what was served came late.
    fn late_for_sure(&mut self, now: Time, r: &Request) -> bool {
        let (class, left) = (&self.settings.classes[r.class], r.deadline.since(now));
        let full = &mut self.full_wait[r.class];
        // The median, as most come with the same wait. Failure: by the longest, last tries that wait
        // to the very end made first tries look like repeats.
        let step = (class.deadline.as_micros_f64() * FULL_WAIT_STEP).max(1.0) as i64;
        full.0 = if full.0 == 0 { left.0 } else { full.0 + step * (left.0 - full.0).signum() };
        let waited = class.deadline.as_micros_f64() - left.as_micros_f64();
        left.as_micros_f64() < full.as_micros_f64() * FULL_WAIT
            && waited + self.fleet.mean[r.class].0 > class.latency_objective.as_micros_f64()
    }

    /// Whether a tenant has asked this proxy for no more than its part of the quota, what was
    /// refused apart.
    fn inside_quota(&mut self, now: Time, tenant: usize) -> bool {
        let Some(tokens) = self.quota.get_mut(tenant) else { return true };
        let rate = self.settings.tenants[tenant].quota_rps / 1e6 / self.settings.balancers as f64;
        let most = (rate * self.t_qos * QUOTA_BURST_OF_QOS).max(1.0);
        *tokens = Tokens { left: tokens.by(now, rate, most), at: now };
        tokens.left >= 1.0
    }

    /// The paper's check: queued plus in-flight stay under the sum of N_i. T_QoS is one for
    /// all, the wait that even the tightest class can bear, or long aims would fill the queue
    /// and starve short ones; classes worth less for their work get a smaller part of it.
    fn admits(&self, class: usize, in_full: bool) -> bool {
        let n = self.room(class, in_full);
        // With no list yet there is no N to sum: hold until an upstream shows or time is up.
        n == 0.0 || ((self.queued - self.idle_queue(class) + self.in_flight) as f64) < n.max(1.0)
    }

    /// The sum of N_i = L_i * T / (2*TP_i + TS_i) for a class.
    fn room(&self, class: usize, in_full: bool) -> f64 {
        // Failure: a tenant past its quota, worth little there, took the slots of the others.
        let part = self.fleet.part[class] * if in_full { 1.0 } else { LEAST_PART };
        self.fleet.n_per_time * (self.fleet.ts.0 + self.fleet.bearable * part)
    }

    /// Queued requests of other classes that compete with this one for nothing, as every upstream
    /// is left out for them. Failure: one class that was turned away everywhere filled the queue,
    /// and the others were refused beside idle upstreams.
    fn idle_queue(&self, class: usize) -> usize {
        let others = self.class_queue.iter().enumerate().filter(|(c, q)| *c != class && q.shut_out);
        others.map(|(_, q)| q.queued).sum()
    }

    fn refresh_admission(&mut self) {
        let f = &mut self.fleet;
        let classes = &self.settings.classes;
        let bear = |(c, (m, _)): (&RequestClass, &(f64, f64))| {
            c.latency_objective.as_micros_f64() * HOLD_OF_AIM - m
        };
        f.bearable = classes.iter().zip(&f.mean).map(bear).fold(f64::MAX, f64::min).max(0.0);
        let value = |c: usize, m: &[(f64, f64)]| classes[c].priority_weight / m[c].0.max(1.0);
        for c in 0..classes.len() {
            let mine = value(c, &f.mean);
            let below = (0..classes.len()).filter(|&o| value(o, &f.mean) < mine).count();
            let rank =
                if classes.len() == 1 { 1.0 } else { below as f64 / (classes.len() - 1) as f64 };
            f.part[c] = LEAST_PART + (1.0 - LEAST_PART) * rank;
        }
    }

    fn refuse(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let class = self.requests.get(&id).map_or(0, |e| e.class);
        out.push(Action::Reject { request: id, retry_after: self.come_back(class) });
        self.end(id);
    }

    /// When a refused request is worth bringing again: once what is ahead of it over the limit of
    /// its class has been served, and no sooner than one service takes. Guards against repeats that
    /// meet the queue that turned them away; where the queue empties at once they come late.
    fn come_back(&self, class: usize) -> Span {
        let limits = &self.settings.limits;
        if !limits.retry_after {
            return Span(0);
        }
        let over = (self.queued + self.in_flight) as f64 - self.room(class, true);
        let wait = over.max(0.0) / self.fleet.n_per_time.max(1e-9);
        let wait = Span::from_micros_f64(wait.max(self.fleet.ts.0 * COME_BACK_OF_TS));
        if limits.max_retry_after.0 > 0 { wait.min(limits.max_retry_after) } else { wait }
    }

    fn end(&mut self, id: RequestId) {
        let Some(e) = self.requests.get_mut(&id) else { return };
        e.ended = true;
        if std::mem::take(&mut e.held) {
            self.queued -= 1;
            self.class_queue[e.class].queued -= 1;
        }
        if !e.out() {
            self.requests.remove(&id);
        }
    }
}

// ---------------------------------------------------------------- queue and dispatch

impl Balancer {
    fn hold(&mut self, id: RequestId, at_head: bool) {
        let Some(e) = self.requests.get_mut(&id) else { return };
        e.held = true;
        self.queued += 1;
        self.class_queue[e.class].queued += 1;
        if at_head {
            self.queue.push_front(id);
        } else {
            self.queue.push_back(id);
        }
    }

    /// First come, first served, while some upstream has a free slot.
    fn dispatch(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut i = 0;
        // Classes that no upstream takes: those behind them are not held up.
        let mut stuck = vec![false; self.settings.classes.len()];
        while let Some(&id) = self.queue.get(i) {
            if self.in_flight as f64 >= self.fleet.lanes.max(1.0) {
                break;
            }
            let Some(e) = self.requests.get(&id).filter(|e| e.held) else {
                self.queue.remove(i);
                continue;
            };
            let (fresh, class) = (e.attempts.is_empty(), e.class);
            if stuck[class] {
                i += 1;
                continue;
            }
            match self.pick(now, id) {
                Some(server) => {
                    self.queue.remove(i);
                    self.send(now, id, server, out);
                }
                // Nothing is free. A repeat may merely be bound to other upstreams: look behind it.
                None => {
                    stuck[class] |= fresh;
                    if stuck.iter().all(|s| *s) {
                        break;
                    }
                    i += 1;
                }
            }
        }
    }

    /// Among the upstreams with a free slot, the one that would answer soonest; equals by lot.
    fn pick(&mut self, now: Time, id: RequestId) -> Option<usize> {
        let mut best = None;
        let e = self.requests.get(&id)?;
        let key = e.key.filter(|_| self.settings.warm_keys);
        for i in 0..self.servers.len() {
            if !self.has_slot(now, i)
                || !self.servers[i].trust[e.class].allows(now)
                || !self.may_send(now, e, i)
            {
                continue;
            }
            // An upstream that already failed this request comes last.
            let again = e.attempts.iter().any(|a| a.server == i);
            let s = &self.servers[i];
            let far = self.settings.cross_zone_price > 0.0 && s.zone != self.settings.zone;
            // Weighted rendezvous hashing: the key (or chance) draws each upstream's lot, its
            // slowness and what it holds raise the cost. All balancers that see the same speeds
            // send a key to the same upstream, and a hot one gives way as its upstream slows.
            let lot = match key {
                Some(key) => key_lot(key, s.identity),
                None => self.rng.rand_float(),
            };
            let slow = s.est.slow * self.fit(e.class, s.kind) / s.weight;
            let distance = if far { FAR_COST } else { 1.0 };
            let cost = -lot.max(1e-12).ln() * slow * slow * f64::from(s.in_flight + 1) * distance;
            // One in a zone that seems cut off, last of all. Failure: each proxy learnt for each
            // upstream there by itself, and a fifth of all attempts waited for connections.
            let doubtful = self.zones.get(&s.zone).is_some_and(|z| !z.allows(now));
            let rank = (doubtful, again, cost);
            if best.is_none_or(|(_, r)| rank < r) {
                best = Some((i, rank));
            }
        }
        best.map(|(i, _)| i)
    }

    fn has_slot(&self, now: Time, i: usize) -> bool {
        let s = &self.servers[i];
        s.status == EndpointStatus::Live
            && s.in_flight < self.k(s)
            && now >= s.paused_until
            && self.cold_allows(now, s)
    }

    fn send(&mut self, now: Time, id: RequestId, server: usize, out: &mut Vec<Action>) {
        self.count_send(now, server);
        let Some(e) = self.requests.get_mut(&id) else { return };
        e.held = false;
        self.queued -= 1;
        self.class_queue[e.class].queued -= 1;
        e.attempts.push(Attempt { server, sent: now, fate: Fate::Out });
        self.in_flight += 1;
        let class = e.class;
        let s = &mut self.servers[server];
        s.in_flight += 1;
        s.trust[class].out += 1;
        self.zones.entry(s.zone).or_insert(Trust::new(now)).out += 1;
        let timeout = e.worth_until.since(now);
        out.push(Action::Forward { request: id, server: s.id, timeout });
    }
}

/// A number in [0, 1) that a key and an upstream have in common at every balancer.
fn key_lot(key: u64, identity: u64) -> f64 {
    let mut x = (key ^ identity.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    x ^= x >> 32;
    (x >> 11) as f64 / (1u64 << 53) as f64
}

// ---------------------------------------------------------------- attempts and retries

impl Balancer {
    /// The one place that says whether a request may be sent (again), to this upstream.
    fn may_send(&self, now: Time, e: &Entry, server: usize) -> bool {
        let limits = &self.settings.limits;
        if e.ended || now >= e.deadline || e.attempts.len() >= limits.max_attempts {
            return false;
        }
        if e.out() && !limits.hedging {
            return false;
        }
        let class = &self.settings.classes[e.class];
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => e.all_never_ran(),
            Idempotency::Keyed => e.attempts.iter().filter(|a| a.fate != Fate::NeverRan).all(|a| {
                now.since(a.sent) < class.dedup_window
                    && self.same_group(class.dedup_scope, a.server, server)
            }),
        }
    }

    fn same_group(&self, dedup_scope: DedupScope, a: usize, b: usize) -> bool {
        let (a, b) = (&self.servers[a], &self.servers[b]);
        match dedup_scope {
            DedupScope::All => true,
            DedupScope::Zone => a.zone == b.zone,
            DedupScope::Cell => a.zone == b.zone && a.cell == b.cell,
        }
    }

    /// The one place that says whether a request may be refused.
    fn may_refuse(&self, e: &Entry) -> bool {
        let class = &self.settings.classes[e.class];
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => e.all_never_ran(),
            Idempotency::Keyed => class.dedup_scope == DedupScope::All || e.all_never_ran(),
        }
    }

    /// An attempt has ended.
    pub fn attempt_ended(&mut self, now: Time, a: AttemptResult, out: &mut Vec<Action>) {
        let Some(e) = self.requests.get_mut(&a.request) else { return };
        let Some(attempt) = e.attempts.get_mut(a.attempt).filter(|t| t.fate == Fate::Out) else {
            return;
        };
        attempt.fate = if a.outcome.not_executed() { Fate::NeverRan } else { Fate::MayHaveRun };
        let (server, sent) = (attempt.server, attempt.sent);
        let class = e.class;
        self.learn(now, class, server, sent, &a);
        if a.last || a.outcome == Outcome::Ok {
            self.end(a.request);
        } else {
            self.settle(now, a.request, out);
        }
        self.dispatch(now, out);
    }

    fn learn(&mut self, now: Time, class: usize, server: usize, sent: Time, a: &AttemptResult) {
        let latency = a.latency.as_micros_f64();
        // Failure: once all is overfull nothing answers, and lanes that only answers move stay.
        // A time-out counts too, unless its upstream stands out: one that hangs tells of itself.
        let kind = self.servers[server].kind;
        let usual = self.servers[server].est.slow <= self.level(kind).0 * SUSPECT;
        if a.outcome == Outcome::Timeout && usual {
            self.press(class, latency);
            self.learn_kind(class, kind, latency * CENSORED);
        }
        if a.outcome == Outcome::Ok {
            self.learn_means(class, latency);
            self.learn_kind(class, kind, latency);
            self.press(class, latency);
            // Served, not sent: in a storm of refusals the sends of a bank add up to a multiple of
            // what any upstream can do.
            let warm = self.cold_share(now, &self.servers[server]).is_none();
            self.fleet.kinds[kind as usize].warm_served += f64::from(u8::from(warm));
            if self.fleet.ts.1 * MEAN_GAIN < 1.0 {
                self.refresh_fleet(); // The first answers move too much for sums of the last sweep.
            }
        }
        let mean = self.mean(class) * self.fit(class, kind);
        let level = self.level(kind);
        let s = &mut self.servers[server];
        let off = s.est.learn(a.outcome, latency, mean);
        s.est.blend(level);
        if let (Some(off), Some(k)) = (off, self.fleet.kinds.get_mut(kind as usize)) {
            toward(&mut k.noise, off, 0.0);
        }
        match a.outcome {
            Outcome::ConnectFailed => s.unreachable(now, self.fleet.ts.0),
            Outcome::Ok => s.setbacks = 0,
            _ => {}
        }
        let zone = self.zones.entry(s.zone).or_insert(Trust::new(now));
        zone.out = zone.out.saturating_sub(1);
        match a.outcome {
            Outcome::ConnectFailed => zone.fail(now, sent, self.fleet.ts.0, STREAK - 1),
            Outcome::Ok | Outcome::Error | Outcome::Rejected => zone.streak = 0,
            _ => {}
        }
        let t = &mut s.trust[class];
        t.out -= 1;
        match a.outcome {
            Outcome::Rejected => t.fail(now, sent, self.fleet.ts.0, 0),
            Outcome::Error | Outcome::Reset | Outcome::Timeout => {
                t.fail(now, sent, self.fleet.ts.0, STREAK - 1);
            }
            Outcome::Ok => t.streak = 0,
            Outcome::ConnectFailed | Outcome::Cancelled | Outcome::Superseded => {}
        }
        if a.outcome == Outcome::Timeout {
            let until = now.plus(Span::from_micros_f64(latency * GHOST_OF_TIMEOUT));
            self.ghosts.push((until, server));
        } else {
            self.in_flight -= 1;
            s.in_flight -= 1;
        }
    }

    /// Frees the slots of timed-out attempts that the upstream has had time to finish.
    fn lay_ghosts(&mut self, now: Time) {
        let (servers, in_flight) = (&mut self.servers, &mut self.in_flight);
        self.ghosts.retain(|&(until, server)| {
            if until > now {
                return true;
            }
            servers[server].in_flight -= 1;
            *in_flight -= 1;
            false
        });
    }

    /// After an attempt that did not serve: again, or an end.
    fn settle(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(e) = self.requests.get(&id) else { return };
        if e.ended {
            return self.end(id);
        }
        if e.held || e.out() {
            return;
        }
        let live = |i: &usize| self.servers[*i].status == EndpointStatus::Live;
        let again = (0..self.servers.len()).filter(live).any(|i| self.may_send(now, e, i));
        if again && now < e.hold_until {
            self.hold(id, true);
        } else {
            self.give_up(id, out);
        }
    }

    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(e) = self.requests.get(&id) else { return };
        if self.may_refuse(e) {
            self.refuse(id, out);
        } else {
            out.push(Action::Fail { request: id });
            self.end(id);
        }
    }

    /// The client no longer waits; nothing is owed.
    pub fn client_gone(&mut self, _now: Time, id: RequestId, _out: &mut Vec<Action>) {
        self.end(id);
    }

    /// The answer has begun to stream: the attempt belongs to the client now.
    pub fn stream_started(&mut self, _now: Time, id: RequestId, _out: &mut Vec<Action>) {
        self.end(id);
    }

    /// Refuses what was held too long.
    fn expire(&mut self, now: Time, out: &mut Vec<Action>) {
        let over = |e: &Entry| e.held && now >= e.hold_until;
        let over = |id: &RequestId| self.requests.get(id).is_some_and(over);
        let late: Vec<_> = self.queue.iter().copied().filter(over).collect();
        for id in late {
            self.give_up(id, out);
        }
    }
}

// ---------------------------------------------------------------- cold ramp

impl Balancer {
    /// Share of its capacity that a young upstream has for certain; `None` once warm.
    fn cold_share(&self, now: Time, s: &Server) -> Option<f64> {
        let age = now.since(s.started?);
        let rules = &self.settings.rules;
        if age >= rules.slow_start {
            return None;
        }
        let grown = (age.as_micros_f64() / rules.slow_start.as_micros_f64()).max(0.0);
        Some(rules.slow_start_initial_share + (1.0 - rules.slow_start_initial_share) * grown)
    }

    fn cold_allows(&self, now: Time, s: &Server) -> bool {
        self.earned(now, s).is_none_or(|tokens| tokens >= 1.0)
    }

    /// Sends that a young upstream has earned by now, one at most; `None` once warm.
    fn earned(&self, now: Time, s: &Server) -> Option<f64> {
        let share = self.cold_share(now, s)?;
        Some(s.tokens.by(now, self.warm_rate(s) * share, 1.0))
    }

    /// Answers per microsecond that one warm upstream like `s` has been seen to give.
    fn warm_rate(&self, s: &Server) -> f64 {
        let f = &self.fleet;
        let like = f.kinds.get(s.kind as usize).map_or(0.0, |k| k.warm_rate);
        let rate = if like > 0.0 { like } else { f.any_rate };
        if rate > 0.0 {
            return rate * s.weight;
        }
        // Failure: with every upstream young, or nothing observed yet, none got any work.
        YOUNG_LANES / f64::from(self.settings.balancers) / f.ts.0
    }

    fn count_send(&mut self, now: Time, server: usize) {
        let Some(earned) = self.earned(now, &self.servers[server]) else { return };
        self.servers[server].tokens = Tokens { left: earned - 1.0, at: now };
    }

    /// Weight of the warm upstreams of each kind.
    fn warm_weight(&self, now: Time) -> Vec<f64> {
        let mut weight = vec![0.0; self.fleet.kinds.len()];
        for s in self.servers.iter().filter(|s| s.status == EndpointStatus::Live) {
            if let Some(w) = weight.get_mut(s.kind as usize) {
                *w += if self.cold_share(now, s).is_none() { s.weight } else { 0.0 };
            }
        }
        weight
    }

    /// After a list that changed the warm weight from `before`: what was counted or seen of many
    /// warm upstreams does not tell of few, nor that of few of many. Failure: a proxy with a stale
    /// list of ten brought their rate to the two hundred it then heard of, and sent each young
    /// one as much as the rest of the bank together.
    fn relist_warm(&mut self, now: Time, before: &[f64]) {
        let after = self.warm_weight(now);
        let grown = |before: f64, after: f64| if before > 0.0 { after / before } else { 1.0 };
        let f = &mut self.fleet;
        f.any_rate /= grown(before.iter().sum(), after.iter().sum()).max(1.0);
        for (k, (before, after)) in f.kinds.iter_mut().zip(before.iter().zip(after)) {
            let grown = grown(*before, after);
            k.warm_served *= grown.min(1.0);
            k.warm_rate /= grown.max(1.0);
        }
    }

    fn refresh_warm(&mut self, now: Time) {
        let elapsed = now.since(self.fleet.counted).as_micros_f64();
        self.fleet.counted = now;
        for i in 0..self.servers.len() {
            let s = &self.servers[i];
            // Only by rates that stand. Failure: earned by sums still half made, the first
            // upstreams of the list had the whole fleet's rate, and fell over.
            if let Some(earned) = self.earned(now, s).filter(|_| s.status == EndpointStatus::Live) {
                self.servers[i].tokens = Tokens { left: earned, at: now };
            }
        }
        let weight = self.warm_weight(now);
        let dedup_window = self.settings.rules.overload_window.as_micros_f64().max(1.0);
        let slow_start = self.settings.rules.slow_start.as_micros_f64().max(1.0);
        let f = &mut self.fleet;
        f.kinds.iter_mut().for_each(|k| k.warm_served *= (-elapsed / dedup_window).exp());
        // Failure: when the warm ones slowed, the young, who did not, were held back with them.
        let keep = |peak: &mut f64, served: f64, weight: f64| {
            let seen =
                if weight > 0.0 && served >= 1.0 { served / dedup_window / weight } else { 0.0 };
            *peak = (*peak * (-elapsed / slow_start).exp()).max(seen);
        };
        keep(&mut f.any_rate, f.kinds.iter().map(|k| k.warm_served).sum(), weight.iter().sum());
        for (k, weight) in f.kinds.iter_mut().zip(weight) {
            keep(&mut k.warm_rate, k.warm_served, weight);
        }
    }
}

// ---------------------------------------------------------------- membership and time

/// Where the list must be asked: when to ask next.
#[derive(Debug)]
struct Asking {
    subscribed: bool,
    next: Time,
    failures: i32,
}

const SWEEP: u64 = 1;

impl Balancer {
    /// A balancer that knows its settings and nothing else yet.
    pub fn new(
        settings: PolicySettings,
        seed: u64,
        now: Time,
    ) -> Result<Self, PolicySettingsError> {
        let settings = checked(settings)?;
        let t_qos = t_qos(&settings);
        Ok(Self {
            t_qos,
            rng: Rand64::new(u128::from(seed)),
            servers: Vec::new(),
            by_id: FxHashMap::default(),
            zones: FxHashMap::default(),
            vacant: Vec::new(),
            requests: FxHashMap::default(),
            queue: VecDeque::new(),
            in_flight: 0,
            ghosts: Vec::new(),
            queued: 0,
            class_queue: vec![ClassQueue::default(); settings.classes.len()],
            fleet: Fleet {
                ts: (t_qos * TS_PRIOR_OF_QOS, 0.0),
                mean: vec![(0.0, 0.0); settings.classes.len()],
                unloaded: vec![0.0; settings.classes.len()],
                bearable: t_qos * TS_PRIOR_OF_QOS,
                part: vec![1.0; settings.classes.len()],
                pressure: vec![0.0; settings.classes.len()],
                counted: now,
                ..Fleet::default()
            },
            ask: Asking { subscribed: false, next: now, failures: 0 },
            quota: vec![Tokens { left: 1.0, at: now }; settings.tenants.len()],
            full_wait: vec![Span(0); settings.classes.len()],
            settings,
        })
    }

    /// Begins to keep time and to ask for the list. Call once, right after [`Balancer::new`].
    pub fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        self.ask.next = now.plus(self.jitter(ASK_JITTER_OF_EVERY));
        self.arm(now, out);
    }

    fn jitter(&mut self, of_every: f64) -> Span {
        Span::from_micros_f64(
            self.rng.rand_float() * of_every * self.settings.rules.poll_interval.as_micros_f64(),
        )
    }

    fn arm(&mut self, now: Time, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { token: SWEEP, at: now.plus(sweep_every(&self.settings)) });
    }

    /// A timer is due.
    pub fn timer(&mut self, now: Time, token: u64, out: &mut Vec<Action>) {
        if token != SWEEP {
            return;
        }
        self.lay_ghosts(now);
        self.refresh(now);
        self.expire(now, out);
        self.dispatch(now, out);
        self.ask_for_list(now, out);
        self.arm(now, out);
    }

    fn ask_for_list(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.settings.polls || self.ask.subscribed || now < self.ask.next {
            return;
        }
        out.push(Action::Subscribe);
        let again = Span::from_micros_f64(
            self.settings.rules.poll_interval.as_micros_f64() * ASK_AGAIN_OF_EVERY,
        );
        self.ask.next = now.plus(again).plus(self.jitter(ASK_JITTER_OF_EVERY));
    }

    /// The list of upstreams, or a change to it.
    pub fn update_endpoints(
        &mut self,
        now: Time,
        kind: ListKind,
        list: &[Endpoint],
        out: &mut Vec<Action>,
    ) {
        match kind {
            ListKind::Unavailable => {
                self.ask.subscribed = false;
                self.ask.failures = (self.ask.failures + 1).min(3);
                let wait = ASK_JITTER_OF_EVERY * f64::from(1 << self.ask.failures);
                self.ask.next = now.plus(self.jitter(wait));
                return;
            }
            ListKind::Restored => {}
            ListKind::Update | ListKind::Full => {
                self.ask.subscribed = true;
                self.ask.failures = 0;
            }
        }
        let before = self.warm_weight(now);
        if kind != ListKind::Update {
            self.servers.iter_mut().for_each(|s| s.status = EndpointStatus::Gone);
        }
        for m in list {
            self.member(now, m);
        }
        self.relist_warm(now, &before);
        self.refresh(now);
        self.dispatch(now, out);
        self.forget_gone();
    }

    /// Whether this upstream is on the list or something of it is still under way.
    pub fn knows(&self, id: ServerId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Gives up the places of upstreams that are gone. Failure: where upstreams are replaced all
    /// day, each call looked at every one that had ever been. One that has a request out, may
    /// still work on one or has failed one that is still open keeps its place until a later list.
    fn forget_gone(&mut self) {
        let (servers, requests) = (&mut self.servers, &self.requests);
        let vacant = &mut self.vacant;
        self.by_id.retain(|_, &mut i| {
            let s = &mut servers[i];
            let tried = |e: &Entry| e.attempts.iter().any(|a| a.server == i);
            if s.status != EndpointStatus::Gone || s.in_flight > 0 || requests.values().any(tried) {
                return true;
            }
            s.est = Estimate::NONE;
            vacant.push(i);
            false
        });
        // The order of a hash map is nobody's choice.
        vacant.sort_unstable_by(|a, b| b.cmp(a));
    }

    fn member(&mut self, now: Time, m: &Endpoint) {
        if m.status == EndpointStatus::Gone && !self.knows(m.id) {
            return;
        }
        let i = self.by_id.get(&m.id).copied().unwrap_or_else(|| {
            let i = self.vacant.pop().unwrap_or(self.servers.len());
            self.by_id.insert(m.id, i);
            let fresh = Server {
                id: m.id,
                zone: m.zone,
                kind: m.kind,
                cell: m.cell,
                status: m.status,
                weight: 1.0,
                started: None,
                identity: m.identity,
                in_flight: 0,
                paused_until: now,
                setbacks: 0,
                trust: vec![Trust::new(now); self.settings.classes.len()],
                est: Estimate::NONE,
                present: 0.0,
                tokens: Tokens { left: 0.0, at: now },
            };
            if i == self.servers.len() {
                self.servers.push(fresh);
            } else {
                self.servers[i] = fresh;
            }
            i
        });
        // Spread over the bank: a random part of the first send is already earned.
        let head_start = self.rng.rand_float();
        let s = &mut self.servers[i];
        if s.started != m.started && m.started.is_some() {
            s.tokens = Tokens { left: head_start, at: now };
            s.est.answers = 0.0;
        }
        (s.zone, s.kind, s.cell) = (m.zone, m.kind.min(255), m.cell);
        (s.status, s.started) = (m.status, m.started);
        s.weight = if m.weight > 0.0 && m.weight.is_finite() { m.weight } else { 1.0 };
    }

    /// A probe was answered.
    pub fn health_checked(
        &mut self,
        _server: ServerId,
        _ok: bool,
        _latency: Span,
        _report: LoadReport,
    ) {
    }
}
