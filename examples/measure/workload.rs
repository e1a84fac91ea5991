//! The workloads of section 1 of the design: hosts, rules, popularity of keys,
//! work of requests and phases of a run. Positions in a run are shares of its
//! length, between 0 and 1.

use std::time::Duration;

use rand::{
    RngExt as _,
    distr::{Distribution, weighted::WeightedIndex},
    rngs::StdRng,
};

/// The number of keys of each pool.
const KEYS_PER_POOL: usize = 2_000;

/// The exponent of the Zipf distribution of keys. The most popular key of 2,000
/// gets about 8% of the requests of its pool.
const ZIPF_EXPONENT: f64 = 0.9;

/// The number of keys by which the ranks shift when the hot keys change. It is a
/// multiple of `LONG_EVERY`, so that the share of long work stays the same.
const HOT_KEY_SHIFT: usize = 620;

/// One key in this many has long work, on routes whose work length is learned.
const LONG_EVERY: usize = 20;

/// How many times as long as short work long work and stragglers take.
pub const LONG_WORK_FACTOR: f64 = 30.0;

/// The share of stragglers among all requests.
const STRAGGLER_SHARE: f64 = 0.003;

/// The mean service time of short work at a target of speed 1. With a shorter one,
/// full utilisation would need more requests per second than a busy machine can
/// serve.
pub const SHORT_WORK_TIME: Duration = Duration::from_millis(20);

/// One host: a node with a target beside it.
#[derive(Debug, Clone, Copy)]
pub struct Host {
    pub name: &'static str,
    pub data_centre: &'static str,
    /// The position of its target's pool in the workload.
    pub pool: usize,
    /// The speed of its target as a multiple of the nominal speed.
    pub speed: f64,
}

/// One kind of request, served by a rule of its own.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    pub member: &'static str,
    pub pool: usize,
    pub method: &'static str,
    /// The path before and after the key.
    pub path: [&'static str; 2],
    pub once: bool,
    /// Whether the rule learns the length of work; some keys then have long work.
    pub learned: bool,
    /// Its share of the requests to the pool.
    pub share: f64,
}

/// One deployment and the requests that it serves.
#[derive(Debug)]
pub struct Workload {
    pub pools: &'static [&'static str],
    pub slots: u32,
    /// The one-way latency between callers and nodes.
    pub latency: Duration,
    pub hosts: Vec<Host>,
    pub routes: Vec<Route>,
    /// The requests of the second member, which shares the first pool in one
    /// phase.
    pub second_member: Route,
    pub rules: String,
}

impl Workload {
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "llewellyn" => Some(llewellyn()),
            "ribeira" => Some(ribeira()),
            _ => None,
        }
    }

    /// The capacity of a pool: its slots, each weighted by the speed of its target.
    pub fn capacity(&self, pool: usize) -> f64 {
        let hosts = self.hosts.iter().filter(|host| host.pool == pool);
        hosts.map(|host| host.speed * f64::from(self.slots)).sum()
    }

    /// The requests per second that use a share `level` of the pool's capacity.
    pub fn rate(&self, pool: usize, level: f64, keys: &Keys) -> f64 {
        let routes = self.routes.iter().filter(|route| route.pool == pool);
        let mean: f64 = routes
            .map(|route| {
                let long = if route.learned { keys.long } else { 0.0 };
                route.share * (1.0 + (long + STRAGGLER_SHARE) * (LONG_WORK_FACTOR - 1.0))
            })
            .sum();
        level * self.capacity(pool) / (mean * SHORT_WORK_TIME.as_secs_f64())
    }

    /// Draws a route of a pool, weighted by the shares of the routes.
    pub fn route(&self, pool: usize, rng: &mut StdRng) -> Route {
        let mut left: f64 = rng.random();
        let mut last = None;
        for route in self.routes.iter().filter(|route| route.pool == pool) {
            last = Some(*route);
            left -= route.share;
            if left < 0.0 {
                break;
            }
        }
        last.expect("every pool has a route")
    }
}

/// The distribution of requests over keys.
#[derive(Debug)]
pub struct Keys {
    ranks: WeightedIndex<f64>,
    /// The share of requests for keys with long work.
    pub long: f64,
}

impl Keys {
    pub fn new() -> Self {
        #[allow(clippy::cast_precision_loss, reason = "ranks are small")]
        let weights: Vec<f64> = (1..=KEYS_PER_POOL)
            .map(|rank| (rank as f64).powf(-ZIPF_EXPONENT))
            .collect();
        let long: f64 = weights
            .iter()
            .skip(LONG_EVERY - 1)
            .step_by(LONG_EVERY)
            .sum();
        Self {
            long: long / weights.iter().sum::<f64>(),
            ranks: WeightedIndex::new(weights).expect("the weights are positive"),
        }
    }

