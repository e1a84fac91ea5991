//! The guard of an at-most-once request.

use std::{sync::Arc, time::Duration};

use tokio::sync::mpsc;
use wisteriaglade_once::{Answer, Fingerprint, Key, owner::Event};
use wisteriaglade_types::{Request, Shard};

use super::{Verdict, step};
use crate::{context::Context, lock};

/// Guard of an at-most-once request between its start record and its outcome.
///
/// Dropping it before the outcome is known records an unknown outcome.
#[derive(Debug)]
pub(crate) struct Ticket {
    context: Arc<Context>,
    request: Request,
    verdicts: mpsc::UnboundedReceiver<Verdict>,
    /// Whether the start is recorded and the outcome isn't.
    running: bool,
}

impl Ticket {
    /// Looks for earlier records of the request, writes its start record, and
    /// waits for the decision.
    pub(crate) async fn begin(
        context: &Arc<Context>,
        shard: Shard,
        key: Key,
        fingerprint: Fingerprint,
        request: Request,
        deadline: Duration,
    ) -> (Self, Verdict) {
        let (send, verdicts) = mpsc::unbounded_channel();
        lock(&context.records.inner).waiting.insert(request, send);
        let mut ticket = Self {
            context: Arc::clone(context),
            request,
            verdicts,
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
        let verdict = ticket.next().await;
        ticket.running = matches!(verdict, Verdict::Run);
        (ticket, verdict)
    }

    /// Records the outcome, and waits until a majority of the holders has it.
    /// Without an answer the outcome is recorded as unknown.
    pub(crate) async fn finish(mut self, answer: Option<Answer>) -> Verdict {
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
    async fn next(&mut self) -> Verdict {
        self.verdicts.recv().await.unwrap_or(Verdict::Unknown)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.running {
            let request = self.request;
            let answer = None;
            step(&self.context, Event::Finish { request, answer });
        }
    }
}
