//! Guards against a change that is reported as not sent although a node received it
//! and then stopped. This file has only one test, because a parallel test could listen
//! on the port that the stopped node releases.

mod support;

use support::{Fault, MockNode, RULE, temp_file, wisteriactl_with_nodes};

#[test]
fn a_change_sent_to_a_node_that_ended_is_unknown() {
    let node = MockNode::start(&[Fault::Stop]);
    let rules = temp_file(RULE);

    let output = wisteriactl_with_nodes(
        &[&node],
        &format!("--timeout 100ms --json rules apply {rules} --base 0"),
    );

    assert_eq!(output.json()["outcome"], "unknown", "{}", output.err);
    assert_eq!(node.state().history.len(), 1);
}