    /// Draws a key after the hot keys have changed `generation` times.
    pub fn draw(&self, generation: usize, rng: &mut StdRng) -> usize {
        (self.ranks.sample(rng) + generation * HOT_KEY_SHIFT) % KEYS_PER_POOL
    }
}

/// Draws the work of one request, in units of mean short work. Without
/// `stragglers` all work is short.
pub fn work(route: &Route, key: usize, stragglers: bool, rng: &mut StdRng) -> f64 {
    let spread = rng.random_range(0.5..1.5);
    let straggler = rng.random_bool(STRAGGLER_SHARE);
    let long = route.learned && key % LONG_EVERY == LONG_EVERY - 1;
    if stragglers && (long || straggler) {
        spread * LONG_WORK_FACTOR
    } else {
        spread
    }
}

/// A phase of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The base load.
    Base,
    /// Medium load with stragglers and long work.
    Mixed,
    /// Medium load without stragglers and long work.
    Plain,
    /// Ten times the base load.
    Peak,
    /// The base load, except that two members share and overload the first pool.
    Shared,
}

/// The phases with their ends as shares of the run. The plain phase comes before
/// the mixed one, whose long work continues after the end of the phase.
const PHASES: [(Phase, f64); 7] = [
    (Phase::Base, 0.10),
    (Phase::Plain, 0.22),
    (Phase::Mixed, 0.36),
    (Phase::Base, 0.45),
    (Phase::Peak, 0.65),
    (Phase::Base, 0.72),
    (Phase::Shared, 0.90),
];

/// When the hot keys change, as shares of the run.
const HOT_KEY_CHANGES_AT: [f64; 3] = [0.18, 0.55, 0.80];

/// When the fault is injected, as a share of the run: in the first half of the
/// peak.
pub const FAULT_AT: f64 = 0.50;

/// When the rules change, as a share of the run.
pub const RULE_CHANGE_AT: f64 = 0.41;

/// The load of the base phases as a share of a pool's capacity.
const BASE_LOAD: f64 = 0.055;

/// The load of the plain and the mixed phase, as a share of a pool's capacity. It
/// leaves the slowest target of a pool below its capacity, so that requests wait
/// because of long work and not because of overload.
const MEDIUM_LOAD: f64 = 0.3;

/// The load of the larger member in the shared phase, as a share of the pool's
/// capacity. The smaller member has a tenth of it; together they exceed the
/// capacity.
pub const SHARED_LOAD: f64 = 1.1;

/// The share of the run, at most 2 s of it, in which the load grows to ten times
/// at the start of the peak.
const RAMP_SHARE: f64 = 0.08;

impl Phase {
    /// The phase at a given share of the run.
    pub fn at(share: f64) -> Self {
        PHASES
            .iter()
            .find(|&&(_, end)| share < end)
            .map_or(Self::Base, |&(phase, _)| phase)
    }

    /// The begin and end of the phase as shares of the run. For a phase that occurs
    /// more than once, those of its first occurrence.
    pub fn span(self) -> (f64, f64) {
        let position = PHASES.iter().position(|&(phase, _)| phase == self);
        let position = position.expect("every phase is listed");
        let begin = position
            .checked_sub(1)
            .map_or(0.0, |before| PHASES[before].1);
        (begin, PHASES[position].1)
    }

    /// The load of a pool as a share of its capacity, at `share` of a run of
    /// `seconds`.
    pub fn level(self, share: f64, seconds: f64) -> f64 {
        match self {
            Self::Base | Self::Shared => BASE_LOAD,
            Self::Mixed | Self::Plain => MEDIUM_LOAD,
            Self::Peak => {
                let ramp = RAMP_SHARE.min(2.0 / seconds);
                let progress = ((share - self.span().0) / ramp).min(1.0);
                BASE_LOAD * (1.0 + 9.0 * progress)
            }
        }
    }
}

/// Returns how often the hot keys have changed by a given share of the run.
pub fn generation(share: f64) -> usize {
    HOT_KEY_CHANGES_AT.iter().filter(|&&at| share >= at).count()
}

const fn host(name: &'static str, data_centre: &'static str, pool: usize, speed: f64) -> Host {
    Host {
        name,
        data_centre,
        pool,
        speed,
    }
}

