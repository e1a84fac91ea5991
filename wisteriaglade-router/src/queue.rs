//! The queue of admitted requests, with weighted fair queueing.
//!
//! [`Queue`] orders the waiting requests; the router bounds their number and
//! decides when one is dispatched.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wisteriaglade_types::{Name, Request};

use crate::{Class, flow::Flow, member::Member, waiting::Waiting};

/// The most that a member or caller may be ahead of or behind the virtual time,
/// in expected short service times. Without this bound, a member whose long
/// requests ran could not run short ones until the others had caught up, and a
/// member whose long requests were held back would collect credit for its short
/// ones.
const MAX_LAG_FACTOR: u32 = 10;

/// The position of a waiting request in the queue and its indexes.
#[derive(Debug)]
struct Position {
    member: Name,
    caller: Name,
    class: Class,
    sequence: u64,
    /// The last moment at which a dispatch can still meet the deadline.
    latest_start: Duration,
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
    /// Whether members and callers share the service by weight. If false, all
    /// requests are in one first-in, first-out queue.
    fair: bool,
    /// The largest number of callers of one member that have a queue of their
    /// own. Callers beyond it share one.
    max_callers: usize,
    /// The virtual time among members, in nanoseconds.
    virtual_time: u64,
    /// The sequence number of the next request.
    sequence: u64,
    /// The members with waiting requests, and idle ones whose start tag was ahead
    /// of the virtual time.
    members: BTreeMap<Name, Member>,
    /// Where each waiting request is queued.
    positions: BTreeMap<Request, Position>,
    /// All requests by the last moment at which a dispatch meets the deadline.
    by_latest_start: BTreeSet<(Duration, Request)>,
    /// The requests of each class by time of arrival.
    by_arrival: [BTreeSet<(Duration, Request)>; 2],
    /// The number of waiting requests of each class.
    counts: [usize; 2],
}

impl Queue {
    /// Creates an empty queue. If `fair` is false, all requests share one
    /// first-in, first-out queue.
    pub(crate) const fn new(fair: bool, max_callers: usize) -> Self {
        Self {
            fair,
            max_callers,
            virtual_time: 0,
            sequence: 0,
            members: BTreeMap::new(),
            positions: BTreeMap::new(),
            by_latest_start: BTreeSet::new(),
            by_arrival: [BTreeSet::new(), BTreeSet::new()],
            counts: [0; 2],
        }
    }

    /// Returns the number of waiting requests.
    pub(crate) const fn len(&self) -> usize {
        self.counts[0] + self.counts[1]
    }

    /// Returns the number of waiting requests of a class.
    pub(crate) const fn waiting(&self, class: Class) -> usize {
        self.counts[class.index()]
    }

    /// Returns whether a request is waiting.
    pub(crate) fn contains(&self, request: Request) -> bool {
        self.positions.contains_key(&request)
    }

    /// Returns the number of waiting requests of a member.
    pub(crate) fn member_len(&self, member: &Name) -> usize {
        self.members.get(member).map_or(0, Member::len)
    }

    /// Returns the earliest time after which some waiting request can no longer
    /// meet its deadline.
    pub(crate) fn next_expiry(&self) -> Option<Duration> {
        self.by_latest_start.first().map(|(latest, _)| *latest)
    }

    /// Returns, for the short request that has waited the longest, its arrival
    /// and the last moment at which a dispatch can still meet its deadline.
    pub(crate) fn oldest_short(&self) -> Option<(Duration, Duration)> {
        let (arrived, request) = self.by_arrival[Class::Short.index()].first()?;
        Some((*arrived, self.positions.get(request)?.latest_start))
    }

