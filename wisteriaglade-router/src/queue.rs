//! The queue of admitted requests, with weighted fair queueing.
//!
//! [`Queue`] orders the waiting requests; the router bounds their number and
//! decides when one is dispatched.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wisteriaglade_types::{Name, Request};

use crate::{Class, flow::Flow, tenant::Tenant, waiting::Waiting};

/// The most that a member or caller may be ahead of or behind the virtual time,
/// in expected short service times. Without this bound, a member whose long
/// requests ran could not run short ones until the others had caught up, and a
/// member whose long requests were held back would collect credit for its short
/// ones.
const LAG: u32 = 10;

/// The position of a waiting request in the queue and its indexes.
#[derive(Debug)]
struct Place {
    member: Name,
    caller: Name,
    class: Class,
    sequence: u64,
    /// The last moment at which a dispatch can still meet the deadline.
    latest: Duration,
    arrived: Duration,
}

/// Start-time fair queueing (Goyal, Vin and Cheng, 1996) among members and,
/// inside a member, among its callers.
///
/// Virtual time advances by busy time divided by weight. At dispatch, a request
/// is charged its expected service time; at its end, the charge is corrected to
/// the actual busy time.
#[derive(Debug)]
pub(crate) struct Queue {
    fair: bool,
    /// Callers of one member that have a queue of their own.
    callers: usize,
    /// The virtual time among members, in nanoseconds.
    clock: u64,
    /// The sequence number of the next request.
    sequence: u64,
    tenants: BTreeMap<Name, Tenant>,
    places: BTreeMap<Request, Place>,
    /// All requests by the last moment at which a dispatch meets the deadline.
    latest: BTreeSet<(Duration, Request)>,
    /// The requests of each class by time of arrival.
    arrived: [BTreeSet<(Duration, Request)>; 2],
    /// The number of waiting requests of each class.
    waiting: [usize; 2],
}

impl Queue {
    /// Creates an empty queue. If `fair` is false, all requests share one
    /// first-in, first-out queue.
    pub(crate) const fn new(fair: bool, callers: usize) -> Self {
        Self {
            fair,
            callers,
            clock: 0,
            sequence: 0,
            tenants: BTreeMap::new(),
            places: BTreeMap::new(),
            latest: BTreeSet::new(),
            arrived: [BTreeSet::new(), BTreeSet::new()],
            waiting: [0; 2],
        }
    }

    pub(crate) const fn len(&self) -> usize {
        self.waiting[0] + self.waiting[1]
    }

    pub(crate) const fn waiting(&self, class: Class) -> usize {
        self.waiting[class.index()]
    }

    pub(crate) fn contains(&self, request: Request) -> bool {
        self.places.contains_key(&request)
    }

    /// The number of waiting requests of a member.
    pub(crate) fn member_len(&self, member: &Name) -> usize {
        self.tenants.get(member).map_or(0, Tenant::len)
    }

    /// Returns the earliest time after which some waiting request can no longer
    /// meet its deadline.
    pub(crate) fn next_expiry(&self) -> Option<Duration> {
        self.latest.first().map(|(latest, _)| *latest)
    }

    /// Returns, for the short request that has waited the longest, its arrival
    /// and the last moment at which a dispatch can still meet its deadline.
    pub(crate) fn oldest_short(&self) -> Option<(Duration, Duration)> {
        let (arrived, request) = self.arrived[Class::Short.index()].first()?;
        Some((*arrived, self.places.get(request)?.latest))
    }

    /// Adds a request. A member or caller that was idle starts at the current
    /// virtual time, so that it collects no credit while idle.
    pub(crate) fn push(&mut self, mut waiting: Waiting) {
        let (member, caller) = self.names(&waiting);
        let weight = waiting.arrival.weight.max(1);
        let clock = self.clock;
        let tenant = self
            .tenants
            .entry(member.clone())
            .or_insert_with(|| Tenant::new(clock, weight));
        tenant.weight = weight;
        if tenant.len() == 0 {
            tenant.tag = tenant.tag.max(clock);
        }
        let caller = tenant.flow(&caller, self.callers);
        // The charge at the end of the request must go to the same queue, also
        // if that is the one shared by the callers beyond the limit.
        waiting.arrival.caller = caller.clone();
        let flow = tenant.flows.entry(caller.clone()).or_default();
        if flow.is_empty() {
            flow.tag = flow.tag.max(tenant.clock);
        }
        let place = Place {
            member,
            caller,
            class: waiting.class,
            sequence: self.sequence,
            latest: waiting.latest(),
            arrived: waiting.arrived,
        };
        let request = waiting.request();
        self.waiting[waiting.class.index()] += 1;
        tenant.waiting[waiting.class.index()] += 1;
        flow.push(self.sequence, waiting);
        self.sequence += 1;
        self.latest.insert((place.latest, request));
        self.arrived[place.class.index()].insert((place.arrived, request));
        self.places.insert(request, place);
    }

