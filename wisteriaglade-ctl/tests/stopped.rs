//! Guards against a change that is reported as not sent although the node that
//! received it ended. It is the only test in its file, because another test at
//! the same time could listen on the port that the ended node leaves.

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