    /// Adds a request. A member or caller that was idle starts at the current
    /// virtual time, so that it collects no credit while idle.
    pub(crate) fn push(&mut self, mut waiting: Waiting) {
        let (member, caller) = self.queue_names(&waiting);
        let weight = waiting.arrival.weight.max(1);
        let virtual_time = self.virtual_time;
        let member_queue = self
            .members
            .entry(member.clone())
            .or_insert_with(|| Member::new(virtual_time, weight));
        member_queue.weight = weight;
        if member_queue.len() == 0 {
            member_queue.start_tag = member_queue.start_tag.max(virtual_time);
        }
        let caller = member_queue.flow_name(&caller, self.max_callers);
        // The charge at the end of the request must go to the same queue, also
        // if that is the one shared by the callers beyond the limit.
        waiting.arrival.caller = caller.clone();
        let flow = member_queue.flows.entry(caller.clone()).or_default();
        if flow.is_empty() {
            flow.start_tag = flow.start_tag.max(member_queue.virtual_time);
        }
        let position = Position {
            member,
            caller,
            class: waiting.class,
            sequence: self.sequence,
            latest_start: waiting.latest_start(),
            arrived: waiting.arrived,
        };
        let request = waiting.request();
        self.counts[waiting.class.index()] += 1;
        member_queue.counts[waiting.class.index()] += 1;
        flow.push(self.sequence, waiting);
        self.sequence += 1;
        self.by_latest_start
            .insert((position.latest_start, request));
        self.by_arrival[position.class.index()].insert((position.arrived, request));
        self.positions.insert(request, position);
    }

    /// Removes and returns the request with the smallest start tag among the
    /// classes for which `allowed` is true, and charges its member and caller.
    /// `allowed` and `cost`, the expected service time, have an element for each
    /// class, at [`Class::index`]. If `newest_first` is
    /// true, the caller's newest short request is taken, not its oldest.
    pub(crate) fn pop(
        &mut self,
        allowed: [bool; 2],
        cost: [Duration; 2],
        newest_first: bool,
    ) -> Option<Waiting> {
        let max_lag =
            to_nanos(cost[Class::Short.index()]).saturating_mul(u64::from(MAX_LAG_FACTOR));
        let (member_start_tag, member) = self.next_member(allowed, max_lag)?;
        let member_queue = self.members.get_mut(&member)?;
        let (flow_start_tag, caller) = next_caller(member_queue, allowed, max_lag)?;
        let flow = member_queue.flows.get_mut(&caller)?;
        let class = next_class(flow, allowed)?;
        let sequence = if newest_first && class == Class::Short {
            flow.newest(class)
        } else {
            flow.oldest(class)
        }?;
        let request = flow.remove(class, sequence)?;
        let charge = to_nanos(cost[class.index()]).max(1);
        flow.start_tag = flow_start_tag.saturating_add(charge);
        member_queue.virtual_time = member_queue.virtual_time.max(flow_start_tag);
        member_queue.start_tag =
            member_start_tag.saturating_add((charge / u64::from(member_queue.weight)).max(1));
        self.virtual_time = self.virtual_time.max(member_start_tag);
        self.remove_from_indexes(request.request());
        Some(request)
    }

    /// Replaces the time that a request was charged so far, `charged`, by its
    /// busy time. Called when a running request ends, or is reclassified as long,
    /// with the expected time of long work as its busy time.
    pub(crate) fn correct_charge(&mut self, waiting: &Waiting, charged: Duration, busy: Duration) {
        let (member, caller) = self.queue_names(waiting);
        let virtual_time = self.virtual_time;
        let Some(member_queue) = self.members.get_mut(&member) else {
            return;
        };
        let weight = u64::from(member_queue.weight);
        let (charged, busy) = (to_nanos(charged), to_nanos(busy));
        member_queue.start_tag = adjust(member_queue.start_tag, charged / weight, busy / weight);
        if let Some(flow) = member_queue.flows.get_mut(&caller) {
            flow.start_tag = adjust(flow.start_tag, charged, busy);
            if flow.is_empty() && flow.start_tag <= member_queue.virtual_time {
                member_queue.flows.remove(&caller);
            }
        }
        if member_queue.len() == 0 && member_queue.start_tag <= virtual_time {
            self.members.remove(&member);
        }
    }

