//! Guards against a change that is reported as not sent although a node received it
//! and then stopped. This file has only one test, because a parallel test could listen
//! on the port that the stopped node releases.

mod stand;

use stand::{Fault, RULE, Stand, ask, file};

#[test]
fn a_change_sent_to_a_node_that_ended_is_unknown() {
    let stand = Stand::start(&[Fault::Stop]);
    let rules = file(RULE);

    let ran = ask(
        &[&stand],
        &format!("--timeout 100ms --json rules apply {rules} --base 0"),
    );

    assert_eq!(ran.json()["outcome"], "unknown", "{}", ran.err);
    assert_eq!(stand.state().history.len(), 1);
}