    /// Removes and returns the request with the smallest start tag among the
    /// classes for which `allowed` is true, and charges its member and caller.
    /// `cost` is the expected service time of each class. If `freshest` is
    /// true, the caller's newest short request is taken, not its oldest.
    pub(crate) fn pop(
        &mut self,
        allowed: [bool; 2],
        cost: [Duration; 2],
        freshest: bool,
    ) -> Option<Waiting> {
        let lag = nanos(cost[Class::Short.index()]).saturating_mul(u64::from(LAG));
        let (start, member) = self.due_member(allowed, lag)?;
        let tenant = self.tenants.get_mut(&member)?;
        let (flow_start, caller) = due_caller(tenant, allowed, lag)?;
        let flow = tenant.flows.get_mut(&caller)?;
        let class = due_class(flow, allowed)?;
        let sequence = if freshest && class == Class::Short {
            flow.newest(class)
        } else {
            flow.oldest(class)
        }?;
        let request = flow.remove(class, sequence)?;
        let charge = nanos(cost[class.index()]).max(1);
        flow.tag = flow_start.saturating_add(charge);
        tenant.clock = tenant.clock.max(flow_start);
        tenant.tag = start.saturating_add((charge / u64::from(tenant.weight)).max(1));
        self.clock = self.clock.max(start);
        self.forget(request.request());
        Some(request)
    }

    /// Replaces the time that a request was charged so far, `charged`, by its
    /// busy time.
    pub(crate) fn charge(&mut self, waiting: &Waiting, charged: Duration, busy: Duration) {
        let (member, caller) = self.names(waiting);
        let clock = self.clock;
        let Some(tenant) = self.tenants.get_mut(&member) else {
            return;
        };
        let weight = u64::from(tenant.weight);
        let (charged, busy) = (nanos(charged), nanos(busy));
        tenant.tag = shift(tenant.tag, charged / weight, busy / weight);
        if let Some(flow) = tenant.flows.get_mut(&caller) {
            flow.tag = shift(flow.tag, charged, busy);
            if flow.is_empty() && flow.tag <= tenant.clock {
                tenant.flows.remove(&caller);
            }
        }
        if tenant.len() == 0 && tenant.tag <= clock {
            self.tenants.remove(&member);
        }
    }

    /// Removes a request, for example because its caller disconnected.
    pub(crate) fn remove(&mut self, request: Request) -> Option<Waiting> {
        let place = self.places.get(&request)?;
        let tenant = self.tenants.get_mut(&place.member)?;
        let flow = tenant.flows.get_mut(&place.caller)?;
        let waiting = flow.remove(place.class, place.sequence)?;
        self.forget(request);
        Some(waiting)
    }

    /// Removes and returns one request that can no longer meet its deadline.
    pub(crate) fn expired(&mut self, now: Duration) -> Option<Waiting> {
        let (latest, request) = *self.latest.first()?;
        if latest > now {
            return None;
        }
        self.remove(request)
    }

    /// Removes and returns any request. Used to refuse all waiting requests.
    pub(crate) fn any(&mut self) -> Option<Waiting> {
        let (_, request) = *self.arrived.iter().find_map(BTreeSet::first)?;
        self.remove(request)
    }

    /// Returns the member with the most waiting requests relative to its
    /// weight, counting one more for `arriving`, whose weight is `weight`.
    pub(crate) fn furthest(&self, arriving: &Name, weight: u32) -> Name {
        let own = self.member_len(arriving) + 1;
        let start = (own as u128 * SCALE / u128::from(weight.max(1)), arriving);
        let over = self.tenants.iter().map(|(name, tenant)| {
            let share = tenant.len() as u128 * SCALE / u128::from(tenant.weight);
            (share, name)
        });
        // On a tie, the arriving request is refused and no admitted request is
        // evicted.
        over.fold(start, |a, b| if b.0 > a.0 { b } else { a })
            .1
            .clone()
    }

    /// Removes one request of a member, from its caller with the longest queue:
    /// the newest request, or the oldest one if the newest are served first
    /// (`freshest`).
    pub(crate) fn evict(&mut self, member: &Name, freshest: bool) -> Option<Waiting> {
        let tenant = self.tenants.get(member)?;
        let class = if tenant.waiting[0] >= tenant.waiting[1] {
            Class::Short
        } else {
            Class::Long
        };
        let caller = tenant.longest(class)?.clone();
        self.evict_from(member, &caller, class, freshest)
    }

    /// Removes the oldest waiting short request of a caller.
    pub(crate) fn evict_oldest(&mut self, member: &Name, caller: &Name) -> Option<Waiting> {
        self.evict_from(member, caller, Class::Short, true)
    }

