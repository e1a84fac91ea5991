//! The hosts and targets that the leader knows from reports.
//!
//! The leader of the control replicas owns one [`Roster`]. It starts empty with
//! each term, because reports are not replicated.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use wisteriaglade_types::Name;

use crate::{Condition, Entry, EntryUpdate, Owner, Report};

/// How long a new leader waits for first reports before it treats a host
/// without one as gone. Hosts report several times within this time.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_millis(2500);

/// How long a report of an earlier run of a process may be delayed in the
/// network. After this time a lower session number is accepted, because
/// sessions are wall-clock times and the clock may be set back between runs.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(1);

/// How long a host stays in the directory after its last report. Other hosts
/// detect by themselves whether they can reach it.
const SILENT_HOST_RETENTION: Duration = Duration::from_secs(12);

/// How long the time of a lease is kept for a target that owns no keys. It may
/// get keys under that lease, and exceeds the wait for the lease to expire.
const LEASE_RETENTION: Duration = Duration::from_secs(12);

/// The last report of a host and when the leader received it.
#[derive(Debug, Clone)]
pub struct ReceivedReport {
    /// The report as the host sent it.
    pub report: Report,
    /// When the leader received it.
    pub received_at: Duration,
}

/// The latest report of each host and the leases given to their targets.
#[derive(Debug, Default)]
pub struct Roster {
    /// When the leader's term started.
    since: Duration,
    /// The last report of each host, by host name.
    reports: BTreeMap<Name, ReceivedReport>,
    /// When a lease was last given for each target. It is kept apart from the
    /// host's report, because a host process that has just restarted does not
    /// know its target yet.
    leases: BTreeMap<Owner, Duration>,
    /// The log index of the key ranges at the start of the term.
    term_index: u64,
    /// The log index after the last revocation of each target in this term.
    revoked: BTreeMap<Owner, u64>,
    /// Targets that are known to have ended.
    ended: BTreeSet<Owner>,
    /// Targets that have been reported as draining, and when last. A target drains
    /// until it ends, but a host process that has just started may not know it.
    draining: BTreeMap<Owner, Duration>,
    /// A counter of changes to the directory entries.
    revision: u64,
    /// The revision of the last change of the entry at each host address.
    changes: BTreeMap<SocketAddr, u64>,
}