const fn route(
    pool: usize,
    method: &'static str,
    path: [&'static str; 2],
    [once, learned]: [bool; 2],
    share: f64,
) -> Route {
    Route {
        member: "",
        pool,
        method,
        path,
        once,
        learned,
        share,
    }
}

const REPEAT: [bool; 2] = [false, false];
const ONCE: [bool; 2] = [true, false];
const LEARNED: [bool; 2] = [false, true];

fn llewellyn() -> Workload {
    let routes = [
        route(0, "GET", ["/designs/", ""], REPEAT, 0.7),
        route(0, "GET", ["/stock/", ""], REPEAT, 0.3),
        route(1, "GET", ["/bookings/", ""], REPEAT, 0.6),
        route(1, "GET", ["/pitches/", "/plan"], LEARNED, 0.15),
        route(1, "POST", ["/bookings/", ""], ONCE, 0.25),
        route(2, "GET", ["/accounts/", ""], REPEAT, 0.6),
        route(2, "POST", ["/deposits/", ""], ONCE, 0.4),
    ];
    Workload {
        pools: &["catalogue", "bookings", "ledger"],
        slots: 12,
        latency: Duration::from_millis(3),
        // The first three hosts have control replicas, as in examples/llewellyn.
        hosts: vec![
            host("caerdydd-1", "caerdydd", 0, 1.0),
            host("abertawe-1", "abertawe", 0, 0.5),
            host("aberystwyth-1", "aberystwyth", 0, 2.0),
            host("bangor-1", "bangor", 0, 0.8),
            host("caerdydd-2", "caerdydd", 0, 1.2),
            host("abertawe-2", "abertawe", 1, 1.0),
            host("aberystwyth-2", "aberystwyth", 1, 0.7),
            host("bangor-2", "bangor", 1, 1.5),
            host("caerdydd-3", "caerdydd", 1, 1.0),
            host("abertawe-3", "abertawe", 2, 0.6),
            host("aberystwyth-3", "aberystwyth", 2, 1.0),
            host("bangor-3", "bangor", 2, 1.8),
            host("caerdydd-4", "caerdydd", 2, 1.0),
        ],
        routes: routes.map(|route| for_member("llewellyn", route)).to_vec(),
        second_member: for_member("ribeira", route(0, "GET", ["/shared/", ""], REPEAT, 1.0)),
        rules: format!(
            "{}ribeira catalogue GET /shared/{{key}} repeat deadline=2s length=short weight=1 # Megan, shared by two members\n",
            include_str!("../llewellyn/rules.txt")
        ),
    }
}

fn ribeira() -> Workload {
    let routes = [
        route(0, "GET", ["/transcripts/", ""], LEARNED, 0.3),
        route(0, "GET", ["/hearings/", ""], REPEAT, 0.7),
        route(1, "GET", ["/assignments/", ""], REPEAT, 0.7),
        route(1, "POST", ["/assignments/", ""], ONCE, 0.3),
        route(2, "GET", ["/invoices/", ""], REPEAT, 0.6),
        route(2, "POST", ["/invoices/", ""], ONCE, 0.4),
    ];
    Workload {
        pools: &["lookup", "dispatch", "billing"],
        slots: 6,
        latency: Duration::from_millis(8),
        hosts: vec![
            host("porto-1", "porto", 0, 1.0),
            host("braga-1", "braga", 0, 0.5),
            host("viana-1", "viana", 0, 2.0),
            host("vila-real-1", "vila-real", 0, 0.8),
            host("porto-2", "porto", 1, 1.0),
            host("braga-2", "braga", 1, 0.7),
            host("viana-2", "viana", 1, 1.5),
            host("vila-real-2", "vila-real", 1, 1.0),
            host("porto-3", "porto", 2, 0.6),
            host("braga-3", "braga", 2, 1.0),
            host("viana-3", "viana", 2, 1.8),
            host("vila-real-3", "vila-real", 2, 1.0),
        ],
        routes: routes.map(|route| for_member("ribeira", route)).to_vec(),
        second_member: for_member("llewellyn", route(0, "GET", ["/shared/", ""], REPEAT, 1.0)),
        rules: format!(
            "{}llewellyn lookup GET /shared/{{key}} repeat deadline=2s length=short weight=1 # Ines, shared by two members\n",
            include_str!("../ribeira/rules.txt")
        ),
    }
}

const fn for_member(member: &'static str, route: Route) -> Route {
    Route { member, ..route }
}