    fn evict_from(
        &mut self,
        member: &Name,
        caller: &Name,
        class: Class,
        oldest: bool,
    ) -> Option<Waiting> {
        let flow = self.tenants.get(member)?.flows.get(caller)?;
        let sequence = if oldest {
            flow.oldest(class)
        } else {
            flow.newest(class)
        }?;
        let flow = self.tenants.get_mut(member)?.flows.get_mut(caller)?;
        let waiting = flow.remove(class, sequence)?;
        self.forget(waiting.request());
        Some(waiting)
    }

    /// Estimates how many waiting requests of a class are dispatched before a
    /// new one of this caller. Of each other member and each other caller, this
    /// counts at most as many as its weight entitles it to in the same time.
    pub(crate) fn ahead(&self, member: &Name, caller: &Name, weight: u32, class: Class) -> usize {
        let weight = weight.max(1) as usize;
        let own = self.tenants.get(member).map_or(0, |tenant| {
            let turn = tenant.flows.get(caller).map_or(0, |f| f.len(class)) + 1;
            let callers = tenant.flows.values();
            let others = callers.map(|f| f.len(class).min(turn)).sum::<usize>();
            others.min(tenant.waiting[class.index()])
        });
        let others = self.tenants.iter().filter(|(name, _)| *name != member);
        let others = others.map(|(_, tenant)| {
            let turn = ((own + 1) * tenant.weight as usize).div_ceil(weight);
            tenant.waiting[class.index()].min(turn)
        });
        own + others.sum::<usize>()
    }

    /// The member and caller under which a request is queued.
    fn names(&self, waiting: &Waiting) -> (Name, Name) {
        if self.fair {
            let arrival = &waiting.arrival;
            (arrival.member.clone(), arrival.caller.clone())
        } else {
            (Name::from(""), Name::from(""))
        }
    }

    /// Returns the member with the smallest start tag, and the tag.
    fn due_member(&self, allowed: [bool; 2], lag: u64) -> Option<(u64, Name)> {
        let ready = self.tenants.iter().filter(|(_, tenant)| {
            let [short, long] = tenant.waiting;
            (allowed[0] && short > 0) || (allowed[1] && long > 0)
        });
        ready
            .map(|(name, tenant)| {
                let lag = lag / u64::from(tenant.weight);
                (bound(tenant.tag, self.clock, lag), name)
            })
            .min()
            .map(|(tag, name)| (tag, name.clone()))
    }

    /// Removes a request from the indexes. Drops the queues of its caller and
    /// member if they are empty and not ahead of the virtual time.
    fn forget(&mut self, request: Request) {
        let Some(place) = self.places.remove(&request) else {
            return;
        };
        self.latest.remove(&(place.latest, request));
        self.arrived[place.class.index()].remove(&(place.arrived, request));
        self.waiting[place.class.index()] -= 1;
        let Some(tenant) = self.tenants.get_mut(&place.member) else {
            return;
        };
        tenant.waiting[place.class.index()] -= 1;
        let clock = tenant.clock;
        if let Some(flow) = tenant.flows.get(&place.caller)
            && flow.is_empty()
            && flow.tag <= clock
        {
            tenant.flows.remove(&place.caller);
        }
        if tenant.len() == 0 && tenant.tag <= self.clock {
            self.tenants.remove(&place.member);
        }
    }
}

/// The fixed-point scale at which shares are compared.
const SCALE: u128 = 1 << 20;

/// Returns the caller with the smallest start tag, and the tag.
fn due_caller(tenant: &Tenant, allowed: [bool; 2], lag: u64) -> Option<(u64, Name)> {
    let ready = tenant.flows.iter().filter(|(_, flow)| {
        (allowed[0] && flow.len(Class::Short) > 0) || (allowed[1] && flow.len(Class::Long) > 0)
    });
    ready
        .map(|(name, flow)| (bound(flow.tag, tenant.clock, lag), name))
        .min()
        .map(|(tag, name)| (tag, name.clone()))
}

/// Returns the class of the oldest request among the allowed classes.
fn due_class(flow: &Flow, allowed: [bool; 2]) -> Option<Class> {
    let classes = [Class::Short, Class::Long];
    let ready = classes.into_iter().filter(|class| allowed[class.index()]);
    let ready = ready.filter_map(|class| Some((flow.oldest(class)?, class)));
    ready.min().map(|(_, class)| class)
}

/// Limits a start tag to at most `lag` before or after the virtual time.
fn bound(tag: u64, clock: u64, lag: u64) -> u64 {
    tag.clamp(clock.saturating_sub(lag), clock.saturating_add(lag))
}

/// Replaces the time `charged` in a start tag by `busy`.
const fn shift(tag: u64, charged: u64, busy: u64) -> u64 {
    tag.saturating_add(busy).saturating_sub(charged)
}

/// Converts a duration to nanoseconds. A `u64` holds 584 years; longer
/// durations saturate.
fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
