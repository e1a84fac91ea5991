//! Tests that valid settings are accepted, and that errors name the field of
//! invalid ones.

use rstest::rstest;
use wisteriaglade_node::Settings;

const VALID: &str = "
host: caerdydd-1
data_centre: caerdydd
listen: { caller: '127.0.0.1:8080', peer: '127.0.0.1:7946', admin: '127.0.0.1:9090' }
cluster_key: a-key-that-is-long-enough
replicas: [{ id: 1, peer: '127.0.0.1:7946' }]
";

/// The message of the error that a text causes.
fn message(text: &str) -> String {
    Settings::parse("node.yaml", text).unwrap_err().to_string()
}

/// Guards against examples that no longer match the settings that the code
/// reads.
#[test]
fn every_settings_file_of_the_examples_is_valid() {
    let mut count = 0;
    for folder in ["llewellyn", "ribeira"] {
        let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples/");
        for file in std::fs::read_dir(format!("{root}{folder}")).unwrap() {
            let path = file.unwrap().path();
            if path.extension().is_some_and(|end| end == "yaml") {
                Settings::read(&path).unwrap();
                count += 1;
            }
        }
    }
    assert_eq!(count, 25);
}

// Each case guards against a mistake that would otherwise show only under load
// or on a failure.
#[rstest]
#[case::an_unknown_field("hots: 4", "hots")]
#[case::an_unknown_nested_field("timing: { lease_time: 1s }", "lease_time")]
#[case::a_duration_without_a_unit("timing: { lease: 500 }", "timing.lease")]
#[case::a_lease_that_one_loss_ends("timing: { lease: 300ms }", "timing.lease")]
#[case::a_fence_after_one_loss("timing: { suspect: 200ms }", "timing.suspect")]
#[case::a_state_that_is_never_recent("timing: { staleness: 100ms }", "timing.staleness")]
#[case::a_zero_timeout("timing: { accept: 0s }", "timing.accept")]
#[case::two_holders("holders: 2", "holders")]
#[case::odd_shards("shards: 100", "shards")]
#[case::small_headers("limits: { headers: 1KiB }", "limits.headers")]
#[case::a_size_that_is_none("limits: { body: many }", "limits.body")]
#[case::a_replica_that_is_not_listed("replica: { id: 2, data: /tmp/x }", "replica.id")]
#[case::two_keys("cluster_key_file: /tmp/key", "cluster_key")]
#[case::an_unknown_policy("policy: best", "policy")]
fn a_mistake_is_refused_and_named(#[case] line: &str, #[case] field: &str) {
    let message = message(&format!("{VALID}{line}\n"));

    assert!(message.starts_with("node.yaml: "), "{message}");
    assert!(message.contains(field), "{message}");
}

// Each case guards against a cluster that cannot work.
#[rstest]
#[case::no_host("host: caerdydd-1", "", "host")]
#[case::a_bad_address("127.0.0.1:8080", "127.0.0.1:80800", "listen.caller")]
#[case::no_key("cluster_key: a-key-that-is-long-enough", "", "cluster_key")]
#[case::two_replicas(
    "[{ id: 1, peer: '127.0.0.1:7946' }]",
    "[{ id: 1, peer: '127.0.0.1:1' }, { id: 2, peer: '127.0.0.1:2' }]",
    "replicas"
)]
#[case::one_id_twice(
    "[{ id: 1, peer: '127.0.0.1:7946' }]",
    "[{ id: 1, peer: '127.0.0.1:1' }, { id: 1, peer: '127.0.0.1:2' }, { id: 3, peer: '127.0.0.1:3' }]",
    "replicas"
)]
// Each case guards against settings with which a cluster cannot work.
fn a_broken_file_is_refused(#[case] part: &str, #[case] by: &str, #[case] field: &str) {
    let text = VALID.replace(part, by);

    assert!(message(&text).contains(field), "{}", message(&text));
}
