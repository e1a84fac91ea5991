//! Grants of key ranges by calls to a target.
//!
//! A host process whose target takes its ranges by call owns one [`Issuer`]. It
//! passes in the leases and key ranges that it receives from the leader, sends
//! the calls that [`Issuer::orders`] returns, and reports how each one ended.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::Name;

use crate::{Allotment, Owner, Span};

/// How long a grant may wait for its response. A grant that ended later was held
/// up in the process, for example because that was suspended.
const GRANT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a release may wait for its response, which comes when the running
/// work on the keys has ended.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// The time by which a hold ends before the lease, because a hold counts from
/// the arrival of the call.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(250);

/// How long after the end of a connection the bytes written to it may still
/// arrive. Host and target run on one machine.
const IN_FLIGHT_BOUND: Duration = Duration::from_millis(50);

/// The time after the end of a lease for which the leader waits at least before
/// it gives the ranges to another target.
const LEASE_SLACK: Duration = Duration::from_millis(300);

/// The factor applied to holds for a target whose clock runs 2% slow.
const DRIFT_FACTOR: f64 = 1.03;

/// The shortest hold that is granted. A shorter one is not worth its call.
const MIN_HOLD: Duration = Duration::from_millis(300);

/// A hold is renewed once less than this time is left of it. Two renewals in a
/// row may go unanswered before the hold ends.
const RENEW_BEFORE: Duration = Duration::from_millis(1_600);

/// The most calls that wait for a response at the same time.
const MAX_OPEN_CALLS: usize = 8;

/// How long after a heartbeat a grant may be sent on a new connection. Another
/// process may have taken the target's place since, which must not get the grants
/// of the target; its start takes longer than this. That another connection is
/// open does not show that the target still runs, because it may be silent.
const HEARTBEAT_VALIDITY: Duration = Duration::from_millis(200);

/// How long a process that was suspended may take to handle the heartbeats that
/// arrived meanwhile. The process that sent them may have been replaced since, so
/// they count from before the suspension.
const BACKLOG_TIME: Duration = Duration::from_millis(50);

/// The pause before a call that failed is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A call to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Grants a range, or renews the grant under the same fencing token.
    Grant {
        /// The keys.
        span: Span,
        /// The fencing token.
        fence: u64,
        /// How long the target may hold the keys, counted from the arrival of
        /// the call.
        hold: Duration,
        /// The handover text of the previous holder; empty if there is none.
        handover: Name,
    },
    /// Takes a range back.
    Release {
        /// The keys.
        span: Span,
        /// The fencing token of their grant.
        fence: u64,
    },
}

impl Call {
    /// Returns the keys that the call is about.
    #[must_use]
    pub fn span(&self) -> Span {
        match self {
            Self::Grant { span, .. } | Self::Release { span, .. } => *span,
        }
    }

    /// Returns the time after which the sender gives the call up and closes its
    /// connection.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        match self {
            Self::Grant { .. } => GRANT_TIMEOUT,
            Self::Release { .. } => RELEASE_TIMEOUT,
        }
    }

    /// Returns the fencing token.
    #[must_use]
    pub fn fence(&self) -> u64 {
        match self {
            Self::Grant { fence, .. } | Self::Release { fence, .. } => *fence,
        }
    }
}

/// A call to send now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The number of the call, which [`Issuer::settle`] takes.
    pub id: u64,
    /// The call.
    pub call: Call,
    /// Until when a connection that the call opens has to be open. A release may
    /// open one at any time.
    pub connect_until: Duration,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response {
    /// The target carried it out. A release returns the handover text.
    Done(Name),
    /// The target knows a higher fencing token for one of the keys.
    Outdated,
    /// The call was not sent, or the target did not carry it out and will not.
    Rejected,
    /// There was no response before the connection was closed. The target may
    /// still carry the call out, with its time counted from its arrival.
    Unknown,
}

/// What the target may do with a range because of the calls that were sent.
#[derive(Debug, Clone)]
struct Exposure {
    span: Span,
    fence: u64,
    /// Until when the target holds the keys at least.
    held_until: Duration,
    /// Until when it holds them at most by the grants that it has answered.
    answered_until: Duration,
    /// Until when it holds them at most by grants without a response, which it
    /// may apply even after a release.
    unanswered_until: Duration,
}

/// A range whose release the target has answered, and its handover text.
#[derive(Debug)]
struct Withdrawn {
    span: Span,
    fence: u64,
    handover: Name,
}

/// A call without a response so far.
#[derive(Debug)]
struct OpenCall {
    call: Call,
    /// When it was decided.
    sent: Duration,
    /// When the lease ended that it was decided under.
    lease_end: Duration,
}

