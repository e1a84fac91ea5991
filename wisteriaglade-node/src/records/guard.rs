//! The guard of an at-most-once request.

use std::{sync::Arc, time::Duration};

use tokio::sync::mpsc;
use wisteriaglade_once::{Answer, Fingerprint, Key, owner::Event};
use wisteriaglade_types::{Request, Shard};

use super::{Decision, step};
use crate::{context::Context, lock};

/// Guard of an at-most-once request between its start record and its outcome.
///
/// Dropping it before the outcome is known records an unknown outcome.
#[derive(Debug)]
pub(crate) struct Guard {
    context: Arc<Context>,
    request: Request,
    decisions: mpsc::UnboundedReceiver<Decision>,
    /// Whether the start is recorded and the outcome isn't.
    running: bool,
}

impl Guard {
    /// Looks for earlier records of the request, writes its start record, and
    /// waits for the decision.
    pub(crate) async fn begin(
        context: &Arc<Context>,
        shard: Shard,
        key: Key,
        fingerprint: Fingerprint,
        request: Request,
        deadline: Duration,
    ) -> (Self, Decision) {
        let (send, decisions) = mpsc::unbounded_channel();
        lock(&context.records.inner).waiting.insert(request, send);
        let mut guard = Self {
            context: Arc::clone(context),
            request,
            decisions,
            running: false,
        };
        step(
            context,
            Event::Begin {
                shard,
                key,
                fingerprint,
                request,
                deadline,
            },
        );
        let decision = guard.next().await;
        guard.running = matches!(decision, Decision::Run);
        (guard, decision)
    }

    /// Records the outcome, and waits until a majority of the holders has it.
    /// Without an answer the outcome is recorded as unknown.
    pub(crate) async fn finish(mut self, answer: Option<Answer>) -> Decision {
        self.running = false;
        let request = self.request;
        step(&self.context, Event::Finish { request, answer });
        self.next().await
    }

    /// Withdraws the start record of a request that is known not to have run.
    pub(crate) async fn abort(mut self) {
        self.running = false;
        let request = self.request;
        step(&self.context, Event::Abort { request });
        self.next().await;
    }

    /// Waits for the next decision. The channel closes when this process loses
    /// its id; the outcome is unknown then.
    async fn next(&mut self) -> Decision {
        self.decisions.recv().await.unwrap_or(Decision::Unknown)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.running {
            let request = self.request;
            let answer = None;
            step(&self.context, Event::Finish { request, answer });
        }
    }
}
