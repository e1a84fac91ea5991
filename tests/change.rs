//! Changes of the rules: conflicts, resends and restarts.

mod support;

use std::time::Duration;

use rand::{RngExt as _, SeedableRng, rngs::StdRng};
use rstest::rstest;
use support::{
    calls::RequestSpec,
    cluster::{Cluster, Options, RULES},
    wait_for,
};

/// The bound for a change to be in force at every node.
const IN_FORCE_BOUND: Duration = Duration::from_secs(5);

/// The timeout of steps for which the design specifies no bound.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns [`RULES`] after a comment with `number`, so that each text differs.
fn rules_text(number: u64) -> String {
    format!("# change {number}\n{RULES}")
}

/// Returns the change ids in the history of the rules, the newest last.
async fn history(cluster: &Cluster, via: usize) -> Vec<String> {
    let history = cluster.get(via, "/v1/rules/history").await.unwrap();
    let revisions = history.as_array().unwrap().iter();
    revisions
        .map(|revision| revision["id"].to_string())
        .collect()
}

/// Guards against two accepted changes with the same base version, a rejection
/// that doesn't name the accepted change, and an accepted change that reverts.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_changes_with_the_same_base_is_accepted() {
    let cluster = Cluster::start(Options::default()).await;

    for round in 1..=10 {
        let (one, two) = (rules_text(2 * round), rules_text(2 * round + 1));
        let ids = [
            format!("{:032x}", 2 * round),
            format!("{:032x}", 2 * round + 1),
        ];
        let (one, two) = tokio::join!(
            cluster.change(3, "megan", &ids[0], round, &one),
            cluster.change(4, "gwen", &ids[1], round, &two),
        );
        let (won, lost, winner) = if one.status == 200 {
            (one, two, 0)
        } else {
            (two, one, 1)
        };
        assert_eq!((won.status.as_u16(), lost.status.as_u16()), (200, 409));
        assert_eq!(won.json()["version"], round + 1);
        assert_eq!(lost.json()["version"], round + 1, "{}", lost.text());
        assert_eq!(lost.json()["winner"]["id"], ids[winner], "{}", lost.text());
        cluster.in_force(round + 1, IN_FORCE_BOUND).await;
        for via in 0..5 {
            let rules = cluster.get(via, "/v1/rules").await.unwrap();
            let expected = rules_text(2 * round + winner as u64);
            assert_eq!(rules["text"], expected, "at {via} in round {round}");
        }
    }

    assert_eq!(history(&cluster, 0).await.len(), 11);
}

/// The process that is killed before the answer arrives.
#[derive(Debug, Clone, Copy)]
enum KilledProcess {
    ContactedNode,
    ControlLeader,
}

/// Guards against a change that is applied twice or lost when it is resent with
/// the same id because its answer was lost.
#[rstest]
#[case::asked_node(KilledProcess::ContactedNode)]
#[case::control_leader(KilledProcess::ControlLeader)]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_resent_after_a_lost_answer_is_applied_once(#[case] lost: KilledProcess) {
    let mut cluster = Cluster::start(Options::default()).await;
    let mut random = StdRng::seed_from_u64(cluster.seed);
    let mut version = 1;

    for round in 0..4 {
        let victim = match lost {
            KilledProcess::ContactedNode => 4,
            KilledProcess::ControlLeader => cluster.leader(3).await,
        };
        let (id, new) = (format!("resent-{round}"), rules_text(round));
        let send_timeout = Duration::from_millis(random.random_range(0..12));
        // The timeout drops the future, which discards the answer.
        let sending = cluster.change(4, "megan", &id, version, &new);
        let _ = tokio::time::timeout(send_timeout, sending).await;
        cluster.kill(victim);
        let resend = || async {
            let answer = cluster.change(3, "megan", &id, version, &new).await;
            let seen = (answer.status.as_u16(), answer.json()["version"].as_u64());
            (seen == (200, Some(version + 1)))
                .then_some(())
                .ok_or(format!("{seen:?} {}", answer.text()))
        };
        wait_for(STEP_TIMEOUT, "an accepted change", resend).await;
        cluster.launch(victim);
        version += 1;
        cluster.in_force(version, IN_FORCE_BOUND).await;
        cluster.ready().await;
    }

    assert_eq!(history(&cluster, 0).await.len() as u64, version);
}

/// Guards against a restarted process that doesn't receive the changes it
/// missed: a control replica and another node are down for 300 of them.
#[tokio::test(flavor = "multi_thread")]
async fn processes_that_missed_300_changes_catch_up() {
    const CHANGES: u64 = 300;
    let mut cluster = Cluster::start(Options {
        hosts: 4,
        ..Options::default()
    })
    .await;
    let replica = (cluster.leader(3).await + 1) % 3;
    let via = (replica + 1) % 3;

    cluster.kill(replica);
    cluster.kill(3);
    for version in 1..=CHANGES {
        let id = format!("missed-{version}");
        let answer = cluster
            .change(via, "gwen", &id, version, &rules_text(version))
            .await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    cluster.launch(replica);
    cluster.launch(3);
    let took = cluster.in_force(CHANGES + 1, IN_FORCE_BOUND).await;
    cluster.ready().await;
    for node in [replica, 3] {
        cluster
            .call(node, RequestSpec::read("k1"))
            .await
            .expect()
            .unwrap();
    }

    eprintln!("in force after {took:?}");
    cluster.check().await;
}

/// Guards against changes that are lost when every process is killed at once,
/// and against a node that can't start because the first entries of the log
/// exist only in a snapshot.
#[tokio::test(flavor = "multi_thread")]
async fn every_process_returns_after_a_snapshot() {
    // More than the number of entries after which a replica takes a snapshot.
    const CHANGES: u64 = 1_100;
    let mut cluster = Cluster::start(Options {
        hosts: 4,
        ..Options::default()
    })
    .await;
    for version in 1..=CHANGES {
        let id = format!("before-{version}");
        let answer = cluster
            .change(0, "gwen", &id, version, &rules_text(version))
            .await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }

    for host in 0..4 {
        cluster.kill(host);
    }
    for host in 0..4 {
        cluster.launch(host);
    }
    cluster.ready().await;
    cluster.in_force(CHANGES + 1, IN_FORCE_BOUND).await;

    for node in 0..4 {
        cluster
            .call(node, RequestSpec::read("k1"))
            .await
            .expect()
            .unwrap();
    }
    cluster.check().await;
}