/// Decides which calls grant, renew and release the key ranges of a target, and
/// when a range may go to another target.
///
/// In addition to the rules of [`Grantor`](crate::Grantor), a range counts as
/// released only when no call that was sent under its fencing token can make the
/// target hold it: the target has answered a release, and the longest hold of
/// each grant without a response has passed. If it answers no release, the
/// longest hold of all grants has to pass.
#[derive(Debug)]
pub struct Issuer {
    /// What the leader has assigned to the target.
    pub allotment: Allotment,
    /// The longest hold to grant.
    limit: Duration,
    /// When the target's last heartbeat arrived at the earliest.
    last_heartbeat: Duration,
    /// The last two times, at least [`BACKLOG_TIME`] apart, at which the process
    /// is known to have run, the earlier one first.
    active: [Duration; 2],
    /// Until when grants may hold that an earlier process of this host sent.
    inherited_until: Duration,
    exposures: Vec<Exposure>,
    withdrawn: Vec<Withdrawn>,
    /// Ranges that the target must not hold any more although the leader has not
    /// moved them: keys and fencing token.
    recalled: Vec<(Span, u64)>,
    /// Ranges for which the target knows a higher fencing token.
    outdated: Vec<(Span, u64)>,
    /// Ranges for which no call is sent before a time.
    paused: Vec<(Span, u64, Duration)>,
    open: BTreeMap<u64, OpenCall>,
    next_id: u64,
}

