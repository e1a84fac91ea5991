//! The hosts and targets that the leader knows from reports.
//!
//! The leader of the control replicas owns one [`Roster`]. It starts empty with
//! each term, because reports are not replicated.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wisteriaglade_types::Name;

use crate::{Condition, Entry, Owner, Report};

/// How long a new leader waits for first reports before it treats a host
/// without one as gone. Hosts report several times within this time.
const COMPLETE: Duration = Duration::from_millis(2500);

/// How long a report of an earlier run of a process may be delayed in the
/// network. After this time a lower session number is accepted, because
/// sessions are wall-clock times and the clock may be set back between runs.
const LATE: Duration = Duration::from_secs(1);

/// How long a host stays in the directory after its last report. Other hosts
/// detect by themselves whether they can reach it.
const KEEP: Duration = Duration::from_secs(12);

/// The last report of a host and when the leader received it.
#[derive(Debug, Clone)]
pub struct Record {
    /// The report as the host sent it.
    pub report: Report,
    /// When the leader received it.
    pub seen: Duration,
}

/// The latest report of each host and the leases given to their targets.
#[derive(Debug, Default)]
pub struct Roster {
    since: Duration,
    records: BTreeMap<Name, Record>,
    /// When a lease was last given for each target. It is kept apart from the
    /// host's report, because a host process that has just restarted does not
    /// know its target yet.
    leases: BTreeMap<Owner, Duration>,
    /// Targets that are known to have ended.
    ended: BTreeSet<Owner>,
    revision: u64,
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

    /// Returns when the leader's term started.
    #[must_use]
    pub fn since(&self) -> Duration {
        self.since
    }

    /// Returns the last report of each host, in the order of host names.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
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
        now.saturating_sub(self.since) >= COMPLETE
    }

    /// Records a report that was received at `now`.
    ///
    /// Returns `false` if the report belongs to an earlier run of the host
    /// process and is ignored. A target that the report shows to be replaced
    /// or gone is added to [`Roster::ended`].
    pub fn report(&mut self, now: Duration, report: Report) -> bool {
        if let Some(known) = self.records.get(&report.host)
            && known.report.session > report.session
            && now.saturating_sub(known.seen) < LATE
        {
            return false;
        }
        // An address belongs to one host at a time, so a host that reported it
        // in an earlier session no longer exists.
        let former: Vec<_> = self
            .records
            .iter()
            .filter(|(host, known)| {
                known.report.address == report.address
                    && **host != report.host
                    && known.report.session < report.session
            })
            .map(|(host, _)| host.clone())
            .collect();
        for host in former {
            if let Some(record) = self.records.remove(&host) {
                self.end(record.report.target.map(|target| target.owner));
            }
        }
        let before = self.records.get(&report.host);
        let old = before.and_then(|record| entry(&record.report));
        let new = entry(&report);
        if old != new {
            self.revision += 1;
        }
        let owner = old.map(|entry| entry.owner);
        let former = before.and_then(|record| record.report.target.as_ref()?.owner.clone().into());
        if let Some(target) = &report.target {
            if let Some(former) = owner.or(former)
                && former != target.owner
                && former.born <= target.owner.born
            {
                self.end(Some(former));
            }
            if target.condition == Condition::Gone {
                self.end(Some(target.owner.clone()));
            }
        }
        let record = Record { report, seen: now };
        self.records.insert(record.report.host.clone(), record);
        true
    }

    /// Records that the leader gives a lease for a target at `now`.
    pub fn lease(&mut self, now: Duration, owner: &Owner) {
        self.leases.insert(owner.clone(), now);
    }

    /// Returns when a lease for a target was last given.
    ///
    /// For a target that this leader gave no lease, it is the start of the
    /// term: an earlier leader may have given one until then.
    #[must_use]
    pub fn leased(&self, owner: &Owner) -> Duration {
        self.leases.get(owner).copied().unwrap_or(self.since)
    }

    /// Removes hosts without a recent report, and targets for which `named`
    /// is false.
    ///
    /// `named` tells whether a key range still names a target. The host of
    /// such a target is kept.
    pub fn prune(&mut self, now: Duration, named: impl Fn(&Owner) -> bool) {
        let before = self.records.len();
        self.records.retain(|_, record| {
            let owner = record.report.target.as_ref().map(|target| &target.owner);
            now.saturating_sub(record.seen) < KEEP || owner.is_some_and(&named)
        });
        if before != self.records.len() {
            self.revision += 1;
        }
        self.leases.retain(|owner, _| named(owner));
        self.ended.retain(named);
    }

    /// Returns the directory entries of all running targets.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        let reports = self.records.values().map(|record| &record.report);
        reports.filter_map(entry).collect()
    }

    fn end(&mut self, owner: Option<Owner>) {
        if let Some(owner) = owner {
            self.ended.insert(owner);
            self.revision += 1;
        }
    }
}

/// Returns the directory entry of a host's target, or `None` if no target
/// runs there.
fn entry(report: &Report) -> Option<Entry> {
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