    /// Removes a request, for example because its caller disconnected.
    pub(crate) fn remove(&mut self, request: Request) -> Option<Waiting> {
        let position = self.positions.get(&request)?;
        let member_queue = self.members.get_mut(&position.member)?;
        let flow = member_queue.flows.get_mut(&position.caller)?;
        let waiting = flow.remove(position.class, position.sequence)?;
        self.remove_from_indexes(request);
        Some(waiting)
    }

    /// Removes and returns one request that can no longer meet its deadline.
    pub(crate) fn pop_expired(&mut self, now: Duration) -> Option<Waiting> {
        let (latest, request) = *self.by_latest_start.first()?;
        if latest > now {
            return None;
        }
        self.remove(request)
    }

    /// Removes and returns any request. Used to refuse all waiting requests.
    pub(crate) fn pop_any(&mut self) -> Option<Waiting> {
        let (_, request) = *self.by_arrival.iter().find_map(BTreeSet::first)?;
        self.remove(request)
    }

    /// Returns the member with the most waiting requests relative to its
    /// weight, counting one more for `arriving`, whose weight is `weight`.
    pub(crate) fn furthest_over_share(&self, arriving: &Name, weight: u32) -> Name {
        let own = self.member_len(arriving) + 1;
        let start = (own as u128 * SCALE / u128::from(weight.max(1)), arriving);
        let over = self.members.iter().map(|(name, member_queue)| {
            let share = member_queue.len() as u128 * SCALE / u128::from(member_queue.weight);
            (share, name)
        });
        // On a tie, the arriving request is refused and no admitted request is
        // evicted.
        over.fold(start, |a, b| if b.0 > a.0 { b } else { a })
            .1
            .clone()
    }

    /// Removes one request of a member, to make room for another when the queue is
    /// full. It is one of the class with more requests and of the caller with the
    /// longest queue of that class: the newest request, or the oldest one if the
    /// newest are served first (`newest_first`).
    pub(crate) fn evict(&mut self, member: &Name, newest_first: bool) -> Option<Waiting> {
        let member_queue = self.members.get(member)?;
        let class = if member_queue.counts[0] >= member_queue.counts[1] {
            Class::Short
        } else {
            Class::Long
        };
        let caller = member_queue.longest_flow(class)?.clone();
        self.evict_from(member, &caller, class, newest_first)
    }

    /// Removes the oldest waiting short request of a caller.
    pub(crate) fn evict_oldest(&mut self, member: &Name, caller: &Name) -> Option<Waiting> {
        self.evict_from(member, caller, Class::Short, true)
    }

    /// Removes the oldest or else the newest request of a class and caller.
    fn evict_from(
        &mut self,
        member: &Name,
        caller: &Name,
        class: Class,
        oldest: bool,
    ) -> Option<Waiting> {
        let flow = self.members.get(member)?.flows.get(caller)?;
        let sequence = if oldest {
            flow.oldest(class)
        } else {
            flow.newest(class)
        }?;
        let flow = self.members.get_mut(member)?.flows.get_mut(caller)?;
        let waiting = flow.remove(class, sequence)?;
        self.remove_from_indexes(waiting.request());
        Some(waiting)
    }

    /// Estimates how many waiting requests of a class are dispatched before a
    /// new one of this caller. Of each other member and each other caller, this
    /// counts at most as many as its weight entitles it to in the same time.
    pub(crate) fn requests_ahead(
        &self,
        member: &Name,
        caller: &Name,
        weight: u32,
        class: Class,
    ) -> usize {
        let weight = weight.max(1) as usize;
        let own = self.members.get(member).map_or(0, |member_queue| {
            let max_turns = member_queue.flows.get(caller).map_or(0, |f| f.len(class)) + 1;
            let callers = member_queue.flows.values();
            let others = callers.map(|f| f.len(class).min(max_turns)).sum::<usize>();
            others.min(member_queue.counts[class.index()])
        });
        let others = self.members.iter().filter(|(name, _)| *name != member);
        let others = others.map(|(_, member_queue)| {
            let max_turns = ((own + 1) * member_queue.weight as usize).div_ceil(weight);
            member_queue.counts[class.index()].min(max_turns)
        });
        own + others.sum::<usize>()
    }