impl Roster {
    /// Creates the empty roster of a leader whose term starts at `now`.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            since: now,
            revision: 1,
            ..Self::default()
        }
    }

    /// Sets the log index of the key ranges at the start of the term.
    #[must_use]
    pub fn at_index(self, term_index: u64) -> Self {
        Self { term_index, ..self }
    }

    /// Returns when the leader's term started.
    #[must_use]
    pub fn since(&self) -> Duration {
        self.since
    }

    /// Returns the last report of each host, in the order of host names.
    pub fn reports(&self) -> impl Iterator<Item = &ReceivedReport> {
        self.reports.values()
    }

    /// Returns the targets that are known to have ended.
    #[must_use]
    pub fn ended(&self) -> &BTreeSet<Owner> {
        &self.ended
    }

    /// Returns a number that rises whenever the result of [`Roster::entries`]
    /// may have changed.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether every running host has had time to report.
    #[must_use]
    pub fn is_complete(&self, now: Duration) -> bool {
        now.saturating_sub(self.since) >= FIRST_REPORT_TIMEOUT
    }

    /// Records a report that was received at `now`.
    ///
    /// Returns `false` if the report belongs to an earlier run of the host
    /// process and is ignored. A target that the report shows to be replaced
    /// or gone is added to [`Roster::ended`].
    pub fn report(&mut self, now: Duration, mut report: Report) -> bool {
        if let Some(known) = self.reports.get(&report.host)
            && known.report.session > report.session
            && now.saturating_sub(known.received_at) < MAX_REPORT_DELAY
        {
            return false;
        }
        if let Some(target) = &mut report.target {
            if target.condition == Condition::Ready && self.draining.contains_key(&target.owner) {
                target.condition = Condition::Draining;
            }
            if target.condition == Condition::Draining {
                self.draining.insert(target.owner.clone(), now);
            }
        }
        // An address belongs to one host at a time, so a host that reported it
        // in an earlier session no longer exists.
        let replaced: Vec<_> = self
            .reports
            .iter()
            .filter(|(host, known)| {
                known.report.address == report.address
                    && **host != report.host
                    && known.report.session < report.session
            })
            .map(|(host, _)| host.clone())
            .collect();
        for host in replaced {
            if let Some(received) = self.reports.remove(&host) {
                self.mark_changed(received.report.address);
                self.mark_ended(received.report.target.map(|target| target.owner));
            }
        }
        let before = self.reports.get(&report.host);
        let old = before.and_then(|received| directory_entry(&received.report));
        let new = directory_entry(&report);
        let changed = (old != new).then_some([&old, &new]);
        let changed: Vec<_> = changed
            .into_iter()
            .flatten()
            .filter_map(|entry| Some(entry.as_ref()?.address))
            .collect();
        let owner = old.map(|entry| entry.owner);
        let previous =
            before.and_then(|received| received.report.target.as_ref()?.owner.clone().into());
        for address in changed {
            self.mark_changed(address);
        }
        if let Some(target) = &report.target {
            if let Some(previous) = owner.or(previous)
                && previous != target.owner
                && previous.started_ms <= target.owner.started_ms
            {
                self.mark_ended(Some(previous));
            }
            if target.condition == Condition::Gone {
                self.mark_ended(Some(target.owner.clone()));
            }
        }
        let received = ReceivedReport {
            report,
            received_at: now,
        };
        self.reports.insert(received.report.host.clone(), received);
        true
    }

    /// Records that the ranges of a target were taken back, at the latest by the
    /// log entry `index`.
    pub fn record_revocation(&mut self, owner: Owner, index: u64) {
        self.revoked.insert(owner, index);
    }

    /// Returns whether a target may get a lease whose host has the key ranges of
    /// the log entry `index`. A host that has missed the revocation of its target,
    /// by this leader or an earlier one, would grant ranges that have another
    /// holder.
    #[must_use]
    pub fn may_lease(&self, owner: &Owner, index: u64) -> bool {
        let revoked = self.revoked.get(owner).copied().unwrap_or(0);
        index >= revoked.max(self.term_index)
    }

    /// Records that the leader gives a lease for a target at `now`.
    pub fn record_lease(&mut self, now: Duration, owner: &Owner) {
        self.leases.insert(owner.clone(), now);
    }

    /// Returns when a lease for a target was last given.
    ///
    /// For a target that this leader gave no lease, it is the start of the
    /// term: an earlier leader may have given one until then.
    #[must_use]
    pub fn last_lease(&self, owner: &Owner) -> Duration {
        self.leases.get(owner).copied().unwrap_or(self.since)
    }

    /// Removes hosts without a recent report, and targets for which `named`
    /// is false.
    ///
    /// `named` tells whether a key range still names a target. The host of
    /// such a target is kept.
    pub fn prune(&mut self, now: Duration, named: impl Fn(&Owner) -> bool) {
        let mut removed = Vec::new();
        self.reports.retain(|_, received| {
            let owner = received.report.target.as_ref().map(|target| &target.owner);
            let keep = now.saturating_sub(received.received_at) < SILENT_HOST_RETENTION
                || owner.is_some_and(&named);
            if !keep {
                removed.push(received.report.address);
            }
            keep
        });
        for address in removed {
            self.mark_changed(address);
        }
        self.leases
            .retain(|owner, given| named(owner) || now.saturating_sub(*given) < LEASE_RETENTION);
        self.draining
            .retain(|_, reported| now.saturating_sub(*reported) < SILENT_HOST_RETENTION);
        self.ended.retain(named);
    }

    /// Returns the directory entries of all running targets.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        let reports = self.reports.values().map(|received| &received.report);
        reports.filter_map(directory_entry).collect()
    }

    /// Returns what has changed in [`Roster::entries`] since `revision`.
    #[must_use]
    pub fn entries_since(&self, revision: u64) -> EntryUpdate {
        let changes = self.changes.iter();
        let addresses: BTreeSet<_> = changes
            .filter(|(_, changed)| **changed > revision)
            .map(|(address, _)| *address)
            .collect();
        let mut removed = addresses.clone();
        let mut updated = Vec::new();
        let reports = self.reports.values().map(|received| &received.report);
        for report in reports.filter(|report| addresses.contains(&report.address)) {
            if let Some(entry) = directory_entry(report) {
                removed.remove(&entry.address);
                updated.push(entry);
            }
        }
        EntryUpdate::Changed {
            updated,
            removed: removed.into_iter().collect(),
        }
    }

    fn mark_changed(&mut self, address: SocketAddr) {
        self.revision += 1;
        self.changes.insert(address, self.revision);
    }

    fn mark_ended(&mut self, owner: Option<Owner>) {
        if let Some(owner) = owner {
            self.ended.insert(owner);
            self.revision += 1;
        }
    }
}

/// Returns the directory entry of a host's target, or `None` if no target
/// runs there.
fn directory_entry(report: &Report) -> Option<Entry> {
    let target = report.target.as_ref()?;
    if target.condition == Condition::Gone {
        return None;
    }
    Some(Entry {
        owner: target.owner.clone(),
        pool: target.pool.clone(),
        address: report.address,
        data_centre: report.data_centre.clone(),
        slots: target.slots,
        ready: target.condition == Condition::Ready && !report.leaving,
    })
}