impl Issuer {
    /// Creates the issuer of a host process that starts at `now`. `lease` is the
    /// length of the leases that an earlier process of the host may have had,
    /// and `limit` the longest hold that the target accepts.
    #[must_use]
    pub fn new(now: Duration, lease: Duration, limit: Duration) -> Self {
        Self {
            allotment: Allotment::default(),
            limit,
            last_heartbeat: Duration::ZERO,
            active: [now; 2],
            inherited_until: now + lease.mul_f64(DRIFT_FACTOR) + LEASE_SLACK,
            exposures: Vec::new(),
            withdrawn: Vec::new(),
            recalled: Vec::new(),
            outdated: Vec::new(),
            paused: Vec::new(),
            open: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Takes a heartbeat of `owner`. Calls to an earlier target are forgotten:
    /// the leader waits until their holds have ended.
    pub fn heartbeat(&mut self, now: Duration, owner: &Owner) {
        self.record_activity(now);
        self.last_heartbeat = self.active[0];
        if self.allotment.owner() == Some(owner) {
            return;
        }
        *self = Self {
            allotment: Allotment::of(owner.clone(), now),
            last_heartbeat: self.last_heartbeat,
            active: self.active,
            inherited_until: self.inherited_until,
            next_id: self.next_id,
            ..Self::new(now, Duration::ZERO, self.limit)
        };
    }

    /// Returns whether the target holds a key: the leader has assigned it, and
    /// the target has answered a grant whose hold has not ended.
    #[must_use]
    pub fn holds(&self, now: Duration, key: u16) -> bool {
        let mut ranges = self.allotment.grantable().iter();
        let range = ranges.find(|(span, ..)| span.contains(key));
        range.is_some_and(|(_, fence, _)| {
            let key = Span::new(key, key);
            !self.is_recalled(key, *fence) && self.held_until(key, *fence) > now
        })
    }

    /// Returns the number of assigned ranges that the target holds and of those
    /// that it does not hold.
    #[must_use]
    pub fn held_ranges(&self, now: Duration) -> (usize, usize) {
        let ranges = self.allotment.grantable();
        let held = ranges
            .iter()
            .filter(|(span, fence, _)| self.held_until(*span, *fence) > now)
            .count();
        (held, ranges.len() - held)
    }

    /// Returns the calls to send now, the most urgent first: releases, then
    /// grants by the time that is left of the hold. Marks ranges as released
    /// that the target can no longer hold.
    ///
    /// `connected` tells whether a connection for calls to the target is open.
    /// Connections end with the process of the target.
    pub fn orders(&mut self, now: Duration, connected: bool) -> Vec<Order> {
        self.record_activity(now);
        self.exposures
            .retain(|known| known.answered_until.max(known.unanswered_until) > now);
        self.paused.retain(|(_, _, until)| *until > now);
        self.forget_reassigned();
        let connect_until = self.last_heartbeat + HEARTBEAT_VALIDITY;
        let mut calls = self.releases(now);
        if connected || now < connect_until {
            calls.extend(self.grants(now));
        }
        calls.truncate(MAX_OPEN_CALLS.saturating_sub(self.open.len()));
        calls
            .into_iter()
            .map(|call| {
                let id = self.next_id;
                self.next_id += 1;
                if matches!(call, Call::Grant { .. }) {
                    // The move for which the target released the range was given
                    // up, and the target holds it again.
                    let (span, fence) = (call.span(), call.fence());
                    self.withdrawn
                        .retain(|known| known.fence != fence || known.span.overlap(span).is_none());
                }
                let open = OpenCall {
                    call: call.clone(),
                    sent: now,
                    lease_end: self.allotment.lease_end(),
                };
                self.open.insert(id, open);
                Order {
                    id,
                    call,
                    connect_until,
                }
            })
            .collect()
    }

    /// Records how the call `id` ended. Calls to an earlier target are ignored.
    pub fn settle(&mut self, now: Duration, id: u64, response: Response) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        let (span, fence) = (open.call.span(), open.call.fence());
        match (open.call, response) {
            (Call::Grant { hold, .. }, Response::Done(_)) => {
                let until = now + hold.mul_f64(DRIFT_FACTOR);
                self.expose(span, fence, |known| {
                    known.held_until = known.held_until.max(open.sent + hold);
                    known.answered_until = known.answered_until.max(until);
                });
                self.recall_if_late(span, fence, until, open.lease_end);
            }
            (Call::Grant { hold, .. }, Response::Unknown) => {
                let until = now + IN_FLIGHT_BOUND + hold.mul_f64(DRIFT_FACTOR);
                self.expose(span, fence, |known| {
                    known.unanswered_until = known.unanswered_until.max(until);
                });
                self.paused.push((span, fence, now + RETRY_PAUSE));
                self.recall_if_late(span, fence, until, open.lease_end);
            }
            (Call::Grant { .. }, Response::Outdated) => self.outdated.push((span, fence)),
            (Call::Release { .. }, Response::Done(handover)) => {
                self.withdrawn.push(Withdrawn {
                    span,
                    fence,
                    handover,
                });
                for known in &mut self.exposures {
                    if known.fence == fence && known.span.overlap(span) == Some(known.span) {
                        known.held_until = Duration::ZERO;
                        known.answered_until = Duration::ZERO;
                    }
                }
            }
            _ => self.paused.push((span, fence, now + RETRY_PAUSE)),
        }
    }

    /// Records that the process runs at `now`.
    fn record_activity(&mut self, now: Duration) {
        if now >= self.active[1] + BACKLOG_TIME {
            self.active = [self.active[1], now];
        }
    }

    /// Drops what is known of ranges that the leader no longer assigns to this
    /// target under the same fencing token.
    fn forget_reassigned(&mut self) {
        let allotment = &self.allotment;
        let is_assigned = |span: Span, fence: u64| {
            let grantable = allotment.grantable().iter();
            let mut ranges = grantable
                .map(|(span, fence, _)| (*span, *fence))
                .chain(allotment.moving().iter().copied());
            ranges.any(|(other, token)| token == fence && other.overlap(span).is_some())
        };
        self.withdrawn
            .retain(|known| is_assigned(known.span, known.fence));
        // A recalled range is taken back even if the leader has reassigned it.
        let exposures = &self.exposures;
        self.recalled.retain(|(span, fence)| {
            is_assigned(*span, *fence)
                || exposures
                    .iter()
                    .any(|known| known.fence == *fence && known.span.overlap(*span).is_some())
        });
        self.outdated
            .retain(|(span, fence)| is_assigned(*span, *fence));
    }

    /// Returns the releases to send, and marks ranges as released.
    fn releases(&mut self, now: Duration) -> Vec<Call> {
        let mut ranges = self.allotment.moving().to_vec();
        ranges.extend(&self.recalled);
        ranges.extend(&self.outdated);
        let mut calls = Vec::new();
        for (span, fence) in ranges {
            let has_open_grant =
                self.is_open(span, fence, |call| matches!(call, Call::Grant { .. }));
            if self.allotment.is_released(span, fence) || has_open_grant {
                continue;
            }
            let unanswered_until = self
                .bound(span, fence, |known| known.unanswered_until)
                .max(self.inherited_until);
            let answered_until = self.bound(span, fence, |known| known.answered_until);
            let withdrawn = self
                .withdrawn
                .iter()
                .find(|known| known.fence == fence && known.span.overlap(span) == Some(span));
            if now >= unanswered_until && (withdrawn.is_some() || now >= answered_until) {
                let handover = withdrawn.map_or_else(|| Name::from(""), |w| w.handover.clone());
                self.allotment.release_under(span, fence, &handover);
            } else if withdrawn.is_none()
                && !self.is_paused(span, fence)
                && !self.is_open(span, fence, |_| true)
            {
                calls.push(Call::Release { span, fence });
            }
        }
        calls
    }

    /// Returns the grants and renewals that are due.
    fn grants(&self, now: Duration) -> Vec<Call> {
        let lease_left = self.allotment.lease_left(now);
        let hold = lease_left.saturating_sub(ARRIVAL_MARGIN).min(self.limit);
        if hold < MIN_HOLD {
            return Vec::new();
        }
        let mut due: Vec<_> = self
            .allotment
            .grantable()
            .iter()
            .filter(|(span, fence, _)| {
                !self.allotment.is_released(*span, *fence)
                    && !self.is_recalled(*span, *fence)
                    && !self.is_outdated(*span, *fence)
                    && !self.is_open(*span, *fence, |_| true)
                    && !self.is_paused(*span, *fence)
            })
            .map(|(span, fence, handover)| {
                let left = self.held_until(*span, *fence).saturating_sub(now);
                (left, *span, *fence, handover)
            })
            .filter(|(left, ..)| *left < RENEW_BEFORE && *left + MIN_HOLD <= hold)
            .collect();
        due.sort_by_key(|(left, ..)| *left);
        due.into_iter()
            .map(|(_, span, fence, handover)| Call::Grant {
                span,
                fence,
                hold,
                handover: handover.clone(),
            })
            .collect()
    }

    /// Changes what is known of exactly these keys under a fencing token.
    fn expose(&mut self, span: Span, fence: u64, edit: impl FnOnce(&mut Exposure)) {
        let is_same = |known: &&mut Exposure| known.span == span && known.fence == fence;
        if let Some(known) = self.exposures.iter_mut().find(is_same) {
            edit(known);
            return;
        }
        let mut known = Exposure {
            span,
            fence,
            held_until: Duration::ZERO,
            answered_until: Duration::ZERO,
            unanswered_until: Duration::ZERO,
        };
        edit(&mut known);
        self.exposures.push(known);
    }

    /// Takes a range back whose hold may last longer than the leader waits after
    /// the lease: the call was held up on its way. `lease_end` is that of the
    /// lease under which the call was decided; a later lease counts too.
    fn recall_if_late(&mut self, span: Span, fence: u64, until: Duration, lease_end: Duration) {
        let lease_end = lease_end.max(self.allotment.lease_end());
        if until > lease_end + LEASE_SLACK && !self.is_recalled(span, fence) {
            self.recalled.push((span, fence));
        }
    }

    /// Returns until when the target holds all keys of a span at least. A grant
    /// of a larger span counts for its parts.
    fn held_until(&self, span: Span, fence: u64) -> Duration {
        let covers =
            |known: &&Exposure| known.fence == fence && known.span.overlap(span) == Some(span);
        let known = self.exposures.iter().filter(covers);
        known
            .map(|known| known.held_until)
            .max()
            .unwrap_or(Duration::ZERO)
    }

    /// Returns the latest of the times that `time` returns for grants that
    /// overlap a span under a fencing token.
    fn bound(&self, span: Span, fence: u64, time: impl Fn(&Exposure) -> Duration) -> Duration {
        let overlaps =
            |known: &&Exposure| known.fence == fence && known.span.overlap(span).is_some();
        let known = self.exposures.iter().filter(overlaps);
        known.map(time).max().unwrap_or(Duration::ZERO)
    }

    /// Returns whether a call of a kind has no response yet.
    fn is_open(&self, span: Span, fence: u64, is_kind: impl Fn(&Call) -> bool) -> bool {
        let mut calls = self.open.values().map(|open| &open.call);
        calls.any(|call| {
            call.fence() == fence && call.span().overlap(span).is_some() && is_kind(call)
        })
    }

    fn is_recalled(&self, span: Span, fence: u64) -> bool {
        overlaps_any(&self.recalled, span, fence)
    }

    fn is_outdated(&self, span: Span, fence: u64) -> bool {
        overlaps_any(&self.outdated, span, fence)
    }

    fn is_paused(&self, span: Span, fence: u64) -> bool {
        self.paused
            .iter()
            .any(|(other, token, _)| *token == fence && other.overlap(span).is_some())
    }
}

/// Returns whether one of the ranges has the fencing token and shares keys with
/// the span.
fn overlaps_any(ranges: &[(Span, u64)], span: Span, fence: u64) -> bool {
    ranges
        .iter()
        .any(|(other, token)| *token == fence && other.overlap(span).is_some())
}