    /// Returns the member and caller under which a request is queued. Both names
    /// are empty without fair queueing.
    fn queue_names(&self, waiting: &Waiting) -> (Name, Name) {
        if self.fair {
            let arrival = &waiting.arrival;
            (arrival.member.clone(), arrival.caller.clone())
        } else {
            (Name::from(""), Name::from(""))
        }
    }

    /// Returns the member with the smallest start tag, and the tag.
    fn next_member(&self, allowed: [bool; 2], max_lag: u64) -> Option<(u64, Name)> {
        let ready = self.members.iter().filter(|(_, member_queue)| {
            let [short, long] = member_queue.counts;
            (allowed[0] && short > 0) || (allowed[1] && long > 0)
        });
        ready
            .map(|(name, member_queue)| {
                let max_lag = max_lag / u64::from(member_queue.weight);
                (
                    clamp_tag(member_queue.start_tag, self.virtual_time, max_lag),
                    name,
                )
            })
            .min()
            .map(|(start_tag, name)| (start_tag, name.clone()))
    }

    /// Removes a request from the indexes. Drops the queues of its caller and
    /// member if they are empty and not ahead of the virtual time.
    fn remove_from_indexes(&mut self, request: Request) {
        let Some(position) = self.positions.remove(&request) else {
            return;
        };
        self.by_latest_start
            .remove(&(position.latest_start, request));
        self.by_arrival[position.class.index()].remove(&(position.arrived, request));
        self.counts[position.class.index()] -= 1;
        let Some(member_queue) = self.members.get_mut(&position.member) else {
            return;
        };
        member_queue.counts[position.class.index()] -= 1;
        let virtual_time = member_queue.virtual_time;
        if let Some(flow) = member_queue.flows.get(&position.caller)
            && flow.is_empty()
            && flow.start_tag <= virtual_time
        {
            member_queue.flows.remove(&position.caller);
        }
        if member_queue.len() == 0 && member_queue.start_tag <= self.virtual_time {
            self.members.remove(&position.member);
        }
    }
}

/// The fixed-point scale at which the numbers of waiting requests, divided by
/// the weight of their member, are compared.
const SCALE: u128 = 1 << 20;

/// Returns the caller with the smallest start tag, and the tag.
fn next_caller(member_queue: &Member, allowed: [bool; 2], max_lag: u64) -> Option<(u64, Name)> {
    let ready = member_queue.flows.iter().filter(|(_, flow)| {
        (allowed[0] && flow.len(Class::Short) > 0) || (allowed[1] && flow.len(Class::Long) > 0)
    });
    ready
        .map(|(name, flow)| {
            (
                clamp_tag(flow.start_tag, member_queue.virtual_time, max_lag),
                name,
            )
        })
        .min()
        .map(|(start_tag, name)| (start_tag, name.clone()))
}

/// Returns the class of the oldest request among the allowed classes.
fn next_class(flow: &Flow, allowed: [bool; 2]) -> Option<Class> {
    let classes = [Class::Short, Class::Long];
    let ready = classes.into_iter().filter(|class| allowed[class.index()]);
    let ready = ready.filter_map(|class| Some((flow.oldest(class)?, class)));
    ready.min().map(|(_, class)| class)
}

/// Limits a start tag to at most `max_lag` before or after the virtual time.
fn clamp_tag(start_tag: u64, virtual_time: u64, max_lag: u64) -> u64 {
    start_tag.clamp(
        virtual_time.saturating_sub(max_lag),
        virtual_time.saturating_add(max_lag),
    )
}

/// Replaces the time `charged` in a start tag by `busy`.
const fn adjust(start_tag: u64, charged: u64, busy: u64) -> u64 {
    start_tag.saturating_add(busy).saturating_sub(charged)
}

/// Converts a duration to nanoseconds. A `u64` holds 584 years; longer
/// durations saturate.
fn to_nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
